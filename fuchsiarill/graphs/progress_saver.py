"""Saves the changed records of an owner, one message at a time."""

from dataclasses import replace
from typing import Final

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.load_publisher import LoadPublisher
from fuchsiarill.graphs.model import QueueId
from fuchsiarill.graphs.owner_messages import ProcessedEnds, SaveRecords
from fuchsiarill.graphs.run_time_records import RunTimeSnapshots
from fuchsiarill.graphs.settings import RetentionSettings
from fuchsiarill.graphs.worker_table import WorkerView
from fuchsiarill.ids import StoreKey

# Interval of the scans of all jobs; the counts of jobs that have not started
# may be 2 s old.
_SCAN_INTERVAL_MS: Final = 700


class ProgressSaver:
    """Sends changed records once the writer has confirmed earlier ones.

    The fleet record is sent without waiting.
    """

    def __init__(
        self,
        core: GraphCore,
        writer: Mailbox,
        fleet_record: records.FleetRecord,
        retention: RetentionSettings,
        load_publisher: LoadPublisher,
    ) -> None:
        """Send the changed records of `core` to `writer`."""
        self._load_publisher = load_publisher
        self._core = core
        self._pool = core.state.pool
        self._writer = writer
        self._fleet_record = fleet_record
        self._retention = retention
        self._is_saving = False
        self._saved_counts: dict[QueueId, int] = {}
        self._scanned_ms = 0
        self._run_times = RunTimeSnapshots(core.state, now_ms())

    @property
    def is_saving(self) -> bool:
        """Return whether the writer has yet to confirm changed records."""
        return self._is_saving

    def mark_saved(self, message: SaveRecords) -> None:
        """Allow the next `save` once the records of a message are durable.

        A message with fleet workers is ignored: `save` does not wait for it.
        """
        if not message.fleet_workers:
            self._is_saving = False

    def save(self) -> tuple[ProcessedEnds, ...]:
        """Send changed records, unless earlier ones are not confirmed.

        Returns the run ends that workers may discard at once, since no record
        has to be written.
        """
        if self._is_saving:
            return ()
        changed = self._changed_progress()
        deletes: tuple[StoreKey, ...] = ()
        now = now_ms()
        changed.update(self._load_publisher.changed_record(now))
        if now - self._scanned_ms >= _SCAN_INTERVAL_MS:
            self._scanned_ms = now
            changed.update(self._changed_counts())
            changed.update(self._run_times.take_due(now))
            oldest_ms = now - self._retention.settled_job_ms
            deletes = self._remove_expired_jobs(oldest_ms)
        ends = self._processed_ends()
        if not changed and not deletes:
            return ends
        self._is_saving = True
        self._writer.send(SaveRecords(changed, deletes, ends))
        return ()

    def is_fleet_outdated(self) -> bool:
        """Tell whether the record lacks an incarnation that has reported."""
        return any(
            view.reported_born_ms != view.recorded_born_ms
            for view in self._core.state.workers
        )

    def save_fleet(self) -> None:
        """Write the fleet record.

        A worker gets no start until a record that lists it has been saved.
        """
        members = tuple(map(_record_member, self._core.state.workers))
        fleet_record = replace(self._fleet_record, members=members)
        self._writer.send(
            SaveRecords(
                {
                    keys.fleet_key(self._pool): records.encode_fleet(
                        fleet_record
                    )
                },
                fleet_workers=tuple(member.worker for member in members),
            ),
        )

    def _changed_progress(self) -> dict[StoreKey, bytes]:
        jobs = self._core.state.jobs
        return {
            keys.progress_key(self._pool, job): records.encode_progress(
                jobs[job].progress,
            )
            for job in self._core.take_dirty()
            if job in jobs
        }

    def _changed_counts(self) -> dict[StoreKey, bytes]:
        counts = self._core.pending_counts()
        if counts == self._saved_counts:
            return {}
        self._saved_counts = counts
        key = keys.pending_key(self._pool)
        return {key: records.encode_pending(counts)}

    def _processed_ends(self) -> tuple[ProcessedEnds, ...]:
        return tuple(
            ProcessedEnds(view.worker, view.born_ms, view.seen_end)
            for view in self._core.state.workers
            if view.seen_end > view.durable_end
        )

    def _remove_expired_jobs(self, oldest_ms: int) -> tuple[StoreKey, ...]:
        """Remove jobs settled by `oldest_ms`; return their records' keys."""
        expired: list[StoreKey] = []
        for entry in list(self._core.state.jobs.values()):
            if entry.is_active or entry.settled_ms > oldest_ms:
                continue
            self._core.remove_job(entry.job)
            expired.extend(
                (
                    keys.graph_key(self._pool, entry.job),
                    keys.cancel_key(self._pool, entry.job),
                    keys.progress_key(self._pool, entry.job),
                ),
            )
        return tuple(expired)


def _record_member(view: WorkerView) -> records.FleetMember:
    view.recorded_born_ms = view.reported_born_ms
    return records.FleetMember(view.worker, view.address, view.recorded_born_ms)
