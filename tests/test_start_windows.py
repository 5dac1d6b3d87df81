"""Starts without an answer, which workers may execute later."""

from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.model import EndKind, Step
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import JobId
from fuchsiarill.ports.agents import AgentFailure
from tests.advised_owner import W0, advice_requests, grant
from tests.graph_owner import ADVISED, SIZE, Owner, ended, running, task

_LATE_CALL_MS = TaskLeaseSettings().late_call_ms
_TIMEOUT_MS = 350
_VALID_MS = 2000
# The clock that the worker checks tickets by may be 2% slow.
_CLOCK_SLACK_MS = _LATE_CALL_MS // 50


def _owner() -> Owner:
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    return owner


def _only_start(owner: Owner) -> StartRun:
    starts = owner.starts()
    assert len(starts) == 1
    return starts[0]


def _lose_answer(owner: Owner, start: StartRun) -> None:
    """Let a start time out and the worker confirm the stop."""
    owner.now_ms += _TIMEOUT_MS
    _answer_start(owner, start, AgentFailure.UNKNOWN)
    owner.decide()
    _confirm_stop(owner, start)


def _answer_start(
    owner: Owner, start: StartRun, failure: AgentFailure | None
) -> None:
    owner.core.start_answered(
        start.worker, start.task, start.attempt, failure, owner.now_ms
    )


def _confirm_stop(owner: Owner, start: StartRun) -> None:
    owner.core.stop_answered(
        start.worker, start.task, start.attempt, None, owner.now_ms
    )
    owner.report(start.worker)


def _starts_after(owner: Owner, wait_ms: int, worker: str) -> list[StartRun]:
    """Return the starts once the window has closed and a worker reported."""
    owner.now_ms += wait_ms
    owner.decide()
    owner.report(worker)
    return owner.starts()


def test_unanswered_start_is_not_repeated_while_it_may_be_executed() -> None:
    """Guards against a second run by a start that a stop has settled.

    The incarnation that confirmed the stop may end, and the next one execute
    the start.
    """
    owner = _owner()
    owner.add_job('a', Step(1, SIZE))
    start = _only_start(owner)
    _lose_answer(owner, start)
    assert not owner.starts()
    assert not _starts_after(owner, _LATE_CALL_MS - 200, start.worker)
    repeated = _starts_after(owner, 200, start.worker)
    assert [order.attempt for order in repeated] == [2]


def test_expired_ticket_ends_the_wait_for_an_unanswered_start() -> None:
    """Guards against a wait beyond the time at which a worker refuses it."""
    owner = _owner()
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    advice_requests(owner)
    grant(owner, valid_ms=_VALID_MS)
    start = _only_start(owner)
    _lose_answer(owner, start)
    owner.now_ms += _VALID_MS + _CLOCK_SLACK_MS
    owner.decide()
    grant(owner)
    owner.report(W0)
    assert _only_start(owner).attempt == 2


def test_refused_start_is_repeated_at_once() -> None:
    """Guards against a wait for a start that can't be executed any more."""
    owner = _owner()
    owner.add_job('a', Step(1, SIZE))
    _answer_start(owner, _only_start(owner), AgentFailure.NO_ROOM)
    assert _only_start(owner).attempt == 2


def test_listed_run_is_repeated_at_once() -> None:
    """Guards against a wait for a start that has been executed."""
    owner = _owner()
    owner.add_job('a', Step(1, SIZE))
    start = _only_start(owner)
    owner.now_ms += _TIMEOUT_MS
    _answer_start(owner, start, AgentFailure.UNKNOWN)
    owner.decide()
    owner.report(start.worker, (running(task('a')),))
    owner.report(start.worker, ended=(ended(task('a'), kind=EndKind.STOPPED),))
    assert _only_start(owner).attempt == 2


def test_answer_after_a_stop_ends_the_wait() -> None:
    """Guards against a wait for a start whose answer a stop has overtaken."""
    owner = _owner()
    owner.add_job('a', Step(1, SIZE))
    start = _only_start(owner)
    owner.report(start.worker, born_ms=9)
    owner.decide()
    _answer_start(owner, start, None)
    _confirm_stop(owner, start)
    owner.report(start.worker, born_ms=9)
    assert _only_start(owner).attempt == 2


def test_gang_waits_for_its_unanswered_member() -> None:
    """Guards against a second run of one member beside the next attempt."""
    owner = _owner()
    owner.add_job('a', Step(2, SIZE, is_gang=True))
    first, second = owner.starts()
    _answer_start(owner, second, None)
    _lose_answer(owner, first)
    stopped = ended(second.task, kind=EndKind.STOPPED)
    owner.report(second.worker, ended=(stopped,))
    assert not owner.starts()
    repeated = _starts_after(owner, _LATE_CALL_MS, first.worker)
    assert [order.attempt for order in repeated] == [2, 2]


def test_cancelled_job_keeps_the_room_of_its_unanswered_start() -> None:
    """Guards against a worker over its capacity by a start executed late."""
    owner = _owner()
    owner.add_job('a', Step(1, SIZE))
    start = _only_start(owner)
    _lose_answer(owner, start)
    owner.core.cancel_job(JobId('a'), owner.now_ms)
    owner.report(start.worker)
    assert owner.view(start.worker).allocated == SIZE
