"""Fake of the host list, and the `HostListPort` that calls it."""

from dataclasses import dataclass
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.store import StoreFailure
from fuchsiarill.replay.network import SERVICE_DOMAIN, Endpoint, Network
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.settings import HostListSettings
from fuchsiarill.workers import HostEntry, HostState


@dataclass(frozen=True, slots=True)
class HostsRequested:
    """A request of a process for the host list."""

    process: str
    reply: Reply[Any]


class FakeHostList(Actor):
    """The host list; it answers with its state of `lag_ms` ago."""

    def __init__(
        self, log: ObservationLog, hosts: tuple[HostEntry, ...]
    ) -> None:
        """Start with all hosts live."""
        super().__init__('host_list')
        self.endpoint = Endpoint('host_list', SERVICE_DOMAIN)
        self.lag_ms = 0
        self.is_silent = False
        self._log = log
        self._history = [(0, hosts)]

    @property
    def hosts(self) -> tuple[HostEntry, ...]:
        """Return the current entries, without the lag."""
        return self._history[-1][1]

    def change(self, workers: list[WorkerId], state: HostState) -> None:
        """Change the listed state of workers from now on."""
        changed = []
        for entry in self.hosts:
            if entry.worker_id in workers:
                changed.append(_with_state(entry, state))
                continue
            changed.append(entry)
        self._history.append((now_ms(), tuple(changed)))
        kind = ObservationKind.HOST_BACK
        if state is HostState.LEAVING:
            kind = ObservationKind.HOST_LEAVING
        for worker_id in workers:
            self._log.record(kind, worker_id)

    def unlist(self, workers: list[WorkerId]) -> None:
        """Remove workers from the list."""
        kept = tuple(
            entry for entry in self.hosts if entry.worker_id not in workers
        )
        self._history.append((now_ms(), kept))

    @handles(HostsRequested)
    async def on_hosts_requested(self, message: HostsRequested) -> None:
        """Answer with the entries of `lag_ms` ago, unless silent."""
        if self.is_silent:
            return
        shown = self._history[0][1]
        for since_ms, entries in self._history:
            if since_ms <= now_ms() - self.lag_ms:
                shown = entries
        self._log.record(ObservationKind.HOSTS_FETCHED, message.process)
        message.reply.answer(Success(shown))


class ProcessHostList:
    """`HostListPort` of one process."""

    def __init__(
        self,
        settings: HostListSettings,
        network: Network,
        source: Endpoint,
        host_list: FakeHostList,
    ) -> None:
        """Call `host_list` from the endpoint `source`."""
        self._settings = settings
        self._network = network
        self._source = source
        self._host_list = host_list

    async def fetch(self) -> Result[tuple[HostEntry, ...], StoreFailure]:
        """Return all listed hosts.

        Without an answer within the poll interval, the result is a failure.
        """
        build_request = partial(HostsRequested, self._source.name)
        answer = await self._network.call(
            self._source,
            self._host_list.endpoint,
            lambda reply: self._host_list.mailbox.send(build_request(reply)),
            self._settings.poll_interval_ms,
        )
        match answer:
            case Success(outcome):
                listed: Result[tuple[HostEntry, ...], StoreFailure] = outcome
                return listed
            case _:
                return Failure(StoreFailure.UNREACHABLE)


def _with_state(entry: HostEntry, state: HostState) -> HostEntry:
    return HostEntry(
        entry.worker_id,
        entry.address,
        entry.region,
        entry.failure_domain,
        entry.rack,
        entry.capacity,
        entry.connections_count,
        state,
    )
