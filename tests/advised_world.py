"""Simulation in which every worker may run every step, with a ticket."""

from dataclasses import replace

from fuchsiarill.graphs.model import BornMs
from fuchsiarill.ids import WorkerId
from tests.graph_owner import entry
from tests.graph_world import World
from tests.simulated_worker import SimulatedWorker


class AdvisedWorld(World):
    """A world whose advice service grants a ticket for each worker."""

    def may_run(self, job: str, worker: WorkerId) -> bool:
        """Allow every worker for every job."""
        return True

    def add_worker(self, name: str) -> None:
        """List another worker; the entries of the others do not change."""
        self.workers[name] = SimulatedWorker(name, born_ms=self.now_ms)
        listed = [
            view.entry
            for view in self.owner.core.state.workers
            if view.entry is not None
        ]
        added = replace(entry(name), born_ms=BornMs(self.now_ms))
        self.apply_directory([*listed, added])
