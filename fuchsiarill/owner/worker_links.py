"""The links of one owner to the workers of its partition."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from fuchsiarill.actor import Mailbox
from fuchsiarill.core.state import CoreState
from fuchsiarill.ids import (
    AttemptId,
    IncarnationId,
    PartitionId,
    WorkerId,
)
from fuchsiarill.owner import messages
from fuchsiarill.owner.worker_link import (
    AddressChanged,
    LinkParameters,
    WorkerLink,
)
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.routing import partition_of_rack
from fuchsiarill.workers import HostEntry


@dataclass(frozen=True, slots=True)
class WorkerLinkPorts:
    """The worker port and the owner's mailbox, which all links share."""

    workers: WorkerPort
    owner: Mailbox


class WorkerLinks:
    """The links to the listed workers.

    The link of an unlisted worker is kept until the worker has no attempts.
    """

    def __init__(
        self, ports: WorkerLinkPorts, link_parameters: LinkParameters
    ) -> None:
        """Start without links; `link_parameters` apply to all."""
        self.links: dict[WorkerId, WorkerLink] = {}
        self._addresses: dict[WorkerId, str] = {}
        self._ports = ports
        self._link_parameters = link_parameters
        self._unlisted: set[WorkerId] = set()

    def update_hosts(
        self,
        entries: Iterable[HostEntry],
        state: CoreState,
    ) -> None:
        """Create links to new workers; notify links whose address changed.

        A link outlives a change of address, since it knows which attempts are
        under way and until when their leases last.
        """
        self._unlisted.update(self.links)
        listed_entries = tuple(entries)
        self._link_parameters = replace(
            self._link_parameters, workers_count=len(listed_entries)
        )
        for entry in listed_entries:
            self._unlisted.discard(entry.worker_id)
            if entry.worker_id in self.links:
                self._update_address(entry)
                continue
            restored_starts = _restored_starts(entry.worker_id, state)
            self._create_link(entry, restored_starts)

    async def stop_unlisted_links(self, state: CoreState) -> None:
        """Stop the links of unlisted workers that have no attempts left."""
        for worker_id in tuple(self._unlisted):
            worker = state.workers.get(worker_id)
            if worker is not None and worker.attempts:
                continue
            self._unlisted.discard(worker_id)
            self._addresses.pop(worker_id)
            await self.links.pop(worker_id).stop()

    def send(self, worker_id: WorkerId, message: object) -> bool:
        """Send to a link; `False` if there is none or its mailbox is full."""
        link = self.links.get(worker_id)
        return link is not None and link.mailbox.send(message)

    def change_lease(self, change: messages.LeaseChanged) -> None:
        """Apply a new lease length and exchange interval to all links."""
        self._link_parameters = replace(
            self._link_parameters,
            task_lease_ms=change.task_lease_ms,
            exchange_interval_ms=change.exchange_interval_ms,
        )
        for link in self.links.values():
            link.mailbox.send(change)

    def allow_renewals(self, message: messages.RenewalsAllowed) -> None:
        """Set for all links the time until which they may renew task leases."""
        self._link_parameters = replace(
            self._link_parameters, renew_until_ms=message.until_ms
        )
        for link in self.links.values():
            link.mailbox.send(message)

    async def stop(self) -> None:
        """Stop all links."""
        for link in self.links.values():
            await link.stop()
        self.links.clear()
        self._addresses.clear()

    def snapshot(self) -> dict[str, Any]:
        """Return the state of each link for a dump, by worker."""
        return {
            worker_id: link.snapshot() for worker_id, link in self.links.items()
        }

    def _update_address(self, entry: HostEntry) -> None:
        if self._addresses[entry.worker_id] == entry.address:
            return
        # If the mailbox is full, the next host list repeats the message.
        if self.send(entry.worker_id, AddressChanged(entry.address)):
            self._addresses[entry.worker_id] = entry.address

    def _create_link(
        self,
        entry: HostEntry,
        restored_starts: Mapping[AttemptId, IncarnationId],
    ) -> None:
        link = WorkerLink(
            entry,
            replace(self._link_parameters, restored_starts=restored_starts),
            self._ports.workers,
            self._ports.owner,
        )
        self.links[entry.worker_id] = link
        self._addresses[entry.worker_id] = entry.address
        link.start()


def hosts_of_partition(
    entries: Iterable[HostEntry],
    state: CoreState,
) -> tuple[HostEntry, ...]:
    """Return the hosts whose racks belong to the partition."""
    region = region_of(state.partition)
    return tuple(
        entry
        for entry in entries
        if entry.region == region
        and state.partition
        == partition_of_rack(state.config, entry.region, entry.rack)
    )


def region_of(partition: PartitionId) -> str:
    """Return the region part of a partition id."""
    return partition.rpartition('.')[0]


def _restored_starts(
    worker_id: WorkerId,
    state: CoreState,
) -> dict[AttemptId, IncarnationId]:
    restored_starts = {}
    for attempt_id, incarnation in state.recovery.intents.items():
        attempt = state.attempts.get(attempt_id)
        if attempt is not None and attempt.worker_id == worker_id:
            restored_starts[attempt_id] = incarnation
    return restored_starts
