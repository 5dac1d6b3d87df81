"""Loads records of jobs and cancellations into the core."""

from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.ports.key_value import KvItem


def load_jobs(
    core: GraphCore,
    found: tuple[KvItem, ...],
    progress_found: tuple[KvItem, ...],
    now_ms: int,
) -> None:
    """Add the jobs of the records with their progress; cancel jobs.

    A job whose record was created before the owner was elected is inherited.
    """
    progress = {
        keys.job_of_progress(row.key): row.value for row in progress_found
    }
    present = [(row, row.value) for row in found if row.value is not None]
    for row, content in present:
        job = keys.job_of_key(row.key)
        # A full list after a gap in the watch contains known jobs too.
        if keys.is_cancel(row.key) or job in core.state.jobs:
            continue
        saved = progress.get(job)
        core.add_job(
            records.decode_graph(core.state.pool, job, content),
            records.decode_progress(saved) if saved else JobProgress(),
            now_ms,
            is_inherited=row.created < core.state.epoch,
        )
    # A cancellation may be listed before its job.
    for row, _ in present:
        if keys.is_cancel(row.key):
            core.cancel_job(keys.job_of_key(row.key), now_ms)
