"""Entries of the workers of one pool, as listed in the store."""

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.model import PoolId, WorkerEntry
from fuchsiarill.graphs.ports import DocumentError, DocumentLayout
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.key_value import KvItem


class WorkerDirectory:
    """Holds the entries of a pool.

    An unreadable entry and an entry of another pool count as absent.
    """

    def __init__(self, pool: PoolId, documents: DocumentLayout) -> None:
        """Create without entries; `documents` parses those of all pools."""
        self._pool = pool
        self._documents = documents
        self._entries: dict[WorkerId, WorkerEntry] = {}

    def entries(self) -> list[WorkerEntry]:
        """Return the entries of the pool."""
        return list(self._entries.values())

    def replace(self, items: tuple[KvItem, ...]) -> None:
        """Replace all entries by those in a full list of store items."""
        self._entries.clear()
        self.apply_changes(items)

    def apply_changes(self, items: tuple[KvItem, ...]) -> bool:
        """Apply changed store items; return whether any entry changed.

        A heartbeat rewrites the document without changing the entry.
        """
        is_changed = False
        for item in items:
            worker = WorkerId(
                item.key.removeprefix(self._documents.workers_prefix),
            )
            previous_entry = self._entries.pop(worker, None)
            entry = self._parse_entry(worker, item)
            if entry is not None:
                self._entries[worker] = entry
            is_changed = is_changed or entry != previous_entry
        return is_changed

    def _parse_entry(
        self, worker: WorkerId, item: KvItem
    ) -> WorkerEntry | None:
        if item.value is None:
            return None
        try:
            entry = self._documents.read_worker(worker, item.value)
        except DocumentError as error:
            events.emit(
                graph_events.DOCUMENT_UNREADABLE,
                key=item.key,
                revision=item.revision,
                problem=str(error),
            )
            return None
        return entry if entry.pool == self._pool else None
