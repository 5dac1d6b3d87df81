"""Failures of the store and of connections to workers."""

from tests.process.harness import Harness, job, service
from tools.caller import clock_ms
from tools.processes import wait_until

# Longer than the owner's lease and the task leases of the test cell.
_OUTAGE_MS = 8_000


def test_store_down_across_a_restart(harness: Harness) -> None:
    """Guards against a store outage that stops running tasks."""
    caller = harness.caller()
    service_job = caller.submit([service('watch')])[0]
    running = harness.wait_running(service_job)
    cell = harness.cell
    restarted = harness.other_processes(harness.owner())[0]
    cell.control(cell.store_url, down=True)
    down_at_ms = clock_ms()
    cell.processes.kill(restarted)
    cell.start_entry(restarted)
    wait_until(
        lambda: clock_ms() - down_at_ms > _OUTAGE_MS,
        'the outage has not lasted long enough',
    )
    assert [run.outcome for run in harness.runs(service_job)] == ['']
    cell.control(cell.store_url, down=False)
    cell.wait_ready(restarted)
    after = harness.caller(restarted).submit([job('after')])
    assert after[0].is_accepted
    harness.wait_settled()
    assert [run.attempt for run in harness.runs(service_job)] == [
        running.attempt
    ]


def test_worker_connections_go_silent(harness: Harness) -> None:
    """Guards against waiting for ever on a connection that went silent.

    Tasks must keep running, and new jobs start, over new connections.
    """
    caller = harness.caller()
    services = caller.submit(
        [service(f'watch-{number}') for number in range(8)]
    )
    attempts = [
        harness.wait_running(service_job).attempt for service_job in services
    ]
    before = harness.control_workers(silence_open_connections=True)
    wait_until(
        lambda: all(
            state['calls_count']['exchange']
            > before[worker]['calls_count']['exchange']
            for worker, state in harness.control_workers().items()
        ),
        'a worker gets no more exchanges',
    )
    caller.submit([job(f'after-{number}') for number in range(8)])
    harness.wait_settled()
    for service_job, attempt in zip(services, attempts, strict=True):
        assert [run.attempt for run in harness.runs(service_job)] == [attempt]


def test_lost_store_reply_at_a_submission(harness: Harness) -> None:
    """Guards against a job lost or run twice after a lost store reply."""
    cell = harness.cell
    cell.control(cell.store_url, lose_swap_replies=1)
    caller = harness.caller()
    order = caller.submit([job('order', execution='at_most_once')])[0]
    assert order.is_accepted
    state = cell.control(cell.store_url)
    assert state['lose_swap_replies_count'] == 0
    harness.wait_settled()
    assert [run.outcome for run in harness.runs(order)] == ['succeeded']
