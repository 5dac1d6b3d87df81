"""Jobs that were accepted while the store was out of reach."""

from fuchsiarill.core.state import CoreState


def write_volatile(state: CoreState) -> None:
    """Put all that was decided about volatile jobs into the journal."""
    records = state.volatile_records
    state.volatile_records = []
    for record in records:
        state.persist(record)
    for job_id in state.volatile_jobs:
        job = state.jobs.get(job_id)
        if job is not None:
            job.volatile = False
    state.volatile_jobs.clear()
