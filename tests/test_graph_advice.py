"""Requests for advice: when they are sent, and which workers they name."""

from fuchsiarill.graphs.model import BornMs, EndKind, Step, StepKey, Ticket
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.ids import JobId, WorkerId
from tests.advised_owner import (
    INCARNATIONS,
    STEP,
    VALID_MS,
    W0,
    advice_requests,
    grant,
    named_workers,
)
from tests.graph_owner import (
    ADVISED,
    CAPACITY,
    SIZE,
    Owner,
    ended,
    running,
    task,
)

_AFTER_ANSWER_TIMEOUT_MS = 30_000


def test_request_is_repeated_after_a_lost_answer() -> None:
    """Guards against a step that waits forever for a lost answer."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    assert not advice_requests(owner)
    owner.now_ms += _AFTER_ANSWER_TIMEOUT_MS
    owner.report('w0')
    assert len(advice_requests(owner)) == 1


def test_answer_for_an_earlier_incarnation_is_ignored() -> None:
    """Guards against an outdated answer that denies a restarted worker."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    owner.report('w0', born_ms=9)
    owner.list_incarnation('w0', 9)
    owner.core.advice_received(
        STEP, INCARNATIONS, {}, owner.now_ms + VALID_MS, owner.now_ms
    )
    assert len(advice_requests(owner)) == 1


def test_preempted_task_starts_again_on_its_only_worker() -> None:
    """Guards against a task that never starts again after a preemption.

    The ticket of the worker is still valid, so no new request is needed.
    """
    owner = Owner('w0')
    owner.report('w0')
    checkpointing_step = Step(1, SIZE, estimate_ms=60000, is_checkpointing=True)
    owner.add_job('a', checkpointing_step, queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    grant(owner)
    assert len(owner.starts()) == 1
    owner.report('w0', (running(task('a')),))
    owner.report('w0', (), (ended(task('a'), kind=EndKind.STOPPED),))
    assert [start.attempt for start in owner.starts()] == [2]


def test_capacity_is_kept_while_tickets_are_requested() -> None:
    """Guards against a later step that takes the capacity of an earlier one.

    The ticket of the earlier step has expired, while the later step holds a
    valid ticket.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(2, CAPACITY, estimate_ms=100), queue=ADVISED)
    advice_requests(owner)
    grant(owner, valid_ms=500)
    assert len(owner.starts()) == 1
    owner.now_ms += 600
    owner.report('w0', (running(task('a')),))
    owner.add_job('b', Step(1, SIZE), queue=ADVISED)
    assert {request.step.job for request in advice_requests(owner)} == {
        'a',
        'b',
    }
    grant(owner, StepKey(JobId('b'), 0, 0))
    owner.report('w0', (), (ended(task('a')),))
    assert not owner.starts()
    grant(owner)
    assert [start.task.job for start in owner.starts()] == ['a']


def test_advice_for_the_next_step_is_requested_early() -> None:
    """Guards against a chain that waits for advice at each of its steps.

    On the large site the second step of a quote waited 1.7 s at the median.
    """
    owner = Owner('w0')
    owner.report('w0')
    step = Step(1, SIZE, estimate_ms=800)
    later = Step(1, SIZE, estimate_ms=800, after=(0,))
    owner.add_job('a', step, later, queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    grant(owner)
    assert len(owner.starts()) == 1
    assert not advice_requests(owner)
    owner.now_ms += 600
    request = advice_requests(owner)[0]
    assert request.step == StepKey(JobId('a'), 0, 1)
    grant(owner, request.step)
    assert not advice_requests(owner)
    owner.report('w0', ended=(ended(task('a')),))
    start = owner.starts()[0]
    assert start.task == task('a', step=1)
    assert start.ticket == 't'


def test_early_advice_starts_no_step_early() -> None:
    """Guards against a step that starts before its predecessors have ended."""
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job(
        'a',
        Step(2, SIZE, estimate_ms=100),
        Step(1, SIZE, after=(0,)),
        queue=ADVISED,
    )
    owner.decide()
    grant(owner)
    assert len(owner.starts()) == 2
    owner.decide()
    grant(owner, StepKey(JobId('a'), 0, 1))
    owner.report('w0', ended=(ended(task('a')),))
    assert not owner.starts()


def test_request_names_workers_with_room() -> None:
    """Guards against new workers that stay idle while jobs wait for others.

    The request named the first hundred workers of the table, which were full,
    and a worker that is added comes last in it.
    """
    names = [f'w{number:03}' for number in range(120)]
    owner = Owner(*names)
    for name in names[:110]:
        owner.report(name)
    owner.add_job('full', Step(220, SIZE))
    assert len(owner.starts()) == 220
    for name in names[110:]:
        owner.report(name)
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    named = named_workers(owner, advice_requests(owner)[0])
    assert set(names[110:]) <= named
    assert len(named) <= 30


def test_request_names_workers_that_get_room_later() -> None:
    """Guards against a request for each worker that becomes free.

    In a burst on 128 workers a step made up to 24 requests, and the first
    request of an urgent step waited 6 s for the service.
    """
    owner = Owner('w0', 'w1', 'w2')
    workers = [WorkerId(name) for name in ('w0', 'w1', 'w2')]
    for worker in workers:
        owner.report(worker)
    owner.add_job('busy', Step(3, CAPACITY, estimate_ms=60_000))
    assert len(owner.starts()) == 3
    owner.add_job('a', Step(3, CAPACITY, estimate_ms=100), queue=ADVISED)
    assert len(advice_requests(owner)) == 1
    owner.core.advice_received(
        STEP,
        dict.fromkeys(workers, BornMs(1)),
        dict.fromkeys(workers, Ticket('t')),
        owner.now_ms + 300,
        owner.now_ms,
    )
    owner.now_ms += 400
    for name, left_ms in (('w0', 0), ('w1', 1500), ('w2', 9000)):
        for run in owner.view(name).runs.values():
            run.expected_end_ms = owner.now_ms + left_ms
    requests = advice_requests(owner)
    assert len(requests) == 1
    assert named_workers(owner, requests[0]) == {'w0', 'w1'}


def test_requests_of_steps_name_different_workers() -> None:
    """Guards against steps that compete for the same few workers."""
    names = [f'w{number:03}' for number in range(120)]
    owner = Owner(*names)
    for name in names:
        owner.report(name)
    for number in range(20):
        owner.add_job(f'job-{number}', Step(1, SIZE), queue=ADVISED)
    requests = advice_requests(owner)
    named = {
        worker
        for request in requests
        for worker in named_workers(owner, request)
    }
    assert len(named) > 100


def test_inherited_step_gets_tickets_before_it_may_start() -> None:
    """Guards against a request that is sent only when the step may start.

    A lasting task of a lost worker then waited for the task leases of that
    worker and after it for the advice service.
    """
    owner = Owner('w0', 'w1', term=2)
    for name in ('w0', 'w1'):
        owner.core.add_inherited_worker(WorkerId(name), f'{name}:1', 9000)
    lasting = Step(1, SIZE, is_lasting=True)
    owner.add_job('a', lasting, queue=ADVISED, is_inherited=True)
    owner.report('w0')
    assert not advice_requests(owner)
    owner.now_ms = 8500
    owner.core.renewal_sent(W0, owner.now_ms)
    owner.report('w0')
    requests = advice_requests(owner)
    assert [named_workers(owner, request) for request in requests] == [{W0}]
    assert not advice_requests(owner)
    grant(owner)
    owner.now_ms = 8980
    assert not owner.decide()
    owner.now_ms = 9000
    assert [start.task.job for start in owner.starts()] == ['a']


def test_only_requests_of_lasting_tasks_become_due() -> None:
    """Guards against a lasting task that waits while others ask first.

    A task that ends by itself becomes more urgent with time, a lasting one
    does not.
    """
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE, is_lasting=True), queue=ADVISED)
    owner.add_job('b', Step(1, SIZE), queue=ADVISED)
    lasting, other = advice_requests(owner)
    assert lasting.step.job == 'a'
    assert lasting.due_ms == owner.now_ms + 1000
    assert other.due_ms >= NEVER_MS
