"""Calls of an owner to workers, made by many processes.

A process makes several hundred calls a second at most, which a large pool
exceeds. The workers are divided into groups by a hash of their ids, and
another process makes the calls to each group. A worker that one process
can't reach is called through another one, or by this process itself.
"""

import zlib
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill.actor import handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.delivery_route import DeliveryRoute, OpenRoute
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.graphs.states import RouteState
from fuchsiarill.ids import ProcessId, WorkerId

_TICK_INTERVAL_MS: Final = 500
# Processes that may deliver for a group, the preferred one first.
_CANDIDATES_COUNT: Final = 3
# A worker counts for the size of the fleet for this time after a call to it.
_WORKER_COUNTED_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class _UpdateGroups:
    """Periodic tick: choose the processes that deliver for each group."""


class AgentDispatch(SpawningActor):
    """Owns the routes to the other processes, and chooses among them."""

    def __init__(self, links: PeerLinks, settings: GraphSettings) -> None:
        """Create without routes."""
        super().__init__('agent dispatch')
        self._links = links
        self._process = settings.process
        self._settings = settings.delivery
        self._workers_min_count = (
            settings.machine.processors
            * settings.delivery.workers_per_processor_count
        )
        self._routes: dict[ProcessId, DeliveryRoute] = {}
        self._candidates: list[list[ProcessId]] = []
        self._called_ms: dict[WorkerId, int] = {}
        self._avoided_until_ms: dict[tuple[WorkerId, ProcessId], int] = {}

    def start(self) -> None:
        """Run the actor and its ticks."""
        super().start()
        self.tick_every(_TICK_INTERVAL_MS, _UpdateGroups())

    async def stop(self) -> None:
        """Stop all routes; their calls end as unanswered."""
        for route in self._routes.values():
            await route.stop()
        await super().stop()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            **super().snapshot(),
            'workers_count': len(self._called_ms),
            'routes': [route.snapshot() for route in self._routes.values()],
        }

    @handles(_UpdateGroups)
    async def on_update_groups(self, message: _UpdateGroups) -> None:
        """Choose processes by the present links; forget what is over."""
        processes = self._links.processes
        self._candidates = [
            self._rank_processes(group, processes)
            for group in range(self._settings.groups_count)
        ]
        for process in list(self._routes):
            if not self._links.has_link(process):
                self.spawn(self._routes.pop(process).stop())
        now = now_ms()
        self._called_ms = {
            worker: called_ms
            for worker, called_ms in self._called_ms.items()
            if now - called_ms < _WORKER_COUNTED_MS
        }
        self._avoided_until_ms = {
            pair: until_ms
            for pair, until_ms in self._avoided_until_ms.items()
            if until_ms > now
        }

    def find_route(self, worker: WorkerId) -> DeliveryRoute | None:
        """Return an open route to a worker, or `None` to call it directly.

        A route that is closed is opened for later calls.
        """
        now = now_ms()
        self._called_ms[worker] = now
        if len(self._called_ms) < self._workers_min_count:
            return None
        if not self._candidates:
            return None
        group = zlib.crc32(worker.encode()) % len(self._candidates)
        for process in self._candidates[group]:
            if self._avoided_until_ms.get((worker, process), 0) > now:
                continue
            route = self._open_route(process)
            return route if route.state is RouteState.OPEN else None
        return None

    def avoid(self, worker: WorkerId, process: ProcessId) -> None:
        """Call a worker in another way for some time."""
        self._avoided_until_ms[worker, process] = (
            now_ms() + self._settings.avoidance_ms
        )

    def _rank_processes(
        self, group: int, processes: tuple[ProcessId, ...]
    ) -> list[ProcessId]:
        """Return the candidates of a group by rendezvous hashing.

        The name of this process is hashed too, so that two owners rarely use
        the same processes.
        """
        ranked = sorted(
            processes,
            key=lambda process: zlib.crc32(
                f'{self._process}/{group}/{process}'.encode()
            ),
        )
        return ranked[:_CANDIDATES_COUNT]

    def _open_route(self, process: ProcessId) -> DeliveryRoute:
        route = self._routes.get(process)
        if route is None:
            route = DeliveryRoute(process, self._links, self._settings)
            route.start()
            self._routes[process] = route
        if route.state is RouteState.CLOSED:
            route.mailbox.send(OpenRoute())
        return route
