"""Names, times and steps of tests of workers that restart under their ids."""

from typing import Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.model import Step
from tests.graph_cell import P0, TASK_SIZE, GraphCell

WORKER: Final = 'w0'
OTHER_WORKER: Final = 'w1'
STEP: Final = (Step(1, TASK_SIZE),)
# The clock of the first incarnation is then ahead of that of the second one by
# more than the longest lease.
FIRST_LIFE_MS: Final = 10_000
RUN_MS: Final = 20_000


async def submit_delayed(cell: GraphCell, delay_ms: int) -> None:
    """Submit a job whose start is executed after `delay_ms`."""
    await sleep_ms(FIRST_LIFE_MS)
    cell.fleet.delayed_calls.delays_ms[WORKER] = delay_ms
    await cell.submit(P0, 'a', STEP, duration_ms=RUN_MS)
    await sleep_ms(50)
    cell.fleet.delayed_calls.delays_ms.clear()
