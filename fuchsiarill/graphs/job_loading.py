"""Loads records of jobs and cancellations into the core."""

from fuchsiarill.graphs import graph_records, keys, records
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.progress import JobProgress
from fuchsiarill.ports.key_value import KvItem


def load_jobs(
    core: GraphCore,
    job_items: tuple[KvItem, ...],
    progress_items: tuple[KvItem, ...],
    now_ms: int,
) -> None:
    """Add the jobs with their progress, then apply the cancellations.

    `job_items` holds the records of jobs and of cancellations. A job whose
    record was created before the owner was elected is inherited.
    """
    progress = {
        keys.job_of_progress(item.key): item.value for item in progress_items
    }
    existing = [
        (item, item.value) for item in job_items if item.value is not None
    ]
    for item, content in existing:
        job = keys.job_of_key(item.key)
        # A full list after a gap in the watch contains known jobs too.
        if keys.is_cancel(item.key) or job in core.state.jobs:
            continue
        saved_progress = progress.get(job)
        core.add_job(
            graph_records.decode_graph(core.state.pool, job, content),
            records.decode_progress(saved_progress)
            if saved_progress
            else JobProgress(),
            now_ms,
            is_inherited=item.created < core.state.epoch,
        )
    # A cancellation may be listed before its job.
    for item, _ in existing:
        if keys.is_cancel(item.key):
            core.cancel_job(keys.job_of_key(item.key), now_ms)
