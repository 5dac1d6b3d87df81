"""Checks the stated outcomes of a trace against the observation log."""

from dataclasses import dataclass
from typing import Final

from fuchsiarill.replay.evidence import Evidence
from fuchsiarill.replay.kinds import OutcomeKind, Violation
from fuchsiarill.replay.observations import ObservationLog
from fuchsiarill.replay.outcomes_safety import NoActorFailed
from fuchsiarill.replay.trace import Trace, TraceEntry

_IMPLICIT_OUTCOME: Final[TraceEntry[OutcomeKind]] = TraceEntry(
    'no_actor_failed',
    NoActorFailed(),
)


@dataclass(frozen=True, slots=True)
class UnmetOutcome:
    """An outcome that does not hold, with all its violations."""

    outcome: str
    violations: tuple[Violation, ...]


def check(trace: Trace, log: ObservationLog) -> list[UnmetOutcome]:
    """Return the outcomes of the trace that the log violates.

    `no_actor_failed` is checked for every trace.
    """
    evidence = Evidence(log, trace.deployment, trace.header.duration_ms)
    unmet = []
    stated_outcomes = (*trace.outcomes, _IMPLICIT_OUTCOME)
    for stated in stated_outcomes:
        violations = tuple(stated.kind.violations(evidence))
        if violations:
            unmet.append(UnmetOutcome(stated.name, violations))
    return unmet
