"""Outcomes about the configuration (invariant I8)."""

from collections.abc import Iterator
from typing import Annotated

from pydantic import Field

from fuchsiarill.replay.evidence import Evidence
from fuchsiarill.replay.kinds import OUTCOME_KINDS, OutcomeKind, Violation
from fuchsiarill.replay.observations import Observation, ObservationKind

_Time = Annotated[int, Field(ge=0)]


@OUTCOME_KINDS.register('config_in_force_everywhere')
class ConfigInForceEverywhere(OutcomeKind):
    """Every accepted generation is in force everywhere after `within_ms`.

    Processes named in `except_processes`, and processes that do not run for
    all of that time, are left out. A later generation counts as well.
    """

    within_ms: _Time
    except_processes: tuple[str, ...] = ()

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find the processes that lack an accepted change after `within_ms`."""
        written = evidence.log.of(ObservationKind.CONFIG_WRITTEN)
        if not written:
            yield Violation('no change was accepted')
        for change in written:
            due_ms = change.time_ms + self.within_ms
            if due_ms > evidence.duration_ms:
                yield Violation('accepted too late to be checked', change)
                continue
            yield from self._find_processes_without(evidence, change, due_ms)

    def _find_processes_without(
        self,
        evidence: Evidence,
        change: Observation,
        due_ms: int,
    ) -> Iterator[Violation]:
        for process in _processes_alive_throughout(
            evidence, change.time_ms, due_ms
        ):
            if process in self.except_processes:
                continue
            if not _has_generation(evidence, process, change, due_ms):
                yield Violation(f'not in force in {process}', change)


@OUTCOME_KINDS.register('never_reverts')
class NeverReverts(OutcomeKind):
    """No process replaces a generation by a lower one."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare consecutive generations of each incarnation."""
        latest: dict[str, int] = {}
        for event in evidence.log.of(
            ObservationKind.CONFIG_IN_FORCE,
            ObservationKind.PROCESS_STARTED,
        ):
            if event.kind is ObservationKind.PROCESS_STARTED:
                latest.pop(event.who, None)
                continue
            generation = event.details['generation']
            if generation < latest.get(event.who, 0):
                yield Violation(
                    f'had generation {latest[event.who]} before', event
                )
            latest[event.who] = generation


def _processes_alive_throughout(
    evidence: Evidence, from_ms: int, to_ms: int
) -> list[str]:
    """Return the processes that run from `from_ms` to `to_ms`."""
    alive: dict[str, int] = {}
    for event in evidence.log.of(
        ObservationKind.PROCESS_STARTED,
        ObservationKind.PROCESS_ENDED,
    ):
        if event.time_ms > to_ms:
            break
        if event.kind is ObservationKind.PROCESS_STARTED:
            alive[event.who] = event.time_ms
            continue
        alive.pop(event.who, None)
    return [who for who, since_ms in alive.items() if since_ms <= from_ms]


def _has_generation(
    evidence: Evidence, process: str, change: Observation, due_ms: int
) -> bool:
    return any(
        event.who == process
        and event.time_ms <= due_ms
        and event.details['generation'] >= change.details['generation']
        for event in evidence.log.of(ObservationKind.CONFIG_IN_FORCE)
    )
