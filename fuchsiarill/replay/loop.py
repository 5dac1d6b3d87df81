"""An event loop that can suspend single processes of a replay.

Several processes share the loop. Each task carries the incarnation of its
process in its context; while an incarnation is held, none of its callbacks
runs, as after SIGSTOP. A killed process stays held until the replay ends.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVarTuple, Unpack

from fuchsiarill.clock import PausedLoop

_Arguments = TypeVarTuple('_Arguments')


class Incarnation:
    """One run of a process from a start to the following end."""

    def __init__(self, process: str, number: int) -> None:
        """Create a running incarnation; `number` counts the starts."""
        self.process = process
        self.number = number
        self.is_held = False
        self._deferred: list[_Callback] = []

    def defer(self, callback: '_Callback') -> None:
        """Queue a callback that is due while the process is held."""
        self._deferred.append(callback)

    def hold(self) -> None:
        """Run no callbacks until `release`."""
        self.is_held = True

    def release(self, loop: 'ReplayLoop') -> None:
        """Run callbacks again, first the deferred ones in their order."""
        self.is_held = False
        deferred = self._deferred
        self._deferred = []
        for callback in deferred:
            loop.call_soon(callback, context=callback.context)


INCARNATION: ContextVar[Incarnation | None] = ContextVar(
    'incarnation',
    default=None,
)


def process_name() -> str:
    """Return the name of the running process, or an empty string."""
    incarnation = INCARNATION.get()
    return '' if incarnation is None else incarnation.process


class _Callback:
    """A callback of a process; deferred while the process is held."""

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
        # A timer that was cancelled after it was deferred must not fire.
        if self.handle is not None and self.handle.cancelled():
            return
        if self._incarnation.is_held:
            self._incarnation.defer(self)
            return
        self._run(*self._arguments)


class ReplayLoop(PausedLoop):
    """Loop in virtual time that assigns each callback to its process."""

    def call_soon(
        self,
        callback: Callable[[Unpack[_Arguments]], object],
        *args: Unpack[_Arguments],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback for the process of its context."""
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
        """Schedule a timer for the process of its context."""
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
    own_context = copy_context() if context is None else context
    incarnation = own_context.get(INCARNATION)
    if incarnation is None:
        return None
    return _Callback(incarnation, callback, arguments, own_context)
