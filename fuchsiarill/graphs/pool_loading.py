"""Reads what earlier owners of a pool left in the store."""

from returns.result import Failure

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs import keys, records
from fuchsiarill.graphs.feeds import list_all
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_messages import PoolLoaded
from fuchsiarill.ports.key_value import KeyValuePort, KvItem

_RETRY_MS = 100


async def load_pool(
    store: KeyValuePort,
    pool: PoolId,
    timeout_ms: int,
) -> PoolLoaded:
    """Read the records of a pool; tries until all have been read."""
    while True:
        loaded = await _try_to_load(store, pool, timeout_ms)
        if loaded is not None:
            return loaded
        await sleep_ms(_RETRY_MS)


async def _try_to_load(
    store: KeyValuePort,
    pool: PoolId,
    timeout_ms: int,
) -> PoolLoaded | None:
    fleet = await store.get(keys.fleet_key(pool), timeout_ms)
    pending = await store.get(keys.pending_key(pool), timeout_ms)
    jobs = await list_all(store, keys.jobs_prefix(pool), timeout_ms)
    progress = await list_all(store, keys.progress_prefix(pool), timeout_ms)
    answers = (fleet, pending, jobs, progress)
    if any(isinstance(answer, Failure) for answer in answers):
        return None
    job_items, jobs_revision = jobs.unwrap()
    progress_items, _ = progress.unwrap()
    known = (fleet.unwrap(), pending.unwrap(), *progress_items)
    return PoolLoaded(
        _fleet(fleet.unwrap()),
        job_items,
        jobs_revision,
        progress_items,
        {found.key: found.revision for found in known},
    )


def _fleet(found: KvItem) -> records.FleetRecord:
    if found.value is None:
        return records.FleetRecord()
    return records.decode_fleet(found.value)
