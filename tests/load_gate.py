"""Test harness: an intake with an in-memory store, in virtual time."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from fuchsiarill.actor import Reply
from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs import keys, load_records
from fuchsiarill.graphs.intake import Intake, IntakeAnswer, Submit
from fuchsiarill.graphs.load_gate import LoadContext
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import JobGraph
from fuchsiarill.ids import Epoch
from fuchsiarill.load.pool_load import PoolLoad
from fuchsiarill.ports.key_value import KvWrite
from standins.store_model import StoreModel, StorePath
from tests.graph_cell import settings_of
from tests.test_admission import POOL, TASK, full_pool, job

WIDE = replace(TASK, size=replace(TASK.size, processors_milli=10**6))
OVERLOAD = full_pool(600_000)


def virtual_unix_ns() -> int:
    """Return a wall clock that advances with the virtual time."""
    return (10**12 + now_ms()) * 1_000_000


class Gate:
    """An intake, and the store in which a test publishes the load."""

    def __init__(self) -> None:
        """Create the intake of a process that knows the owner."""
        self.path = StorePath(StoreModel())
        self.metrics = GraphMetrics()
        self.intake = Intake(self.path, settings_of('p0'), self.metrics.load)
        self._context = LoadContext({POOL: Epoch(7)}, has_contracts=True)
        self.tell()

    def tell(self, **changes: Any) -> None:
        """Change what the process knows of its surroundings."""
        self._context = replace(self._context, **changes)
        self.intake.mailbox.send(self._context)

    def write(self, content: bytes) -> None:
        """Write any content as the record of the load."""
        self.path.model.write(KvWrite(keys.load_key(POOL), content))

    async def publish(
        self, load: PoolLoad = OVERLOAD, count: int = 4, ahead_ms: int = 0
    ) -> None:
        """Publish a load at intervals by a clock that is ahead, and read it."""
        for number in range(count):
            unix_ms = time.time_ns() // 1_000_000 + ahead_ms
            load = replace(load, written_unix_ms=unix_ms)
            self.write(load_records.encode_load(load))
            await self.submit(job(WIDE, number=10**9 + number))
            await sleep_ms(500)

    async def submit(self, graph: JobGraph) -> IntakeAnswer:
        """Submit a job with the usual deadline."""
        reply: Reply[IntakeAnswer] = Reply()
        self.intake.mailbox.send(Submit(graph, now_ms() + 2750, reply))
        return await reply.wait(5000)

    def is_recorded(self, graph: JobGraph) -> bool:
        """Tell whether the store has a job."""
        return keys.graph_key(POOL, graph.job) in self.path.model.items


Scenario = Callable[[Gate], Awaitable[None]]


def play(scenario: Scenario) -> None:
    """Run a scenario with a gate."""

    async def main() -> None:
        gate = Gate()
        gate.intake.start()
        await scenario(gate)
        await gate.intake.stop()

    run_paused(main())
