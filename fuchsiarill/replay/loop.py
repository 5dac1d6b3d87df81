"""An event loop that holds and ends single processes of a replay.

Several processes share the loop. Each task carries the incarnation of its
process in its context; while an incarnation is held, none of its callbacks
runs, as after SIGSTOP. A killed process is held for good.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVarTuple, Unpack

from fuchsiarill.clock import PausedLoop

_Arguments = TypeVarTuple('_Arguments')


class Incarnation:
    """One life of a process, from its start to its end."""

    def __init__(self, process: str, number: int) -> None:
        """Start running; a restart of the process gets the next number."""
        self.process = process
        self.number = number
        self.is_held = False
        self._parked: list[_Callback] = []

    def park(self, callback: '_Callback') -> None:
        """Keep a callback that came due while the process is held."""
        self._parked.append(callback)

    def hold(self) -> None:
        """Run no callback from now on."""
        self.is_held = True

    def release(self, loop: 'ReplayLoop') -> None:
        """Run again, first what came due in the meantime, in its order."""
        self.is_held = False
        parked = self._parked
        self._parked = []
        for callback in parked:
            loop.call_soon(callback, context=callback.context)


INCARNATION: ContextVar[Incarnation | None] = ContextVar(
    'incarnation',
    default=None,
)


def process_name() -> str:
    """Return the process whose code runs, or an empty name."""
    incarnation = INCARNATION.get()
    return '' if incarnation is None else incarnation.process


class _Callback:
    """A callback of a process, run unless its process is held."""

    def __init__(
        self,
        incarnation: Incarnation,
        run: Callable[..., object],
        arguments: tuple[Any, ...],
        context: Context,
    ) -> None:
        self.context = context
        self.handle: asyncio.Handle | None = None
        self._incarnation = incarnation
        self._run = run
        self._arguments = arguments

    def __call__(self) -> None:
        # A timer that was cancelled after it was parked must not fire.
        if self.handle is not None and self.handle.cancelled():
            return
        if self._incarnation.is_held:
            self._incarnation.park(self)
            return
        self._run(*self._arguments)


class ReplayLoop(PausedLoop):
    """Paused loop that knows which process a callback belongs to."""

    def call_soon(
        self,
        callback: Callable[[Unpack[_Arguments]], object],
        *args: Unpack[_Arguments],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback as one of its process."""
        if isinstance(callback, _Callback):
            return super().call_soon(callback, context=context)
        wrapped = _wrap(callback, args, context)
        if wrapped is None:
            return super().call_soon(callback, *args, context=context)
        handle = super().call_soon(wrapped, context=wrapped.context)
        wrapped.handle = handle
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[_Arguments]], object],
        *args: Unpack[_Arguments],
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer as one of its process."""
        wrapped = _wrap(callback, args, context)
        if wrapped is None:
            return super().call_at(when, callback, *args, context=context)
        handle = super().call_at(when, wrapped, context=wrapped.context)
        wrapped.handle = handle
        return handle


def _wrap(
    callback: Callable[..., object],
    arguments: tuple[Any, ...],
    context: Context | None,
) -> _Callback | None:
    own = copy_context() if context is None else context
    incarnation = own.get(INCARNATION)
    if incarnation is None:
        return None
    return _Callback(incarnation, callback, arguments, own)
