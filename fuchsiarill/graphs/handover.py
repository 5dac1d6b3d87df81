"""Hands pools over from a small machine to a larger one.

A small machine becomes the owner of a pool while no larger one takes part in
the election in time. Under load the owner of a hundred workers needs more than
such a machine has: reports and renewals are late, and most tasks are lost.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.actor import handles
from fuchsiarill.clock import now_ms
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.peer_links import PeerLinks
from fuchsiarill.graphs.peers import can_peer_reach_store
from fuchsiarill.graphs.records import ProcessRecord
from fuchsiarill.graphs.settings import MachineSettings
from fuchsiarill.graphs.tenure import Tenure
from fuchsiarill.graphs.tenure_messages import HandOverToLarger
from fuchsiarill.ids import ProcessId

_CHECK_INTERVAL_MS: Final = 500
# The answer may be late while this process is overloaded.
_PROBE_TIMEOUT_MS: Final = 1500
# A larger machine that answers may still lose the election, so the time until
# the next handover of a pool doubles with each.
_FIRST_PAUSE_MS: Final = 4000
_PAUSE_MAX_MS: Final = 60_000


class LargerProcessesListed:
    """The listed processes on larger machines."""

    def __init__(self, peers: Mapping[ProcessId, ProcessRecord]) -> None:
        """Select the larger ones among all listed processes."""
        self.processes = tuple(
            process for process, record in peers.items() if not record.is_small
        )


@dataclass(frozen=True, slots=True)
class _CheckPools:
    """Periodic tick: check whether pools can be handed over."""


@dataclass(slots=True)
class _Pause:
    until_ms: int = 0
    duration_ms: int = _FIRST_PAUSE_MS


class Handover(SpawningActor):
    """Asks the tenures of a process to hand their pools over."""

    def __init__(
        self,
        machine: MachineSettings,
        links: PeerLinks,
        list_tenures: Callable[[], Iterable[Tenure]],
    ) -> None:
        """Probe larger processes through `links` if `machine` is small."""
        super().__init__('handover')
        self._machine = machine
        self._links = links
        self._list_tenures = list_tenures
        self._processes: tuple[ProcessId, ...] = ()
        self._probes_count = 0
        self._pauses: dict[PoolId, _Pause] = {}

    def start(self) -> None:
        """Run the actor and its checks."""
        super().start()
        self.tick_every(_CHECK_INTERVAL_MS, _CheckPools())

    @handles(LargerProcessesListed)
    async def on_listed(self, message: LargerProcessesListed) -> None:
        """Store the names of the larger processes."""
        self._processes = message.processes

    @handles(_CheckPools)
    async def on_check(self, message: _CheckPools) -> None:
        """Probe all larger processes if a pool can be handed over."""
        if not self._machine.is_small or not self._processes:
            return
        if self._probes_count:
            return
        if not any(self._can_hand_over(row) for row in self._list_tenures()):
            return
        self._probes_count = len(self._processes)
        for process in self._processes:
            self.spawn(self._probe(process))

    async def _probe(self, process: ProcessId) -> None:
        """Hand pools over if a process answers and reaches the store."""
        try:
            is_ready = await can_peer_reach_store(
                self._links, process, _PROBE_TIMEOUT_MS
            )
        finally:
            self._probes_count -= 1
        if not is_ready:
            return
        for tenure in self._list_tenures():
            if self._can_hand_over(tenure):
                self._hand_over(tenure, process)

    def _can_hand_over(self, tenure: Tenure) -> bool:
        """Tell whether a handover delays no job by more than an election.

        Before the inheritance is settled, the next owner would wait for the
        task leases of silent workers from the beginning.
        """
        owner = tenure.owner
        if owner is None or not owner.core.state.is_inheritance_settled:
            return False
        pause = self._pauses.get(tenure.pool)
        return pause is None or now_ms() >= pause.until_ms

    def _hand_over(self, tenure: Tenure, process: ProcessId) -> None:
        pause = self._pauses.setdefault(tenure.pool, _Pause())
        pause.until_ms = now_ms() + pause.duration_ms
        pause.duration_ms = min(2 * pause.duration_ms, _PAUSE_MAX_MS)
        events.emit(
            graph_events.POOL_HANDED_OVER, pool=tenure.pool, process=process
        )
        tenure.mailbox.send(HandOverToLarger())
