"""The processes that have published their address in the store."""

from fuchsiarill.graphs.records import ProcessRecord, decode_process
from fuchsiarill.ids import ProcessId, Revision
from fuchsiarill.ports.key_value import KvItem


class ListedProcesses:
    """Records of the other processes, and the order of all starts."""

    def __init__(self, own_process: ProcessId) -> None:
        """Create an empty list for the process `own_process`."""
        self.peers: dict[ProcessId, ProcessRecord] = {}
        self._own_process = own_process
        # Revision at which each process published its address.
        self._revisions: dict[ProcessId, Revision] = {}

    def clear(self) -> None:
        """Forget all processes, before a full list is applied."""
        self.peers.clear()
        self._revisions.clear()

    def apply_item(self, process: ProcessId, item: KvItem) -> None:
        """Apply a change of the record of a process."""
        self._revisions.pop(process, None)
        self.peers.pop(process, None)
        if item.value is None:
            return
        self._revisions[process] = item.revision
        if process != self._own_process:
            self.peers[process] = decode_process(item.value)

    def addresses(self) -> dict[ProcessId, str]:
        """Return the address of each other process."""
        return {
            process: record.address for process, record in self.peers.items()
        }

    def count_later(self) -> int:
        """Count the processes that published their address after this one.

        Each process publishes it once, when it starts.
        """
        own_revision = self._revisions.get(self._own_process)
        if own_revision is None:
            return 0
        return sum(
            revision > own_revision for revision in self._revisions.values()
        )
