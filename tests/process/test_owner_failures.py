"""The owner of a partition is killed or paused; another one takes over."""

import signal

from fuchsiarill import codes
from tests.process.harness import Harness, job, service
from tools.processes import wait_until

_STALE_REASONS = {'late', 'epoch'}
_SETTLED_CODES = {codes.JOB_SUCCEEDED.number, codes.JOB_UNKNOWN.number}


def test_owner_killed(harness: Harness) -> None:
    """Guards against jobs that are lost or run twice after an owner's crash."""
    caller = harness.caller()
    bodies = [
        *(job(f'batch-{number}', 1000) for number in range(10)),
        *(
            job(f'order-{number}', 1000, execution='at_most_once')
            for number in range(10)
        ),
        service('watch'),
    ]
    before = caller.submit(bodies)
    owner = harness.owner()
    harness.cell.processes.kill(owner)
    harness.wait_for_new_owner(owner)
    survivors = harness.caller(*harness.other_processes(owner))
    again = survivors.submit(bodies)
    later = survivors.submit([job('later')])
    assert [submitted_job.job_id for submitted_job in again] == [
        submitted_job.job_id for submitted_job in before
    ]
    assert later[0].is_accepted
    harness.wait_settled()


def test_owner_paused_beyond_its_lease(harness: Harness) -> None:
    """Guards against a resumed process that acts as owner without a lease."""
    caller = harness.caller()
    watch = caller.submit([service('watch')])[0]
    running = harness.wait_running(watch)
    owner = harness.owner()
    harness.cell.processes.send_signal(owner, signal.SIGSTOP)
    harness.wait_for_new_owner(owner)
    other = harness.caller(*harness.other_processes(owner))
    during = other.submit([job('during', execution='at_most_once')])[0]
    harness.wait_settled()
    harness.cell.processes.send_signal(owner, signal.SIGCONT)
    resumed = harness.caller(owner)
    answer = resumed.query(during.job_id, wait_ms=1000)
    assert answer['code'] == codes.JOB_SUCCEEDED.number
    assert resumed.submit([job('after')])[0].is_accepted
    harness.wait_settled()
    assert [run.attempt for run in harness.runs(watch)] == [running.attempt]


def test_start_of_a_paused_owner_arrives_late(harness: Harness) -> None:
    """Guards against a start that takes effect after its owner was replaced."""
    first_caller = harness.caller()
    first_caller.submit([job(f'warm-{number}', 100) for number in range(20)])
    harness.wait_settled()
    owner = harness.owner()
    harness.control_workers(hold_starts=True)
    caller = harness.caller(*harness.other_processes(owner))
    order = caller.submit([job('order', execution='at_most_once')])[0]
    wait_until(
        lambda: any(
            state['held_count'] for state in harness.control_workers().values()
        ),
        'no start was sent',
    )
    harness.cell.processes.send_signal(owner, signal.SIGSTOP)
    harness.wait_for_new_owner(owner)
    harness.control_workers(hold_starts=False)
    wait_until(lambda: bool(harness.refusals()), 'no start was refused')
    harness.cell.processes.send_signal(owner, signal.SIGCONT)
    assert {line.detail for line in harness.refusals()} <= _STALE_REASONS
    wait_until(
        lambda: caller.query(order.job_id)['code'] in _SETTLED_CODES,
        'the order is not settled',
    )
    settled = caller.query(order.job_id)
    runs = harness.runs(order)
    assert len(runs) <= 1
    if settled['code'] == codes.JOB_SUCCEEDED.number:
        assert [run.outcome for run in runs] == ['succeeded']
    else:
        assert settled['code'] == codes.JOB_UNKNOWN.number
        assert not runs
