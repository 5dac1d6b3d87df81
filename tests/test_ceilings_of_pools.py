"""Owners of two pools that share the ceiling of a customer, in paused time."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.model import PoolId, PoolPolicy, QueueId, Step
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import CustomerId, Generation, JobId, StoreKey
from fuchsiarill.ports.key_value import KvWrite
from fuchsiarill.resources import NO_RESOURCES, Resources
from standins.store_model import PathFault
from tests.graph_cell import (
    P0,
    POOL,
    QUEUE,
    TASK_SIZE,
    GraphCell,
    queue_policy,
)

_MASON: Final = CustomerId('mason')
_OTHER_POOL: Final = PoolId('rendering')
_OTHER_QUEUE: Final = QueueId('frames')
# Room for five tasks; the workers of each pool have room for eight.
_CEILING: Final = Resources(10_500)
_WAVES: Final = (Step(12, TASK_SIZE),)
_SAMPLE_MS: Final = 5


class _CeilingCell(GraphCell):
    """A cell with two pools; samples what the customer's tasks use."""

    def __init__(self, processes_count: int, ceiling: Resources) -> None:
        """Create the cell with one contract."""
        super().__init__(processes_count, 0)
        self.highest = NO_RESOURCES
        self.config = replace(
            self.config,
            queues={
                QUEUE: queue_policy(),
                _OTHER_QUEUE: queue_policy(
                    queue=_OTHER_QUEUE, pool=_OTHER_POOL, prefix='/frames/'
                ),
            },
            pools={
                POOL: PoolPolicy(POOL),
                _OTHER_POOL: PoolPolicy(_OTHER_POOL),
            },
            contracts=_contracts(ceiling),
        )

    def set_ceiling(self, ceiling: Resources) -> None:
        """Put a configuration with another ceiling in force."""
        generation = Generation(self.config.generation + 1)
        self.config = replace(
            self.config,
            generation=generation,
            contracts=_contracts(ceiling),
        )
        content = str(generation).encode()
        self.store.write(KvWrite(StoreKey('settings/config'), content))

    def used(self) -> Resources:
        """Return what all running tasks use; all are of the customer."""
        return sum(
            (agent.used() for agent in self.fleet.agents.values()),
            start=NO_RESOURCES,
        )

    async def pass_time(self, duration_ms: int) -> None:
        """Wait, and sample the use meanwhile."""
        end_ms = now_ms() + duration_ms
        while now_ms() < end_ms:
            await sleep_ms(_SAMPLE_MS)
            used = self.used()
            if used.processors_milli > self.highest.processors_milli:
                self.highest = used

    async def submit_waves(self, job: str, queue: QueueId) -> None:
        """Submit a job of more tasks than the ceiling allows at once."""
        await self.submit(
            P0, job, _WAVES, queue, _MASON, duration_ms=500, needs_ticket=False
        )

    def has_succeeded(self, pool: PoolId, job: str) -> bool:
        """Tell whether the success of a job is durable."""
        item = self.store.items.get(keys.progress_key(pool, JobId(job)))
        return item is not None and JobPhase.SUCCEEDED.value.encode() in (
            item.value or b''
        )


def _contracts(ceiling: Resources) -> CustomerContracts:
    return CustomerContracts([CustomerContract(_MASON, ceiling=ceiling)])


def _run(
    scenario: Callable[[_CeilingCell], Awaitable[None]],
    ceiling: Resources = _CEILING,
    processes_count: int = 3,
) -> None:
    async def main() -> None:
        cell = _CeilingCell(processes_count, ceiling)
        await cell.start()
        for number in range(2):
            cell.add_worker(f'w{number}')
            cell.add_worker(f'r{number}', _OTHER_POOL)
        await sleep_ms(1500)
        await scenario(cell)
        await cell.stop()

    run_paused(main())


def test_two_pools_stay_within_one_ceiling() -> None:
    """Guards against pools that each allow the whole ceiling."""

    async def scenario(cell: _CeilingCell) -> None:
        await cell.submit_waves('a', QUEUE)
        await cell.submit_waves('b', _OTHER_QUEUE)
        await cell.pass_time(9000)
        assert cell.highest == TASK_SIZE.times(5)
        assert cell.has_succeeded(POOL, 'a')
        assert cell.has_succeeded(_OTHER_POOL, 'b')

    _run(scenario)


def test_idle_pool_leaves_the_whole_ceiling() -> None:
    """Guards against a fixed division, and claims that are never lowered."""

    async def scenario(cell: _CeilingCell) -> None:
        await cell.submit_waves('a', QUEUE)
        await cell.pass_time(3000)
        assert cell.has_succeeded(POOL, 'a')
        cell.highest = NO_RESOURCES
        await cell.submit_waves('b', _OTHER_QUEUE)
        await cell.pass_time(3000)
        assert cell.highest == TASK_SIZE.times(5)
        assert cell.has_succeeded(_OTHER_POOL, 'b')

    _run(scenario)


def test_new_owner_counts_the_runs_of_the_killed_one() -> None:
    """Guards against starts beside the runs of an owner that was killed."""

    async def scenario(cell: _CeilingCell) -> None:
        await cell.submit_waves('a', QUEUE)
        await cell.submit_waves('b', _OTHER_QUEUE)
        await cell.pass_time(700)
        owner = cell.owner(_OTHER_POOL)
        assert owner is not None
        await cell.kill(owner)
        await cell.pass_time(14_000)
        assert cell.highest == TASK_SIZE.times(5)
        assert cell.has_succeeded(POOL, 'a')
        assert cell.has_succeeded(_OTHER_POOL, 'b')

    _run(scenario)


def test_lost_answers_of_the_store_raise_nothing_twice() -> None:
    """Guards against claims that are counted before they are known."""

    async def scenario(cell: _CeilingCell) -> None:
        owner = cell.owner(_OTHER_POOL)
        assert owner is not None
        await cell.submit_waves('a', QUEUE)
        await cell.submit_waves('b', _OTHER_QUEUE)
        cell.paths[owner].fault = PathFault.ANSWER_LOST
        await cell.pass_time(800)
        cell.paths[owner].fault = PathFault.NONE
        await cell.pass_time(14_000)
        assert cell.highest.fits_in(TASK_SIZE.times(5))
        assert cell.has_succeeded(POOL, 'a')
        assert cell.has_succeeded(_OTHER_POOL, 'b')

    _run(scenario)


def test_lowered_ceiling_stops_starts_but_no_run() -> None:
    """Guards against starts above a lowered ceiling, and stopped runs."""

    async def scenario(cell: _CeilingCell) -> None:
        await cell.submit_waves('a', QUEUE)
        await cell.submit_waves('b', _OTHER_QUEUE)
        await cell.pass_time(200)
        cell.set_ceiling(TASK_SIZE.times(2))
        starts_count = len(cell.fleet.starts)
        await cell.pass_time(200)
        assert len(cell.fleet.starts) == starts_count
        await cell.pass_time(1000)
        cell.highest = NO_RESOURCES
        await cell.pass_time(9000)
        assert cell.highest.fits_in(TASK_SIZE.times(2))
        assert len(cell.fleet.starts) == 24
        assert cell.has_succeeded(POOL, 'a')
        assert cell.has_succeeded(_OTHER_POOL, 'b')

    _run(scenario)


def test_nothing_is_written_without_a_ceiling() -> None:
    """Guards against records and calls in deployments without ceilings."""

    async def scenario(cell: _CeilingCell) -> None:
        await cell.submit_waves('a', QUEUE)
        await cell.pass_time(2000)
        assert cell.highest == TASK_SIZE.times(8)
        claims = [key for key in cell.store.items if key.startswith('claims')]
        assert claims == []

    _run(scenario, NO_RESOURCES)
