"""Metrics of the load of the pools and of refused submissions."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.graphs.model import PoolId, QueueId
from fuchsiarill.load.admission import RefusalCause
from fuchsiarill.load.pool_load import PoolLoad

_LABELS: Final = ('pool', 'queue')
_MILLI: Final = 1000


class LoadMetrics:
    """What an owner measures, and what an accepting process refuses."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self._free = Gauge(
            'fuchsiarill_graph_load_free_processors',
            'Processors that are free or that the queue may displace.',
            _LABELS,
            registry=registry,
        )
        self._jobs = Gauge(
            'fuchsiarill_graph_load_waiting_jobs',
            'Jobs with tasks that wait for a start.',
            _LABELS,
            registry=registry,
        )
        self._work = Gauge(
            'fuchsiarill_graph_load_waiting_processor_seconds',
            'Expected processor time of the tasks that wait.',
            _LABELS,
            registry=registry,
        )
        self._drain = Gauge(
            'fuchsiarill_graph_load_drain_processors',
            'Processor time of the tasks started lately, per second.',
            _LABELS,
            registry=registry,
        )
        self._waits = Gauge(
            'fuchsiarill_graph_load_expected_wait_seconds',
            'Expected time until a new wide task of the queue starts.',
            _LABELS,
            registry=registry,
        )
        self._refusals = Counter(
            'fuchsiarill_graph_load_refusals',
            'Submissions refused before anything was written, by cause.',
            (*_LABELS, 'cause'),
            registry=registry,
        )

    def show(self, load: PoolLoad) -> None:
        """Show the load of an owned pool."""
        for queue, row in load.queues.items():
            labels = (load.pool, queue)
            self._free.labels(*labels).set(row.free_milli / _MILLI)
            self._jobs.labels(*labels).set(row.waiting_jobs_count)
            self._work.labels(*labels).set(row.waiting_work_ms / MS_PER_SECOND)
            self._drain.labels(*labels).set(row.drain_milli / _MILLI)
            wait_ms = max(row.waits_ms)
            self._waits.labels(*labels).set(wait_ms / MS_PER_SECOND)

    def forget(self, load: PoolLoad) -> None:
        """Stop to show the load of a pool that is not owned any more."""
        gauges = (self._free, self._jobs, self._work, self._drain, self._waits)
        for queue in load.queues:
            for gauge in gauges:
                gauge.remove(load.pool, queue)

    def count_refusal(
        self, pool: PoolId, queue: QueueId, cause: RefusalCause
    ) -> None:
        """Count a refused submission."""
        self._refusals.labels(pool, queue, cause.value).inc()
