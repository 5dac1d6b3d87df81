"""The project's emulated platform, which also records what its workers do.

Workers that run a gang end its other members as `broken` when a member is lost,
as the protocol page says of a gang.
"""

import argparse
import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final

from returns.result import Result, Success

from fuchsiarill.graphs.model import (
    EndKind,
    StartOrder,
    StepKey,
    WorkerReport,
)
from fuchsiarill.ids import WorkerId
from fuchsiarill.platform.task_names import task_name
from fuchsiarill.ports.agents import AgentAddress, AgentFailure, RenewalOrder
from fuchsiarill.resources import Resources
from standins.agent_incarnation import AgentModel
from standins.agent_model import Fleet
from standins.delayed_calls import DelayedCalls
from standins.emulator.cell import EmulatedCell
from standins.emulator.controls import CONTROLS
from standins.emulator.http_endpoint import LOOPBACK, HttpEndpoint

_MS: Final = 1000


class LateStarts(DelayedCalls):
    """Leaves a start order without an answer and executes it late."""

    def __init__(self, note: Callable[[str], None]) -> None:
        """Write what is late to the record."""
        super().__init__()
        self._note = note
        # How late the next start order is executed; 0: at once.
        self.next_late_ms = 0
        self._armed_name = ''

    def arm(self, name: str) -> None:
        """Make the call that is made next late, before any other is made."""
        self._armed_name = name

    def delay(self, address: str, execute: Callable[[], None]) -> bool:
        """Execute the armed call later; returns whether this is the one."""
        name = self._armed_name
        self._armed_name = ''
        if not name:
            return False
        self._note(f'{name}: arrives and gets no answer')
        late_ms = self.next_late_ms
        self.next_late_ms = 0
        self._spawn(self._execute_later(execute, late_ms))
        self._spawn(
            self._execute_later(
                partial(self._note, f'{name}: executed, {late_ms} ms late'),
                late_ms,
            )
        )
        return True


class RecordedFleet(Fleet):
    """Workers that write their starts, ends and crashes to the record."""

    def __init__(self, record: Path, gang_step: int | None) -> None:
        """Append to `record`; all tasks of step `gang_step` are gangs."""
        super().__init__()
        self._record = record
        self._gang_step = gang_step
        self._noted: set[tuple[int, int]] = set()
        self.late_calls = LateStarts(self.note)
        self.delayed_calls = self.late_calls

    def note(self, text: str) -> None:
        """Append a line with the time of day."""
        now = round(time.time() * _MS)
        with self._record.open('a') as lines:
            lines.write(f'{now} {text}\n')

    def add(
        self, address: str, capacity: Resources, *args: Any, **fields: Any
    ) -> AgentModel:
        """Add a worker or its next incarnation."""
        self.note(f'worker {address} is up and runs nothing')
        return super().add(address, capacity, *args, **fields)

    def worker_crashed(self, crashed: AgentModel) -> None:
        """Note a crash, which ends the other members of its gangs."""
        self.note(f'worker {crashed.address} crashes, by the test')
        super().worker_crashed(crashed)
        gangs = {
            (task.step_key, attempt)
            for task, attempt, worker in self.starts
            if worker == crashed.worker and task.step == self._gang_step
        }
        for other in self.agents.values():
            _end_members(other, gangs)

    async def start(
        self, agent: AgentAddress, order: StartOrder, timeout_ms: int
    ) -> Result[int, AgentFailure]:
        """Start a run and note it."""
        run = f'{task_name(order.task)} attempt {order.attempt}'
        if self.late_calls.next_late_ms:
            self.late_calls.arm(f'start of {run} at {agent.worker}')
        answered = await super().start(agent, order, timeout_ms)
        outcome = 'started' if isinstance(answered, Success) else 'not started'
        if not isinstance(answered, Success):
            outcome = f'{outcome}: {answered.failure().name}'
        self.note(f'start of {run} at {agent.worker}: {outcome}')
        return answered

    async def renew(
        self, agent: AgentAddress, order: RenewalOrder, timeout_ms: int
    ) -> Result[WorkerReport, AgentFailure]:
        """Answer a report and note the ends that it is the first to list."""
        answered = await super().renew(agent, order, timeout_ms)
        if isinstance(answered, Success):
            self._note_ends(agent.worker, answered.unwrap())
        return answered

    def _note_ends(self, worker: WorkerId, report: WorkerReport) -> None:
        for end in report.ended:
            key = (report.born_ms, int(end.sequence))
            if key in self._noted:
                continue
            self._noted.add(key)
            run = f'{task_name(end.task)} attempt {end.attempt}'
            self.note(f'end of {run} at {worker}: {end.kind.name}')


@CONTROLS.register('late_start')
def _delay_next_start(cell: EmulatedCell, setting: int) -> None:
    """Execute the next start order so many ms late, without an answer."""
    if isinstance(cell.fleet, RecordedFleet):
        cell.fleet.late_calls.next_late_ms = setting


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='review.cell_2.platform')
    parser.add_argument('--record', type=Path, required=True)
    parser.add_argument('--workers', type=int, required=True)
    parser.add_argument('--gang-step', type=int)
    parser.add_argument('--ports', type=int, nargs='+', required=True)
    asyncio.run(_serve(parser.parse_args()))


async def _serve(options: argparse.Namespace) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    fleet = RecordedFleet(options.record, options.gang_step)
    cell = EmulatedCell(options.workers, len(options.ports))
    cell.fleet = fleet
    for port, path in zip(options.ports, cell.store_paths, strict=True):
        HttpEndpoint(cell, port, path, loop).start()
    running = asyncio.create_task(cell.run(f'{LOOPBACK}:{options.ports[0]}'))
    await stopping.wait()
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


def _end_members(worker: AgentModel, gangs: set[tuple[StepKey, int]]) -> None:
    for run in list(worker.runs.values()):
        if (run.task.step_key, run.attempt) in gangs:
            worker.end(run, EndKind.BROKEN)


if __name__ == '__main__':
    main()
