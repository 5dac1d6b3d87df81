"""Actors: tasks that own their state and exchange messages.

An actor handles one message at a time, so its state needs no lock. Mailboxes
are bounded: a full one refuses a message, and the sender answers its caller
with an overload code instead of queueing without limit.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Final, Generic, TypeVar

from fuchsiarill import events
from fuchsiarill.clock import MS_PER_SECOND

_Message = TypeVar('_Message')
_Answer = TypeVar('_Answer')
_Handler = Callable[..., Awaitable[None]]
_Method = TypeVar('_Method', bound=_Handler)

MAILBOX_CAPACITY: Final = 4096


class Reply(Generic[_Answer]):
    """Holds the answer to one message.

    An answer for which nobody waits any longer has no effect.
    """

    def __init__(self) -> None:
        """Create a pending reply; needs a running loop."""
        loop = asyncio.get_running_loop()
        self._future: asyncio.Future[_Answer] = loop.create_future()

    def answer(self, outcome: _Answer) -> None:
        """Resolve the reply; only the first answer counts."""
        if not self._future.done():
            self._future.set_result(outcome)

    async def wait(self, timeout_ms: float) -> _Answer:
        """Return the answer; raises `TimeoutError` after `timeout_ms`.

        The reply can be waited for again after that.
        """
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            return await asyncio.shield(self._future)


class Mailbox:
    """Bounded queue of messages for one actor."""

    def __init__(self, capacity: int = MAILBOX_CAPACITY) -> None:
        """Create an empty mailbox for at most `capacity` messages."""
        self._queue: asyncio.Queue[object] = asyncio.Queue(capacity)

    def send(self, message: object) -> bool:
        """Enqueue a message; returns `False` when the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> object:
        """Wait for the next message."""
        return await self._queue.get()

    def __len__(self) -> int:
        return self._queue.qsize()


def handles(message_type: type) -> Callable[[_Method], _Method]:
    """Register the decorated method as handler of `message_type`."""

    def decorator(method: _Method) -> _Method:
        method.__dict__['handled_message'] = message_type
        return method

    return decorator


class Actor:
    """Base of all actors; subclasses mark handlers with `handles`."""

    handlers: ClassVar[dict[type, _Handler]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the handlers that the class and its bases declare."""
        super().__init_subclass__()
        cls.handlers = dict(cls.handlers)
        for member in cls.__dict__.values():
            message_type = getattr(member, 'handled_message', None)
            if message_type is not None:
                cls.handlers[message_type] = member

    def __init__(self, name: str) -> None:
        """Create the actor with an empty mailbox; `start` runs it."""
        self.name = name
        self.mailbox = Mailbox()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Run the actor as a task of the running loop."""
        self._tasks.append(asyncio.create_task(self._run(), name=self.name))

    def tick_every(self, interval_ms: float, message: object) -> None:
        """Send `message` to the actor's own mailbox at a fixed interval.

        A tick that finds the mailbox full is dropped.
        """
        sending_ticks = self._send_ticks(interval_ms, message)
        self._tasks.append(asyncio.create_task(sending_ticks, name=self.name))

    async def stop(self) -> None:
        """Cancel the actor's tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump; subclasses add their own entries."""
        return {'actor': self.name, 'mailbox_count': len(self.mailbox)}

    def fault(self) -> str | None:
        """Return the error of a task that ended without `stop`, or `None`."""
        for task in self._tasks:
            if task.done() and not task.cancelled():
                return repr(task.exception())
        return None

    async def _send_ticks(self, interval_ms: float, message: object) -> None:
        while True:
            await asyncio.sleep(interval_ms / MS_PER_SECOND)
            self.mailbox.send(message)

    async def _run(self) -> None:
        while True:
            message = await self.mailbox.receive()
            handler = self.handlers[type(message)]
            try:
                await handler(self, message)
            except Exception as error:
                events.emit(
                    events.ACTOR_FAILED,
                    actor=self.name,
                    message_type=type(message).__name__,
                    error=repr(error),
                )
