"""Channels of an owner to the workers of its pool."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import PaceRun, RequestReport, StartRun, StopRun
from fuchsiarill.graphs.model import WorkerEntry
from fuchsiarill.graphs.owner_messages import (
    EndsDurable,
    SeenEnds,
    StartAnswered,
)
from fuchsiarill.graphs.worker_channel import ChannelContext, WorkerChannel
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure

# Renewals to an unlisted worker without runs stop after this time. An entry
# that expired during an outage of the store reappears within it.
_UNLISTED_GRACE_MS: Final = 3000

Order = StartRun | StopRun | PaceRun | RequestReport


class PoolChannels:
    """Opens a channel to each worker and closes it when the worker is gone."""

    def __init__(
        self,
        core: GraphCore,
        context: ChannelContext,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Start without channels; `spawn` runs the closing of a channel."""
        self._core = core
        self._context = context
        self._spawn = spawn
        self._channels: dict[WorkerId, WorkerChannel] = {}
        self._unlisted_since_ms: dict[WorkerId, int] = {}

    async def stop(self) -> None:
        """Stop all channels."""
        for channel in self._channels.values():
            await channel.stop()

    def snapshot(self) -> list[dict[str, Any]]:
        """Return the state of all channels for a dump."""
        return [channel.snapshot() for channel in self._channels.values()]

    def open(self, worker: WorkerId, address: str) -> None:
        """Open a channel; it replaces an existing channel to the worker."""
        self._close(worker)
        channel = WorkerChannel(AgentAddress(worker, address), self._context)
        self._channels[worker] = channel
        channel.start()

    def update(self, entries: list[WorkerEntry]) -> None:
        """Open channels to listed workers with a new or changed address."""
        for entry in entries:
            channel = self._channels.get(entry.worker)
            if channel is None or channel.agent.address != entry.address:
                self.open(entry.worker, entry.address)

    def send_order(self, order: Order) -> None:
        """Send an order to the channel of its worker.

        A start order without a channel is answered as not sent.
        """
        channel = self._channels.get(order.worker)
        if channel is not None:
            channel.mailbox.send(order)
            return
        if isinstance(order, StartRun):
            self._context.owner.send(
                StartAnswered(
                    order.worker,
                    order.task,
                    order.attempt,
                    AgentFailure.NOT_SENT,
                ),
            )

    def ends_durable(self, seen: SeenEnds) -> None:
        """Let a worker discard durable run ends, unless it has restarted."""
        view = self._core.state.workers.find(seen.worker)
        if view is None or view.born_ms != seen.born_ms:
            return
        view.durable_end = max(view.durable_end, seen.sequence)
        channel = self._channels.get(seen.worker)
        if channel is not None:
            channel.mailbox.send(EndsDurable(seen.born_ms, seen.sequence))

    def remove_gone_workers(self, now_ms: int) -> bool:
        """Remove workers that are gone; return whether any was removed."""
        is_changed = False
        for view in list(self._core.state.workers):
            if view.is_listed or view.runs:
                self._unlisted_since_ms.pop(view.worker, None)
                continue
            if now_ms <= view.lease_expiry_ms:
                self._stop_renewals_if_unlisted(view, now_ms)
                continue
            self._core.state.workers.remove(view.worker)
            self._unlisted_since_ms.pop(view.worker, None)
            self._close(view.worker)
            is_changed = True
        return is_changed

    def _stop_renewals_if_unlisted(self, view: WorkerView, now_ms: int) -> None:
        """Stop renewals to a worker that has been unlisted for long enough."""
        since_ms = self._unlisted_since_ms.setdefault(view.worker, now_ms)
        if now_ms - since_ms > _UNLISTED_GRACE_MS:
            self._close(view.worker)

    def _close(self, worker: WorkerId) -> None:
        channel = self._channels.pop(worker, None)
        if channel is not None:
            self._spawn(channel.stop())
