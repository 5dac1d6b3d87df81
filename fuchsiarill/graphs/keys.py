"""Keys of the records in the store.

`control/owner/POOL` (ephemeral) and `control/process/PROCESS` are watched by
every process, `jobs/POOL/JOB/graph` and `jobs/POOL/JOB/cancel` by the owner
of the pool. `fleet/POOL`, `pending/POOL`, `claims/POOL`, `load/POOL`,
`run_times/POOL` and `progress/POOL/JOB` are written by the owner.
"""

from typing import Final

from fuchsiarill.graphs.model import PoolId
from fuchsiarill.ids import JobId, ProcessId, StoreKey

CONTROL_PREFIX: Final = 'control/'
CLAIMS_PREFIX: Final = 'claims/'
_OWNER_PREFIX: Final = 'control/owner/'
_PROCESS_PREFIX: Final = 'control/process/'
_GRAPH: Final = 'graph'
_CANCEL: Final = 'cancel'


def owner_key(pool: PoolId) -> StoreKey:
    """Return the ephemeral key that the owner of a pool holds."""
    return StoreKey(f'{_OWNER_PREFIX}{pool}')


def owned_pool(key: StoreKey) -> PoolId | None:
    """Return the pool of an owner key, `None` for other keys."""
    if not key.startswith(_OWNER_PREFIX):
        return None
    return PoolId(key.removeprefix(_OWNER_PREFIX))


def process_key(process: ProcessId) -> StoreKey:
    """Return the key under which a process publishes its peer address."""
    return StoreKey(f'{_PROCESS_PREFIX}{process}')


def listed_process(key: StoreKey) -> ProcessId | None:
    """Return the process of a process key, `None` for other keys."""
    if not key.startswith(_PROCESS_PREFIX):
        return None
    return ProcessId(key.removeprefix(_PROCESS_PREFIX))


def fleet_key(pool: PoolId) -> StoreKey:
    """Return the key of the pool's fleet record."""
    return StoreKey(f'fleet/{pool}')


def pending_key(pool: PoolId) -> StoreKey:
    """Return the key of the counts of jobs that have not started."""
    return StoreKey(f'pending/{pool}')


def claims_key(pool: PoolId) -> StoreKey:
    """Return the key of the pool's claims on the ceilings of customers."""
    return StoreKey(f'{CLAIMS_PREFIX}{pool}')


def claiming_pool(key: StoreKey) -> PoolId | None:
    """Return the pool of a key of claims, `None` for other keys."""
    if not key.startswith(CLAIMS_PREFIX):
        return None
    return PoolId(key.removeprefix(CLAIMS_PREFIX))


def load_key(pool: PoolId) -> StoreKey:
    """Return the key of the pool's state of load."""
    return StoreKey(f'load/{pool}')


def run_times_key(pool: PoolId) -> StoreKey:
    """Return the key of the run times that owners of the pool have learned."""
    return StoreKey(f'run_times/{pool}')


def jobs_prefix(pool: PoolId) -> str:
    """Return the prefix of the jobs of a pool and of their cancellations."""
    return f'jobs/{pool}/'


def progress_prefix(pool: PoolId) -> str:
    """Return the prefix of the progress of a pool's jobs."""
    return f'progress/{pool}/'


def graph_key(pool: PoolId, job: JobId) -> StoreKey:
    """Return the key whose existence means that a job is accepted."""
    return StoreKey(f'jobs/{pool}/{job}/{_GRAPH}')


def cancel_key(pool: PoolId, job: JobId) -> StoreKey:
    """Return the key whose existence means that a job is cancelled."""
    return StoreKey(f'jobs/{pool}/{job}/{_CANCEL}')


def progress_key(pool: PoolId, job: JobId) -> StoreKey:
    """Return the key of a job's progress."""
    return StoreKey(f'progress/{pool}/{job}')


def job_of_key(key: StoreKey) -> JobId:
    """Return the job of a key under `jobs/`."""
    return JobId(key.split('/')[-2])


def job_of_progress(key: StoreKey) -> JobId:
    """Return the job of a key under `progress/`."""
    return JobId(key.rsplit('/', 1)[-1])


def is_cancel(key: StoreKey) -> bool:
    """Return whether a key under `jobs/` requests a cancellation."""
    return key.endswith(f'/{_CANCEL}')
