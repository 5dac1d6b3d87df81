"""Advice while workers are replaced faster than the service answers."""

from typing import Final

from returns.result import Result

from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs.model import (
    AdvicePolicy,
    GraphConfig,
    PoolPolicy,
    Step,
    StepKey,
    Ticket,
)
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import Generation, WorkerId
from fuchsiarill.ports.agents import AgentFailure
from tests.graph_cell import (
    P0,
    POOL,
    QUEUE,
    TASK_SIZE,
    GraphCell,
    GrantingAdvisor,
    queue_policy,
)

_CALL_MS: Final = 800
_REPLACEMENT_INTERVAL_MS: Final = 400
_VALIDITY_MS: Final = 2000


class _SlowAdvisor(GrantingAdvisor):
    """Answers after `_CALL_MS`; records named workers that have ended."""

    def __init__(self, cell: GraphCell) -> None:
        super().__init__(cell.fleet, _VALIDITY_MS)
        self._cell = cell
        self.ended_workers: set[WorkerId] = set()

    async def advise(
        self,
        step: StepKey,
        workers: tuple[WorkerId, ...],
        timeout_ms: int,
    ) -> Result[dict[WorkerId, Ticket], AgentFailure]:
        self.ended_workers.update(set(workers) - self._cell.fleet.agents.keys())
        await sleep_ms(_CALL_MS)
        return await super().advise(step, workers, timeout_ms)


def _replace_worker(cell: GraphCell, name: str, successor: str) -> None:
    """End a worker that runs nothing, and add another one."""
    cell.fleet.agents.pop(name)
    cell.unlist_worker(name)
    cell.add_worker(successor)


def test_queued_request_names_no_ended_workers() -> None:
    """Guards against jobs that never start while workers are replaced.

    On a day with 156 crashes of workers a request named workers and then waited
    up to 13 s for the service; most of them had ended when it answered.
    """

    async def main() -> None:
        cell = GraphCell(1, 1)
        advisor = _SlowAdvisor(cell)
        cell.advisor = advisor
        advice = AdvicePolicy(_CALL_MS, 0, _VALIDITY_MS)
        cell.config = GraphConfig(
            Generation(1),
            {QUEUE: queue_policy(advice=advice)},
            {POOL: PoolPolicy(POOL)},
        )
        await cell.start()
        await sleep_ms(1500)
        jobs = [f'j{number}' for number in range(4)]
        for job in jobs:
            await cell.submit(P0, job, (Step(1, TASK_SIZE),), duration_ms=100)
        for number in range(5):
            await sleep_ms(_REPLACEMENT_INTERVAL_MS)
            _replace_worker(cell, f'w{number}', f'w{number + 1}')
        for job in jobs:
            await cell.wait_phase(job, JobPhase.SUCCEEDED, 9000)
        assert not advisor.ended_workers
        await cell.stop()

    run_paused(main())
