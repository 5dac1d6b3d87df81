"""Outcomes for the safety invariants I1 to I7."""

from collections.abc import Iterator
from typing import Annotated, Final

from pydantic import Field

from fuchsiarill import codes
from fuchsiarill.replay.evidence import Evidence, JobOutcome, Run
from fuchsiarill.replay.fake_workers import output_of
from fuchsiarill.replay.kinds import OUTCOME_KINDS, OutcomeKind, Violation
from fuchsiarill.replay.observations import Observation, ObservationKind
from fuchsiarill.resources import NO_RESOURCES, Resources

_Time = Annotated[int, Field(ge=0)]

# After these codes the request may or may not have been carried out.
_UNCERTAIN_CODES: Final = frozenset((codes.OUTCOME_UNCERTAIN.name,))
# A call in progress when a process ends fails up to this much later.
_LATE_FAILURE_MS: Final = 1_000


@OUTCOME_KINDS.register('no_host_overcommitted')
class NoHostOvercommitted(OutcomeKind):
    """The tasks on a worker never use more than its capacity (I1).

    Actual usage counts, not declared or reserved sizes; it includes slots and
    accelerators. Usage may exceed the capacity for up to `used_within_ms`.
    """

    used_within_ms: _Time = 0

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Add up the usage on each worker after each event."""
        used: dict[str, dict[str, Resources]] = {}
        overloaded_since: dict[str, Observation] = {}
        for event in evidence.log.of(
            ObservationKind.TASK_STARTED,
            ObservationKind.TASK_RESIZED,
            ObservationKind.TASK_ENDED,
        ):
            yield from _find_long_overloads(
                overloaded_since, event.time_ms, self.used_within_ms
            )
            tasks = used.setdefault(event.who, {})
            tasks[event.details['attempt']] = Resources(
                *event.details.get('used', NO_RESOURCES.as_tuple()),
            )
            total = sum(tasks.values(), NO_RESOURCES)
            if total.fits_in(evidence.capacities[event.who]):
                overloaded_since.pop(event.who, None)
                continue
            overloaded_since.setdefault(event.who, event)
            if not self.used_within_ms:
                yield Violation(f'loaded with {total.as_tuple()}', event)
        yield from _find_long_overloads(
            overloaded_since, evidence.duration_ms, self.used_within_ms
        )


def _find_long_overloads(
    overloaded_since: dict[str, Observation],
    now_ms: int,
    within_ms: int,
) -> Iterator[Violation]:
    for who, since in tuple(overloaded_since.items()):
        if within_ms and now_ms - since.time_ms > within_ms:
            overloaded_since.pop(who)
            yield Violation(f'overloaded for more than {within_ms} ms', since)


@OUTCOME_KINDS.register('never_twice_at_once')
class NeverTwiceAtOnce(JobOutcome):
    """No two runs of a task overlap in time (I2)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare each run of a task with the runs before it."""
        selected_keys = {key for key, _ in self.selected(evidence)}
        for (key, _position), runs in evidence.runs_by_task.items():
            if key in selected_keys:
                yield from _find_overlaps(runs)


def _find_overlaps(runs: list[Run]) -> Iterator[Violation]:
    busy_until_ms = 0
    worker = ''
    for run in runs:
        if run.began_ms < busy_until_ms:
            text = f'runs on {worker} until {busy_until_ms} ms'
            yield Violation(text, run.start)
        if run.ended_ms > busy_until_ms:
            busy_until_ms = run.ended_ms
            worker = run.worker


@OUTCOME_KINDS.register('at_most_once')
class AtMostOnce(JobOutcome):
    """A task of an `at_most_once` job is started at most once (I5)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find second and later runs of a task."""
        selected_keys = {
            key
            for key, submission in self.selected(evidence)
            if submission.details['execution'] == 'at_most_once'
        }
        for (key, _position), runs in evidence.runs_by_task.items():
            if key not in selected_keys:
                continue
            for run in runs[1:]:
                yield Violation('started again', run.start)


@OUTCOME_KINDS.register('every_answer_whole')
class EveryAnswerWhole(JobOutcome):
    """Each caller gets the complete result of its own job (I3).

    All answers for a key name the same job.
    """

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare each result with the outputs of the job's own tasks."""
        for key, submission in self.selected(evidence):
            end = evidence.ends.get(key)
            if end is None or end.details['state'] != 'succeeded':
                continue
            expected = [
                output_of(key, position)
                for position in range(submission.details['tasks_count'])
            ]
            if end.details['outputs'] != expected:
                yield Violation('wrong result', end)
        yield from self._find_changed_ids(evidence)

    def _find_changed_ids(self, evidence: Evidence) -> Iterator[Violation]:
        known: dict[str, str] = {}
        for event in evidence.log.of(ObservationKind.ANSWERED):
            job_id = event.details['job']
            if not job_id:
                continue
            first = known.setdefault(event.details['key'], job_id)
            if first != job_id:
                yield Violation(f'the job was {first} before', event)


@OUTCOME_KINDS.register('refused_never_ran')
class RefusedNeverRan(JobOutcome):
    """A job that was refused, or reported as not run, did not run (I4)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find runs of jobs that got only definite refusals."""
        selected_keys = {key for key, _ in self.selected(evidence)}
        refused = selected_keys - _possibly_accepted(evidence)
        for run in evidence.runs:
            if run.key in refused:
                yield Violation('ran after a refusal', run.start)
            end = evidence.ends.get(run.key)
            if end is not None and end.details['code'] == 'job_not_run':
                yield Violation('ran but ended as not run', run.start)


def _possibly_accepted(evidence: Evidence) -> set[str]:
    """Return the keys that may be accepted or that got no answer."""
    accepted = set()
    answered = set()
    for event in evidence.log.of(
        ObservationKind.ANSWERED, ObservationKind.CALL_FAILED
    ):
        if event.details['call'] != 'submit':
            continue
        answered.add(event.details['key'])
        if _may_have_run(event):
            accepted.add(event.details['key'])
    return accepted | (set(evidence.submissions) - answered)


def _may_have_run(event: Observation) -> bool:
    if event.kind is ObservationKind.CALL_FAILED:
        return bool(event.details['failure'] == 'no_answer')
    is_uncertain = event.details['code'] in _UNCERTAIN_CODES
    return is_uncertain or not event.details['refused']


@OUTCOME_KINDS.register('acknowledged_never_lost')
class AcknowledgedNeverLost(JobOutcome):
    """A job that was acknowledged as durable never becomes unknown."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find `unknown_job` answers for jobs acknowledged before."""
        selected_keys = {key for key, _ in self.selected(evidence)}
        acknowledged = set()
        for event in evidence.log.of(ObservationKind.ANSWERED):
            key = event.details['key']
            code = event.details['code']
            if code == codes.ACCEPTED.name:
                acknowledged.add(key)
            if (
                code == codes.UNKNOWN_JOB.name
                and key in acknowledged & selected_keys
            ):
                yield Violation(
                    'became unknown after its acknowledgement', event
                )


@OUTCOME_KINDS.register('no_work_after_retiring')
class NoWorkAfterRetiring(OutcomeKind):
    """A leaving worker gets no new task after `within_ms` (I6).

    A worker is leaving while the host list shows it as leaving or the
    configuration has it in `draining_workers`.
    """

    within_ms: _Time

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find starts on workers that have been leaving for too long."""
        leaving: dict[str, int] = {}
        for event in evidence.log.of(
            ObservationKind.HOST_LEAVING,
            ObservationKind.HOST_BACK,
            ObservationKind.TASK_STARTED,
        ):
            if event.kind is ObservationKind.HOST_LEAVING:
                leaving.setdefault(event.who, event.time_ms)
                continue
            if event.kind is ObservationKind.HOST_BACK:
                leaving.pop(event.who, None)
                continue
            since_ms = leaving.get(event.who, event.time_ms)
            if event.time_ms - since_ms > self.within_ms:
                yield Violation(f'leaving since {since_ms} ms', event)


@OUTCOME_KINDS.register('shutdown_cuts_nothing')
class ShutdownCutsNothing(OutcomeKind):
    """No caller loses an answer because of a graceful shutdown (I7)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Find failed calls and uncertain answers caused by a shutdown."""
        requested_ms: dict[str, int] = {}
        ended_ms: dict[str, int] = {}
        for event in evidence.log.entries:
            if event.kind is ObservationKind.SHUTDOWN_ASKED:
                requested_ms[event.who] = event.time_ms
                ended_ms[event.who] = evidence.duration_ms
            if event.kind is ObservationKind.PROCESS_ENDED:
                ended_ms[event.who] = event.time_ms
            if _is_lost_answer(event, requested_ms):
                yield Violation(
                    'no answer from a process that shut down', event
                )
            if _is_uncertain(event) and _is_during_shutdown(
                event, requested_ms, ended_ms
            ):
                yield Violation('uncertain answer during a shutdown', event)


def _is_lost_answer(event: Observation, requested_ms: dict[str, int]) -> bool:
    return (
        event.kind is ObservationKind.CALL_FAILED
        and event.details['failure'] == 'no_answer'
        and event.details['process'] in requested_ms
    )


def _is_uncertain(event: Observation) -> bool:
    return (
        event.kind is ObservationKind.ANSWERED
        and event.details['code'] in _UNCERTAIN_CODES
    )


def _is_during_shutdown(
    event: Observation,
    requested_ms: dict[str, int],
    ended_ms: dict[str, int],
) -> bool:
    return any(
        requested_ms[who] <= event.time_ms <= ended_ms[who] + _LATE_FAILURE_MS
        for who in requested_ms
    )


@OUTCOME_KINDS.register('no_actor_failed')
class NoActorFailed(OutcomeKind):
    """No actor or task raised an exception that nothing handled.

    The outcome is checked in every trace.
    """

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Report every failure in the log."""
        for event in evidence.log.of(ObservationKind.ACTOR_FAILED):
            yield Violation('an actor or task failed', event)


@OUTCOME_KINDS.register('safe')
class Safe(OutcomeKind):
    """The outcomes that must hold under any fault, with default parameters."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Check each of the outcomes."""
        for outcome in _SAFE:
            for violation in outcome.violations(evidence):
                text = f'{type(outcome).__name__}: {violation.text}'
                yield Violation(text, violation.event)


_SAFE: Final[tuple[OutcomeKind, ...]] = (
    NoHostOvercommitted(),
    NeverTwiceAtOnce(),
    AtMostOnce(),
    EveryAnswerWhole(),
    RefusedNeverRan(),
    AcknowledgedNeverLost(),
)
