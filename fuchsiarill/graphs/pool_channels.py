"""Channels of an owner to the workers of its pool."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.effects import (
    FenceIncarnation,
    PaceRun,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.model import WorkerEntry
from fuchsiarill.graphs.owner_messages import (
    ProcessedEnds,
    RunEndsDurable,
    StartAnswered,
)
from fuchsiarill.graphs.worker_channel import ChannelContext, WorkerChannel
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure

# Renewals to an unlisted worker without runs stop after this time. If the entry
# of a worker in the store expired during a store outage, the worker writes it
# again before that.
_UNLISTED_GRACE_MS: Final = 3000

Order = StartRun | StopRun | PaceRun | RequestReport | FenceIncarnation


class PoolChannels:
    """Opens a channel to each worker that is listed or inherited.

    An inherited worker is in the fleet record of an earlier owner: the stored
    list of the workers that may have runs of the pool. A channel is closed once
    the worker is unlisted, has no runs, and its grace time or its leases have
    expired.
    """

    def __init__(
        self,
        core: GraphCore,
        context: ChannelContext,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Create without channels.

        `spawn` runs the coroutines that stop channels.
        """
        self._core = core
        self._context = context
        self._spawn = spawn
        self._channels: dict[WorkerId, WorkerChannel] = {}
        self._unlisted_idle_since_ms: dict[WorkerId, int] = {}

    async def stop(self) -> None:
        """Stop all channels."""
        for channel in self._channels.values():
            await channel.stop()

    def snapshot(self) -> list[dict[str, Any]]:
        """Return the state of all channels for a dump."""
        return [channel.snapshot() for channel in self._channels.values()]

    def open_channel(self, worker: WorkerId, address: str) -> None:
        """Open a channel; it replaces an existing channel to the worker."""
        self._close_channel(worker)
        channel = WorkerChannel(AgentAddress(worker, address), self._context)
        self._channels[worker] = channel
        channel.start()

    def update(self, entries: list[WorkerEntry]) -> None:
        """Open channels to listed workers with a new or changed address."""
        for entry in entries:
            channel = self._channels.get(entry.worker)
            if channel is None or channel.agent.address != entry.address:
                self.open_channel(entry.worker, entry.address)

    def send_order(self, order: Order) -> None:
        """Send an order to the channel of its worker.

        If the worker has no channel, a start order is answered with `NOT_SENT`
        and any other order is dropped.
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

    def confirm_durable_ends(self, processed: ProcessedEnds) -> None:
        """Let a worker discard run ends, unless it has restarted since."""
        view = self._core.state.workers.find(processed.worker)
        if view is None or view.born_ms != processed.born_ms:
            return
        view.durable_end = max(view.durable_end, processed.sequence)
        channel = self._channels.get(processed.worker)
        if channel is not None:
            channel.mailbox.send(
                RunEndsDurable(processed.born_ms, processed.sequence)
            )

    def remove_unlisted_workers(self, now_ms: int) -> bool:
        """Remove unlisted workers without runs whose leases have expired.

        Stops renewals to the other unlisted workers without runs after the
        grace time. Returns whether a worker was removed.
        """
        is_any_removed = False
        for view in list(self._core.state.workers):
            if view.is_listed or view.runs:
                self._unlisted_idle_since_ms.pop(view.worker, None)
                continue
            if now_ms <= view.lease_expiry_ms:
                self._stop_renewals_after_grace(view, now_ms)
                continue
            self._core.state.workers.remove(view.worker)
            self._unlisted_idle_since_ms.pop(view.worker, None)
            self._close_channel(view.worker)
            is_any_removed = True
        return is_any_removed

    def _stop_renewals_after_grace(self, view: WorkerView, now_ms: int) -> None:
        """Stop renewals to an unlisted worker after its grace time.

        It has then been unlisted without runs for over `_UNLISTED_GRACE_MS`.
        """
        unlisted_idle_since_ms = self._unlisted_idle_since_ms.setdefault(
            view.worker, now_ms
        )
        if now_ms - unlisted_idle_since_ms > _UNLISTED_GRACE_MS:
            self._close_channel(view.worker)

    def _close_channel(self, worker: WorkerId) -> None:
        channel = self._channels.pop(worker, None)
        if channel is not None:
            self._spawn(channel.stop())
