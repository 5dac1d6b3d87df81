"""Asks the advice service, one call at a time, the most urgent step first."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.graphs.effects import AskAdvice
from fuchsiarill.graphs.model import BornMs
from fuchsiarill.graphs.owner_messages import Advised
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.agents import AdvisorPort


@dataclass(frozen=True, slots=True)
class AdviceAsked:
    """An ask with the lives of its workers and who gets the answer."""

    ask: AskAdvice
    asked: dict[WorkerId, BornMs]
    receiver: Mailbox
    # Whether the step still has something to start.
    is_wanted: Callable[[], bool]


@dataclass(order=True, slots=True)
class _Waiting:
    rank_ms: int
    number: int
    message: AdviceAsked = field(compare=False)


class Advisor(Actor):
    """The one caller of the advice service in a process.

    The service handles one call of a machine at a time, so a queue kept here
    can be served in the order of urgency.
    """

    def __init__(self, port: AdvisorPort, timeout_ms: int) -> None:
        """Create the actor; `start` begins to ask."""
        super().__init__('advisor')
        self._port = port
        self._timeout_ms = timeout_ms
        self._waiting: list[_Waiting] = []
        self._asked_count = 0
        self._arrived = asyncio.Event()

    def start(self) -> None:
        """Run the actor and the loop that asks."""
        super().start()
        self._tasks.append(
            asyncio.create_task(self._ask_forever(), name=self.name),
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'waiting_count': len(self._waiting),
            'asked_count': self._asked_count,
        }

    @handles(AdviceAsked)
    async def on_asked(self, message: AdviceAsked) -> None:
        """Queue an ask."""
        self._asked_count += 1
        waiting = _Waiting(message.ask.rank_ms, self._asked_count, message)
        heapq.heappush(self._waiting, waiting)
        self._arrived.set()

    async def _ask_forever(self) -> None:
        while True:
            while not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
            await self._ask(heapq.heappop(self._waiting).message)

    async def _ask(self, message: AdviceAsked) -> None:
        if not message.is_wanted():
            message.receiver.send(
                Advised(message.ask.step, message.asked, None),
            )
            return
        answered = await self._port.advise(
            message.ask.step,
            message.ask.workers,
            self._timeout_ms,
        )
        granted = None
        if not isinstance(answered, Failure):
            granted = answered.unwrap()
        message.receiver.send(
            Advised(message.ask.step, message.asked, granted),
        )
