"""The store, a worker or a connection fails."""

from tests.process.harness import Harness, job, service
from tools.caller import clock_ms
from tools.processes import wait_until

# Longer than the owner's lease and the tasks' leases of the test cell.
_OUTAGE_MS = 8_000


def test_store_down_across_a_restart(harness: Harness) -> None:
    """Guards against an outage of the store that stops what runs."""
    caller = harness.caller()
    watch = caller.submit([service('watch')])[0]
    running = harness.wait_running(watch)
    cell = harness.cell
    restarted = harness.others(harness.owner())[0]
    cell.control(cell.store_url, down=True)
    down_at_ms = clock_ms()
    cell.processes.kill(restarted)
    cell.start_entry(restarted)
    wait_until(
        lambda: clock_ms() - down_at_ms > _OUTAGE_MS,
        'the clock stands still',
    )
    assert [run.outcome for run in harness.runs(watch)] == ['']
    cell.control(cell.store_url, down=False)
    cell.wait_ready(restarted)
    after = harness.caller(restarted).submit([job('after')])
    assert after[0].is_accepted
    harness.wait_settled()
    assert [run.attempt for run in harness.runs(watch)] == [running.attempt]


def test_worker_connections_go_silent(harness: Harness) -> None:
    """Guards against waiting for ever on a connection that died silently."""
    caller = harness.caller()
    watches = caller.submit([service(f'watch-{number}') for number in range(8)])
    attempts = [harness.wait_running(watch).attempt for watch in watches]
    before = harness.control_workers(silence_open_connections=True)
    wait_until(
        lambda: all(
            state['calls_count']['exchange']
            > before[worker]['calls_count']['exchange']
            for worker, state in harness.control_workers().items()
        ),
        'a worker is not called any more',
    )
    caller.submit([job(f'after-{number}') for number in range(8)])
    harness.wait_settled()
    for watch, attempt in zip(watches, attempts, strict=True):
        assert [run.attempt for run in harness.runs(watch)] == [attempt]


def test_lost_store_reply_at_a_submission(harness: Harness) -> None:
    """Guards against a job taken twice, or lost, with a lost reply."""
    cell = harness.cell
    cell.control(cell.store_url, lose_swap_replies=1)
    caller = harness.caller()
    order = caller.submit([job('order', execution='at_most_once')])[0]
    assert order.is_accepted
    state = cell.control(cell.store_url)
    assert state['lose_swap_replies_count'] == 0
    harness.wait_settled()
    assert [run.outcome for run in harness.runs(order)] == ['succeeded']
