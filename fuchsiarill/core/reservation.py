"""Reservation of workers for a job whose tasks do not fit yet."""

from dataclasses import dataclass

from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.resources import Resources


@dataclass(frozen=True, slots=True)
class Reservation:
    """Where and when a waiting job is expected to start.

    `tasks_count_by_worker` tells how many tasks each held worker will run, and
    `size` the size to reserve for each of them.
    Other tasks use a held worker only if they end before `starts_at_ms` or
    leave enough free capacity.
    """

    job_id: JobId
    size: Resources
    tasks_count_by_worker: dict[WorkerId, int]
    starts_at_ms: int
    created_at_ms: int
