"""Starts on workers that are gone for good."""

from operator import attrgetter
from typing import Any

import pytest

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import records
from fuchsiarill.graphs.effects import RequestAdvice, StartRun
from fuchsiarill.graphs.model import BornMs, EndKind, JobGraph, Step, Ticket
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.agents import AgentFailure
from tests.advised_owner import STEP, W0, advice_requests, grant
from tests.graph_owner import (
    ADVISED,
    CAPACITY,
    CONFIG,
    POOL,
    SIZE,
    Owner,
    ended,
)

_TIMEOUT_MS = 350
_VALID_MS = 2000
_TICK_MS = 200
_W1 = WorkerId('w1')
# Within this time after the end of the traffic no task may wait for a worker
# while most of the room is free.
_FINISH_MS = 14_000


def _advised_start() -> tuple[Owner, StartRun]:
    """Return an owner and the start that it has sent with a ticket."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    advice_requests(owner)
    grant(owner, valid_ms=_VALID_MS)
    starts = owner.starts()
    assert [start.worker for start in starts] == [W0]
    return owner, starts[0]


def _time_out(owner: Owner, start: StartRun) -> None:
    owner.now_ms += _TIMEOUT_MS
    owner.core.start_answered(
        start.worker,
        start.task,
        start.attempt,
        AgentFailure.UNKNOWN,
        owner.now_ms,
    )


def _next_starts(owner: Owner, duration_ms: int) -> dict[str, int]:
    """Return when each job starts next, on `w1`.

    `w0` is silent, and the advice service grants each request at once.
    """
    started_ms: dict[str, int] = {}
    until_ms = owner.now_ms + duration_ms
    while owner.now_ms < until_ms:
        owner.now_ms += _TICK_MS
        owner.report('w1')
        owner.core.worker_failed(W0, AgentFailure.UNKNOWN, owner.now_ms)
        for effect in owner.decide():
            if isinstance(effect, StartRun):
                assert effect.worker == _W1
                started_ms.setdefault(effect.task.job, owner.now_ms)
            if isinstance(effect, RequestAdvice):
                _grant_other_worker(owner, effect)
    return started_ms


def _grant_other_worker(owner: Owner, request: RequestAdvice) -> None:
    owner.core.advice_received(
        request.step,
        {_W1: BornMs(1)},
        {_W1: Ticket('t1')},
        owner.now_ms + _VALID_MS,
        owner.now_ms,
    )


def test_start_with_a_ticket_on_a_gone_worker_moves_in_time() -> None:
    """Guards against a task that is held for 18 s after its ticket expired."""
    owner, start = _advised_start()
    _time_out(owner, start)
    timed_out_ms = owner.now_ms
    next_ms = _next_starts(owner, 30_000)['a']
    assert next_ms - timed_out_ms < _FINISH_MS


def test_start_without_a_ticket_holds_no_other_run() -> None:
    """Guards against a bound of one order that holds runs of other jobs."""
    owner, start = _advised_start()
    owner.add_job('b', Step(1, SIZE))
    other = next(row for row in owner.starts() if row.worker == W0)
    _time_out(owner, start)
    timed_out_ms = owner.now_ms
    owner.now_ms += 5000
    _time_out(owner, other)
    next_ms = _next_starts(owner, 40_000)
    assert next_ms['a'] - timed_out_ms < _FINISH_MS
    leases = TaskLeaseSettings()
    held_ms = leases.late_call_ms + leases.longest_allowed_ms
    assert next_ms['b'] - timed_out_ms > 5000 + held_ms


@pytest.mark.parametrize(
    ('unanswered_ms', 'window_ms'),
    [({}, TaskLeaseSettings().late_call_ms), ({UnitKey(0, 0, 0): 1800}, 1800)],
)
def test_inherited_start_is_held_for_its_window_and_a_lease(
    unanswered_ms: dict[UnitKey, int], window_ms: int
) -> None:
    """Guards against a unit that the next owner holds too long or too short.

    A record of the former version has no time.
    """
    owner = Owner('w0', 'w1', term=2)
    stop_ms = owner.now_ms
    owner.core.state.previous_owner_stop_ms = stop_ms
    owner.core.add_job(
        JobGraph(JobId('a'), ADVISED, POOL, '', (Step(1, SIZE),)),
        JobProgress(
            unanswered_starts={UnitKey(0, 0, 0): {W0}},
            unanswered_ms=unanswered_ms,
        ),
        owner.now_ms,
        is_inherited=True,
    )
    next_ms = _next_starts(owner, 30_000)['a']
    held_ms = window_ms + TaskLeaseSettings().longest_allowed_ms
    assert held_ms < next_ms - stop_ms < held_ms + _TICK_MS * 3


def test_inherited_ticket_may_be_of_a_listed_incarnation() -> None:
    """Guards against a ticket that is taken for the recorded incarnation."""
    owner = Owner('w0', 'w1', term=2)
    owner.core.state.previous_owner_stop_ms = owner.now_ms
    owner.core.add_inherited_worker(W0, 'w0:1', owner.now_ms, BornMs(1))
    owner.list_incarnation('w0', 9)
    owner.core.add_job(
        JobGraph(JobId('a'), ADVISED, POOL, '', (Step(1, SIZE),)),
        JobProgress(
            unanswered_starts={UnitKey(0, 0, 0): {W0}},
            unanswered_ms={UnitKey(0, 0, 0): 1800},
        ),
        owner.now_ms,
        is_inherited=True,
    )
    started_ms = _next_starts(owner, 30_000)['a']
    leases = TaskLeaseSettings()
    assert started_ms > 1000 + leases.late_call_ms + leases.longest_allowed_ms


def test_inherited_start_of_a_worker_that_reports_is_held_for_its_ticket() -> (
    None
):
    """Guards against a unit that waits for late calls to a live worker.

    A suspected restart has dropped the time from the record, or a process of
    the former version has.
    """
    owner = Owner('w0', 'w1', term=2)
    stop_ms = owner.now_ms
    owner.core.state.previous_owner_stop_ms = stop_ms
    owner.core.add_job(
        JobGraph(JobId('a'), ADVISED, POOL, '', (Step(1, SIZE),)),
        JobProgress(unanswered_starts={UnitKey(0, 0, 0): {W0}}),
        owner.now_ms,
        is_inherited=True,
    )
    while not any(
        isinstance(effect, RequestAdvice) for effect in owner.decide()
    ):
        owner.now_ms += _TICK_MS
        owner.report('w0')
        owner.report('w1')
    policy = CONFIG.queues[ADVISED].advice
    assert policy is not None
    assert owner.now_ms - stop_ms < policy.validity_ms + 1000


def test_progress_keeps_the_windows_of_unanswered_starts() -> None:
    """Guards against a record that loses a start, or the time of one."""
    unit, former_unit = UnitKey(0, 0, 0), UnitKey(0, 0, 1)
    saved = JobProgress(unanswered_starts={former_unit: {W0}})
    saved.add_unanswered(unit, W0, 1888)
    saved.add_unanswered(unit, _W1, 1700)
    # The time of a start in a record of the former version is not known.
    saved.add_unanswered(former_unit, _W1, 1700)
    loaded = records.decode_progress(records.encode_progress(saved))
    assert loaded.unanswered_starts == {unit: {W0, _W1}, former_unit: {W0, _W1}}
    assert loaded.unanswered_ms == {unit: 1888}
    assert loaded.forget_unanswered(unit)
    assert not loaded.unanswered_ms


def test_gang_with_a_member_on_a_gone_worker_moves_in_time() -> None:
    """Guards against members that wait for one start without an answer."""
    owner = Owner('w0', 'w1', 'w2')
    for name in ('w0', 'w1', 'w2'):
        owner.report(name)
    owner.add_job('a', Step(2, CAPACITY, is_gang=True), queue=ADVISED)
    advice_requests(owner)
    both = {W0: Ticket('t0'), _W1: Ticket('t1')}
    owner.core.advice_received(
        STEP, {W0: BornMs(1), _W1: BornMs(1)}, both, owner.now_ms + _VALID_MS, 0
    )
    first, second = sorted(owner.starts(), key=attrgetter('worker'))
    owner.core.start_answered(
        second.worker, second.task, second.attempt, None, owner.now_ms
    )
    _time_out(owner, first)
    alone = ended(second.task, kind=EndKind.ALONE)
    owner.report('w1', ended=(alone,))
    timed_out_ms = owner.now_ms
    while owner.view('w0').runs:
        owner.now_ms += _TICK_MS
        owner.decide()
    assert owner.now_ms - timed_out_ms < _FINISH_MS
    step = owner.core.state.find_unfinished_step(STEP)
    assert step is not None
    assert not step.active


def test_log_names_the_bound_of_an_expired_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that is held with no log line that tells why."""
    lines: list[tuple[LogEvent, dict[str, Any]]] = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    owner, start = _advised_start()
    _time_out(owner, start)
    _next_starts(owner, 30_000)
    by_event = {event: fields for event, fields in lines}
    unanswered = by_event[graph_events.START_UNANSWERED]
    expired = by_event[graph_events.START_EXPIRED]
    assert unanswered['executable_ms'] < expired['held_ms']
    assert expired['held_ms'] < unanswered['held_ms']
    assert graph_events.RUN_LOST in by_event
    assert [fields['job'] for fields in (unanswered, expired)] == ['a', 'a']
