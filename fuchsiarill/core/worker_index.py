"""Index of workers by free resources.

Workers are kept in buckets by the binary magnitude of each free resource, so
the number of buckets that a search visits depends on the shapes of workers and
not on their number.
"""

from collections.abc import Iterator
from itertools import islice

from fuchsiarill.core.worker_view import BucketKey, WorkerView
from fuchsiarill.ids import FailureDomain, WorkerId
from fuchsiarill.resources import Resources

_Bucket = dict[WorkerId, WorkerView]
_Pool = dict[BucketKey, _Bucket]
# Maximum number of workers examined in one bucket. A worker that fits may be
# missed in a larger bucket, but is offered separately when resources on it are
# released.
_EXAMINED_PER_BUCKET_MAX_COUNT = 12
# Maximum number of workers that a search yields.
_FOUND_WORKERS_MAX_COUNT = 96


def _bucket_of(free: Resources) -> BucketKey:
    return (
        free.processors_milli.bit_length(),
        free.memory_mb.bit_length(),
        free.accelerators_count.bit_length(),
        free.slots_count.bit_length(),
    )


class WorkerIndex:
    """The workers that may get tasks, by their free resources."""

    def __init__(self) -> None:
        """Create an index without workers."""
        self._pools: dict[bool, _Pool] = {False: {}, True: {}}
        self._domains: dict[tuple[FailureDomain, bool], _Pool] = {}

    def update(self, worker: WorkerView) -> None:
        """Move a worker to its bucket.

        A worker that is overcommitted or has no free slot is removed.
        """
        free = worker.free
        bucket = _bucket_of(free)
        if worker.bucket == bucket:
            return
        self.remove(worker)
        if not free.slots_count or min(free.as_tuple()) < 0:
            return
        for pool in self._pools_of(worker):
            pool.setdefault(bucket, {})[worker.worker_id] = worker
        worker.bucket = bucket

    def remove(self, worker: WorkerView) -> None:
        """Remove a worker, if it is in the index."""
        if worker.bucket is None:
            return
        for pool in self._pools_of(worker):
            workers = pool[worker.bucket]
            workers.pop(worker.worker_id)
            if not workers:
                pool.pop(worker.bucket)
        worker.bucket = None

    def domains(self, accelerated: bool) -> list[FailureDomain]:
        """Return the domains with workers of a kind, sorted by name."""
        return sorted(
            domain
            for (domain, has_accelerators), pool in self._domains.items()
            if has_accelerators is accelerated and pool
        )

    def search(
        self,
        size: Resources,
        *,
        accelerated: bool,
        domain: FailureDomain | None = None,
        fullest_first: bool = True,
    ) -> Iterator[WorkerView]:
        """Yield workers that `size` fits, bucket by bucket.

        Workers with fewer free accelerators come first, and among equals the
        fuller ones; the reverse if not `fullest_first`.
        """
        pool = self._pools[accelerated]
        if domain is not None:
            pool = self._domains.get((domain, accelerated), {})
        yield from islice(
            _fitting_workers(pool, size, fullest_first),
            _FOUND_WORKERS_MAX_COUNT,
        )

    def _pools_of(self, worker: WorkerView) -> tuple[_Pool, _Pool]:
        accelerated = worker.has_accelerators
        domain_key = (worker.entry.failure_domain, accelerated)
        return self._pools[accelerated], self._domains.setdefault(
            domain_key, {}
        )


def _fitting_workers(
    pool: _Pool,
    size: Resources,
    fullest_first: bool,
) -> Iterator[WorkerView]:
    processors, memory, accelerators, slots = _bucket_of(size)
    fitting_keys = [
        (key[2], key[0] + key[1] + key[3], key)
        for key in pool
        if key[0] >= processors
        and key[1] >= memory
        and key[2] >= accelerators
        and key[3] >= slots
    ]
    fitting_keys.sort(reverse=not fullest_first)
    for _accelerators, _free_magnitude, key in fitting_keys:
        # Copied, as the caller may move the yielded workers to other buckets.
        for worker in tuple(
            islice(pool[key].values(), _EXAMINED_PER_BUCKET_MAX_COUNT)
        ):
            if size.fits_in(worker.free):
                yield worker
