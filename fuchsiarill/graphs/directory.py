"""Entries of the workers of one pool, as listed in the store."""

from fuchsiarill import events
from fuchsiarill.graphs.model import PoolId, WorkerEntry
from fuchsiarill.graphs.ports import DocumentError, DocumentLayout
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.key_value import KvItem


class WorkerDirectory:
    """Parses worker entries; an unreadable entry counts as absent."""

    def __init__(self, pool: PoolId, directory: DocumentLayout) -> None:
        """Start without entries."""
        self._pool = pool
        self._directory = directory
        self._entries: dict[WorkerId, WorkerEntry] = {}

    def entries(self) -> list[WorkerEntry]:
        """Return the entries of the pool."""
        return list(self._entries.values())

    def replace(self, items: tuple[KvItem, ...]) -> None:
        """Replace all entries by a full list."""
        self._entries.clear()
        self.apply_changes(items)

    def apply_changes(self, items: tuple[KvItem, ...]) -> bool:
        """Apply changes; return whether any entry changed.

        A heartbeat rewrites the document and leaves the entry equal.
        """
        is_changed = False
        for item in items:
            worker = WorkerId(
                item.key.removeprefix(self._directory.workers_prefix),
            )
            before = self._entries.pop(worker, None)
            entry = self._read(worker, item)
            if entry is not None:
                self._entries[worker] = entry
            is_changed = is_changed or entry != before
        return is_changed

    def _read(self, worker: WorkerId, item: KvItem) -> WorkerEntry | None:
        if item.value is None:
            return None
        try:
            entry = self._directory.read_worker(worker, item.value)
        except DocumentError as error:
            events.emit(
                events.DOCUMENT_UNREADABLE,
                key=item.key,
                revision=item.revision,
                problem=str(error),
            )
            return None
        return entry if entry.pool == self._pool else None
