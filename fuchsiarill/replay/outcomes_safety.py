"""Outcomes that must hold in every trace: the invariants I1 to I7."""

from collections.abc import Iterator
from typing import Annotated, Final

from pydantic import Field

from fuchsiarill import codes
from fuchsiarill.replay.evidence import Evidence, JobOutcome, Run
from fuchsiarill.replay.fake_workers import output_of
from fuchsiarill.replay.kinds import OUTCOME_KINDS, OutcomeKind, Violation
from fuchsiarill.replay.seen import Seen, SeenKind
from fuchsiarill.resources import NOTHING, Resources

_Time = Annotated[int, Field(ge=0)]

# These leave open whether the request was carried out.
_UNCERTAIN_CODES: Final = frozenset((codes.OUTCOME_UNCERTAIN.name,))
# An exchange in progress when the process ends fails this much later.
_SHUTDOWN_ECHO_MS: Final = 1_000


@OUTCOME_KINDS.register('no_host_overcommitted')
class NoHostOvercommitted(OutcomeKind):
    """What runs on a worker never uses more than its capacity (I1).

    True use counts, not what was declared or reserved; slots and
    accelerators are part of it. It may be exceeded for `used_within_ms`.
    """

    used_within_ms: _Time = 0

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Add up what runs on each worker, event by event."""
        used: dict[str, dict[str, Resources]] = {}
        over: dict[str, Seen] = {}
        for event in evidence.log.of(
            SeenKind.TASK_STARTED,
            SeenKind.TASK_RESIZED,
            SeenKind.TASK_ENDED,
        ):
            yield from _too_long(over, event.time_ms, self.used_within_ms)
            tasks = used.setdefault(event.who, {})
            tasks[event.details['attempt']] = Resources(
                *event.details.get('used', NOTHING.as_tuple()),
            )
            whole = sum(tasks.values(), NOTHING)
            if whole.fits_in(evidence.capacities[event.who]):
                over.pop(event.who, None)
                continue
            over.setdefault(event.who, event)
            if not self.used_within_ms:
                yield Violation(f'loaded with {whole.as_tuple()}', event)
        yield from _too_long(over, evidence.duration_ms, self.used_within_ms)


def _too_long(
    over: dict[str, Seen],
    now_ms: int,
    within_ms: int,
) -> Iterator[Violation]:
    for who, since in tuple(over.items()):
        if within_ms and now_ms - since.time_ms > within_ms:
            over.pop(who)
            yield Violation(f'loaded too much for over {within_ms} ms', since)


@OUTCOME_KINDS.register('never_twice_at_once')
class NeverTwiceAtOnce(JobOutcome):
    """No task runs in two places at the same time (I2)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare each run of a task with the one before."""
        chosen = {key for key, _ in self.selected(evidence)}
        for (key, _position), runs in evidence.runs_by_task.items():
            if key in chosen:
                yield from _overlaps(runs)


def _overlaps(runs: list[Run]) -> Iterator[Violation]:
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
    """A task of an `at_most_once` job is started once or never (I5)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Count the runs of each task."""
        chosen = {
            key
            for key, submission in self.selected(evidence)
            if submission.details['execution'] == 'at_most_once'
        }
        for (key, _position), runs in evidence.runs_by_task.items():
            if key not in chosen:
                continue
            for run in runs[1:]:
                yield Violation('runs again', run.start)


@OUTCOME_KINDS.register('every_answer_whole')
class EveryAnswerWhole(JobOutcome):
    """Each caller gets the complete result of its own job (I3)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Compare the outputs with those of the tasks of that key."""
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
        yield from self._changed_ids(evidence)

    def _changed_ids(self, evidence: Evidence) -> Iterator[Violation]:
        known: dict[str, str] = {}
        for event in evidence.log.of(SeenKind.ANSWERED):
            job_id = event.details['job']
            if not job_id:
                continue
            first = known.setdefault(event.details['key'], job_id)
            if first != job_id:
                yield Violation(f'the job was {first} before', event)


@OUTCOME_KINDS.register('refused_never_ran')
class RefusedNeverRan(JobOutcome):
    """A job that was rejected as not run did not run (I4)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Look for runs of keys that got nothing but definite refusals."""
        chosen = {key for key, _ in self.selected(evidence)}
        refused = chosen - _possibly_accepted(evidence)
        for run in evidence.runs:
            if run.key in refused:
                yield Violation('was refused', run.start)
            end = evidence.ends.get(run.key)
            if end is not None and end.details['code'] == 'job_not_run':
                yield Violation('ended as not run', run.start)


def _possibly_accepted(evidence: Evidence) -> set[str]:
    accepted = set()
    answered = set()
    for event in evidence.log.of(SeenKind.ANSWERED, SeenKind.CALL_FAILED):
        if event.details['call'] != 'submit':
            continue
        answered.add(event.details['key'])
        if _leaves_open(event):
            accepted.add(event.details['key'])
    return accepted | (set(evidence.submissions) - answered)


def _leaves_open(event: Seen) -> bool:
    if event.kind is SeenKind.CALL_FAILED:
        return bool(event.details['failure'] == 'no_answer')
    is_uncertain = event.details['code'] in _UNCERTAIN_CODES
    return is_uncertain or not event.details['refused']


@OUTCOME_KINDS.register('acknowledged_never_lost')
class AcknowledgedNeverLost(JobOutcome):
    """A job that was acknowledged as durable stays known."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Look for answers that deny an acknowledged job."""
        chosen = {key for key, _ in self.selected(evidence)}
        acknowledged = set()
        for event in evidence.log.of(SeenKind.ANSWERED):
            key = event.details['key']
            code = event.details['code']
            if code == codes.ACCEPTED.name:
                acknowledged.add(key)
            if code == codes.UNKNOWN_JOB.name and key in acknowledged & chosen:
                yield Violation('was acknowledged', event)


@OUTCOME_KINDS.register('no_work_after_retiring')
class NoWorkAfterRetiring(OutcomeKind):
    """A leaving worker gets no new task after `within_ms` (I6).

    The host list or `draining_workers` of the configuration says so.
    """

    within_ms: _Time

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Look for late starts."""
        leaving: dict[str, int] = {}
        for event in evidence.log.of(
            SeenKind.HOST_LEAVING,
            SeenKind.HOST_BACK,
            SeenKind.TASK_STARTED,
        ):
            if event.kind is SeenKind.HOST_LEAVING:
                leaving.setdefault(event.who, event.time_ms)
                continue
            if event.kind is SeenKind.HOST_BACK:
                leaving.pop(event.who, None)
                continue
            since_ms = leaving.get(event.who, event.time_ms)
            if event.time_ms - since_ms > self.within_ms:
                yield Violation(f'leaving since {since_ms} ms', event)


@OUTCOME_KINDS.register('shutdown_cuts_nothing')
class ShutdownCutsNothing(OutcomeKind):
    """No caller loses an answer to a graceful shutdown (I7)."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Look for calls that fail or are uncertain because of one."""
        asked: dict[str, int] = {}
        ended: dict[str, int] = {}
        for event in evidence.log.entries:
            if event.kind is SeenKind.SHUTDOWN_ASKED:
                asked[event.who] = event.time_ms
                ended[event.who] = evidence.duration_ms
            if event.kind is SeenKind.PROCESS_ENDED:
                ended[event.who] = event.time_ms
            if _is_cut_call(event, asked):
                yield Violation('the process shut down', event)
            if _is_uncertain(event) and _within(event, asked, ended):
                yield Violation('a process shut down', event)


def _is_cut_call(event: Seen, asked: dict[str, int]) -> bool:
    return (
        event.kind is SeenKind.CALL_FAILED
        and event.details['failure'] == 'no_answer'
        and event.details['process'] in asked
    )


def _is_uncertain(event: Seen) -> bool:
    return (
        event.kind is SeenKind.ANSWERED
        and event.details['code'] in _UNCERTAIN_CODES
    )


def _within(
    event: Seen,
    asked: dict[str, int],
    ended: dict[str, int],
) -> bool:
    return any(
        asked[who] <= event.time_ms <= ended[who] + _SHUTDOWN_ECHO_MS
        for who in asked
    )


@OUTCOME_KINDS.register('no_actor_failed')
class NoActorFailed(OutcomeKind):
    """No handler of an actor raised; checked in every trace."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Return the failures."""
        for event in evidence.log.of(SeenKind.ACTOR_FAILED):
            yield Violation('a handler raised', event)


@OUTCOME_KINDS.register('safe')
class Safe(OutcomeKind):
    """All outcomes that must hold under any fault, without parameters."""

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Check each of them."""
        for part in _SAFE:
            for found in part.violations(evidence):
                text = f'{type(part).__name__}: {found.text}'
                yield Violation(text, found.event)


_SAFE: Final[tuple[OutcomeKind, ...]] = (
    NoHostOvercommitted(),
    NeverTwiceAtOnce(),
    AtMostOnce(),
    EveryAnswerWhole(),
    RefusedNeverRan(),
    AcknowledgedNeverLost(),
)
