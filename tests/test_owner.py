"""An owner and its successors: basic operation and single faults."""

import asyncio

import pytest

from fuchsiarill import codes
from fuchsiarill.answers import JobAnswer
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.job import Execution, Urgency
from fuchsiarill.owner.keys import LOG_KEYS_COUNT, entry_key
from fuchsiarill.owner.messages import StoreOutageConfirmed
from fuchsiarill.states import PartitionState
from tests.builders import cell, spec
from tests.world import PARTITION, World, is_accepted, job_id_of


def test_job_runs_and_its_waiter_is_answered() -> None:
    """Guards against a job whose submission, wait or result is lost."""

    async def main() -> None:
        world = World()
        world.start()
        owner = await world.until_owned()
        await sleep_ms(500)
        for execution in Execution:
            job = spec(execution.value, execution, run_time_ms=1_000)
            answer = await world.submit_one(owner, job)
            assert is_accepted(answer)
            early_answer = await world.query(owner, job_id_of(answer), 300)
            assert early_answer.code is codes.NOT_FINISHED
            end_answer = await world.query(owner, job_id_of(answer), 5_000)
            assert end_answer.code is codes.JOB_SUCCEEDED
            assert end_answer.outputs == (execution.value,)
        await world.stop()

    run_paused(main())


def test_killed_owner_is_replaced_within_5_s() -> None:
    """Guards against a takeover that takes over 5 s or loses jobs."""

    async def main() -> int:
        world = World()
        for _ in range(3):
            world.start()
        owner = await world.until_owned()
        await sleep_ms(1_000)
        accepted: list[JobAnswer] = []
        for number in range(12):
            execution = tuple(Execution)[number % 2]
            job = spec(f'job {number}', execution, run_time_ms=20_000)
            accepted.extend(await world.submit(owner, job))
        assert all(is_accepted(answer) for answer in accepted)
        killed_at_ms = now_ms()
        await world.kill(owner)
        successor = await world.until_owned()
        probe_spec = spec('probe', run_time_ms=100)
        answer = await world.submit_one(successor, probe_spec)
        await world.cancel(successor, job_id_of(accepted[0]))
        while not world.starts_of(answer):
            await sleep_ms(10)
        takeover_ms = now_ms() - killed_at_ms
        for earlier in accepted[1:]:
            assert earlier.job_id is not None
            end_answer = await world.query(
                successor, job_id_of(earlier), 120_000
            )
            assert end_answer.code is codes.JOB_SUCCEEDED
        assert max(world.accepted_starts().values()) == 1
        await world.stop()
        return takeover_ms

    assert run_paused(main()) < 5_000


def test_hand_over_is_faster_than_a_lease() -> None:
    """Guards against a shutdown that loses jobs or takes as long as a lease."""

    async def main() -> None:
        world = World()
        owner = world.start()
        await world.until_owned()
        world.start()
        await sleep_ms(500)
        answer = await world.submit_one(owner, spec('job', run_time_ms=9_000))
        started_at_ms = now_ms()
        assert await world.hand_over(owner)
        await world.kill(owner)
        successor = await world.until_owned()
        assert now_ms() - started_at_ms < 1_500
        end_answer = await world.query(successor, job_id_of(answer), 20_000)
        assert end_answer.code is codes.JOB_SUCCEEDED
        assert max(world.accepted_starts().values()) == 1
        await world.stop()

    run_paused(main())


def test_store_outage_restricts_to_urgent_work() -> None:
    """Guards against durable acceptances while the store is unreachable.

    Urgent jobs must still start, and retries must not overload the store.
    """

    async def main() -> None:
        world = World(cell(volatile=True))
        world.start()
        owner = await world.until_owned()
        await sleep_ms(500)
        running = spec('running', run_time_ms=60_000)
        running_answer = await world.submit_one(owner, running)
        await sleep_ms(100)
        world.store.is_down = True
        # Membership sends this once all failure domains have lost the store.
        outage = StoreOutageConfirmed(now_ms() + 2 * 3_600_000)
        owner.campaign.mailbox.send(outage)
        await sleep_ms(20_000)
        urgent = spec('urgent', urgency=Urgency.URGENT, run_time_ms=500)
        normal_answer, volatile_answer = await world.submit(
            owner, spec('normal'), urgent
        )
        assert normal_answer.code is codes.STORE_UNAVAILABLE
        assert volatile_answer.code is codes.ACCEPTED_VOLATILE
        await sleep_ms(2_000)
        assert world.starts_of(volatile_answer) == 1
        calls_before = owner.link.calls.total()
        await sleep_ms(3_600_000)
        store_calls = owner.link.calls.total() - calls_before
        exchanges = owner.link.calls['exchange']
        assert store_calls - exchanges < 2 * 3_600
        world.store.is_down = False
        owner = await world.until_owned(20_000)
        end_answer = await world.query(
            owner, job_id_of(running_answer), 120_000
        )
        assert end_answer.code is codes.JOB_SUCCEEDED
        assert world.starts_of(running_answer) == 1
        await world.stop()

    run_paused(main())


@pytest.mark.parametrize('execution', list(Execution))
@pytest.mark.parametrize('lost_message', ['lost_requests', 'lost_answers'])
def test_lost_start_is_resolved(
    lost_message: str, execution: Execution
) -> None:
    """Guards against a lost start or response that blocks or repeats a job."""

    async def main() -> None:
        world = World()
        world.start()
        owner = await world.until_owned()
        await sleep_ms(500)
        getattr(owner.link, lost_message)['start'] = 1
        job = spec('job', execution, run_time_ms=1_000)
        answer = await world.submit_one(owner, job)
        end_answer = await world.query(owner, job_id_of(answer), 30_000)
        assert end_answer.code is codes.JOB_SUCCEEDED
        assert max(world.accepted_starts().values()) == 1
        await world.stop()

    run_paused(main())


def test_start_after_the_deadline_is_refused() -> None:
    """Guards against a late start on workers that know no newer owner."""

    async def main() -> None:
        world = World()
        owner = world.start()
        await world.until_owned()
        await sleep_ms(500)
        successor = world.start()
        successor.link.unreachable.update(world.workers)
        owner.link.hold_on_call = 'start'
        await world.submit(owner, spec('late'))
        await sleep_ms(10_000)
        assert successor.owns()
        owner.link.hold_on_call = ''
        owner.link.is_held = False
        await sleep_ms(1_000)
        assert not world.accepted_starts()
        assert any(worker.refused for worker in world.workers.values())
        await world.stop()

    run_paused(main())


def test_stale_owner_acknowledges_nothing() -> None:
    """Guards against an acceptance of a job that is in no journal."""

    async def main() -> None:
        world = World()
        owner = world.start()
        await world.until_owned()
        world.start()
        await sleep_ms(500)
        owner.link.is_held = True
        submission = asyncio.create_task(world.submit(owner, spec('late')))
        await sleep_ms(6_000)
        owner.link.is_held = False
        answers = await submission
        assert not is_accepted(answers[0])
        await world.stop()

    run_paused(main())


def test_unanswered_order_lost_in_a_restart_is_unknown() -> None:
    """Guards against a second start of an at-most-once task.

    The response to its first start is lost, and the worker then restarts.
    """

    async def main() -> None:
        world = World()
        world.start()
        owner = await world.until_owned()
        await sleep_ms(500)
        owner.link.lost_answers['start'] = 1
        once = spec('once', Execution.AT_MOST_ONCE)
        answer = await world.submit_one(owner, once)
        await sleep_ms(100)
        for worker in world.workers.values():
            worker.restart()
        end_answer = await world.query(owner, job_id_of(answer), 30_000)
        assert end_answer.code is codes.JOB_UNKNOWN
        assert world.starts_of(answer) == 1
        await world.stop()

    run_paused(main())


def test_restarted_worker_does_not_repeat_an_order() -> None:
    """Guards against a second run of an at-most-once task after a restart.

    An idempotent task that is lost in the restart of its worker runs again.
    """

    async def main() -> None:
        world = World()
        world.start()
        owner = await world.until_owned()
        await sleep_ms(500)
        once = spec('once', Execution.AT_MOST_ONCE)
        again = spec('again', run_time_ms=1_000)
        answers = await world.submit(owner, once, again)
        await sleep_ms(100)
        for worker in world.workers.values():
            worker.restart()
        lost_answer = await world.query(owner, job_id_of(answers[0]), 30_000)
        assert lost_answer.code is codes.JOB_UNKNOWN
        repeated_answer = await world.query(
            owner, job_id_of(answers[1]), 30_000
        )
        assert repeated_answer.code is codes.JOB_SUCCEEDED
        await world.stop()

    run_paused(main())


def test_snapshots_bound_the_journal() -> None:
    """Guards against an unbounded journal and against oversized values."""

    async def main() -> None:
        world = World()
        world.start()
        owner = await world.until_owned()
        large = [
            spec(f'large {number}', run_time_ms=1, payload='x' * 90_000)
            for number in range(12)
        ]
        accepted = list(await world.submit(owner, *large))
        for number in range(200):
            job = spec(f'job {number}', run_time_ms=1, payload='x' * 2_000)
            accepted.extend(await world.submit(owner, job))
            await sleep_ms(30)
        await sleep_ms(20_000)
        log = [key for key in world.store.keys() if '/log/' in key]
        assert len(log) <= LOG_KEYS_COUNT
        dump = owner.campaign.snapshot()['journal']
        assert dump['next_index'] - dump['first_index'] <= LOG_KEYS_COUNT / 2
        assert world.store.largest_bytes < 512_000
        await world.kill(owner)
        world.start()
        owner = await world.until_owned()
        for answer in accepted:
            found = await world.query(owner, job_id_of(answer))
            assert found.code is codes.JOB_SUCCEEDED
        await world.stop()

    run_paused(main())


@pytest.mark.parametrize('text', ['{"format":2}', 'damaged'])
def test_unreadable_journal_is_not_changed(text: str) -> None:
    """Guards against serving or changing a journal that cannot be parsed."""

    async def main() -> None:
        world = World()
        world.store.put(entry_key(PARTITION, 1), text)
        process = world.start()
        await sleep_ms(60_000)
        assert process.campaign.state is PartitionState.STANDBY
        assert world.store.read(entry_key(PARTITION, 1)).value == text
        assert process.link.calls.total() < 200
        await world.stop()

    run_paused(main())
