"""Metrics of a process that serves job graphs."""

from collections.abc import Mapping
from typing import Final, TypeVar

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from returns.result import Failure, Result

from fuchsiarill.clock import MS_PER_SECOND, now_ms
from fuchsiarill.codes import ResultCode
from fuchsiarill.graphs.load_metrics import LoadMetrics
from fuchsiarill.graphs.model import EndKind, PoolId, QueueId
from fuchsiarill.ids import CustomerId, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvChanges,
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvPage,
    KvTransaction,
)
from fuchsiarill.reception.observation import ReceptionMetrics
from fuchsiarill.resources import Resources
from fuchsiarill.run_times.run_times import Score

_Answer = TypeVar('_Answer')

_RESOURCE_NAMES: Final = ('processors_milli', 'memory_mb', 'accelerators')
_BUCKET_LIMITS_S: Final = (0.005, 0.02, 0.05, 0.1, 0.3, 1, 3, 10, 30)
_BUCKET_LIMITS_RATIO: Final = (1.1, 1.25, 1.5, 2, 3, 5, 10)


class GraphMetrics:
    """Counters, gauges and histograms in a registry of their own."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = CollectorRegistry()
        self.reception = ReceptionMetrics(self.registry)
        self.requests = Histogram(
            'fuchsiarill_graph_request_seconds',
            'Time of requests of callers, by verb and code of the answer.',
            ('verb', 'code'),
            buckets=_BUCKET_LIMITS_S,
            registry=self.registry,
        )
        self.store_calls = Histogram(
            'fuchsiarill_graph_store_call_seconds',
            'Time of calls of the store, by kind and outcome.',
            ('kind', 'outcome'),
            buckets=_BUCKET_LIMITS_S,
            registry=self.registry,
        )
        self.ends = Counter(
            'fuchsiarill_graph_run_ends',
            'Ends of runs, by kind.',
            ('kind',),
            registry=self.registry,
        )
        self.waits = Histogram(
            'fuchsiarill_graph_wait_seconds',
            'Time from acceptance to a start, by queue.',
            ('queue',),
            buckets=_BUCKET_LIMITS_S,
            registry=self.registry,
        )
        self._run_time_errors = Histogram(
            'fuchsiarill_graph_run_time_error_ratio',
            'Run time over expected median, or the inverse; one run in four.',
            ('queue',),
            buckets=_BUCKET_LIMITS_RATIO,
            registry=self.registry,
        )
        self._run_times = Counter(
            'fuchsiarill_graph_run_times',
            'One successful run in four, by whether within the expected p90.',
            ('queue', 'within_p90'),
            registry=self.registry,
        )
        self.owned = Gauge(
            'fuchsiarill_graph_owned_pools',
            'Pools that this process owns.',
            registry=self.registry,
        )
        self.takeovers = Counter(
            'fuchsiarill_graph_takeovers',
            'Times that this process became the owner of a pool.',
            registry=self.registry,
        )
        self.generation = Gauge(
            'fuchsiarill_graph_config_generation',
            'Generation of the configuration in force.',
            registry=self.registry,
        )
        self.load = LoadMetrics(self.registry)

        self.customers = Gauge(
            'fuchsiarill_graph_customer_resources',
            'Use, claim and ceiling of a customer in a pool, by resource.',
            ('pool', 'customer', 'amount', 'resource'),
            registry=self.registry,
        )

    def count_request(
        self, verb: str, code: ResultCode, duration_s: float
    ) -> None:
        """Record the code and the duration of a caller's request."""
        self.requests.labels(verb, code.name).observe(duration_s)

    def count_run_end(self, kind: EndKind) -> None:
        """Count the end of a run by its kind."""
        self.ends.labels(kind.value).inc()

    def observe_wait(self, queue: QueueId, wait_ms: int) -> None:
        """Record how long a started job has waited."""
        self.waits.labels(queue).observe(wait_ms / MS_PER_SECOND)

    def set_customer(
        self,
        pool: PoolId,
        customer: CustomerId,
        amounts: Mapping[str, Resources],
    ) -> None:
        """Set the use, claim and ceiling of a customer in an owned pool."""
        for amount, resources in amounts.items():
            rows = zip(_RESOURCE_NAMES, resources.as_tuple(), strict=False)
            for resource, count in rows:
                self.customers.labels(pool, customer, amount, resource).set(
                    count
                )

    def forget_pool(self, pool: PoolId) -> None:
        """Remove the customers of a pool that is no longer owned."""
        self.customers.remove_by_labels({'pool': pool})

    def observe_run_time(self, score: Score) -> None:
        """Record how the run time of a run compares with the expected one."""
        self._run_time_errors.labels(score.queue).observe(score.error_ratio)
        is_covered = str(score.is_covered).lower()
        self._run_times.labels(score.queue, is_covered).inc()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)


class ObservedStore:
    """A store that records the duration and outcome of each call."""

    def __init__(self, store: KeyValuePort, metrics: GraphMetrics) -> None:
        """Forward calls to `store` and record them in `metrics`."""
        self._store = store
        self._metrics = metrics

    async def get(
        self,
        key: StoreKey,
        timeout_ms: int,
    ) -> Result[KvItem, KvFailure]:
        """Read a key."""
        started_ms = now_ms()
        call_result = await self._store.get(key, timeout_ms)
        return self._observe('get', started_ms, call_result)

    async def list_prefix(
        self,
        prefix: str,
        after: StoreKey | None,
        timeout_ms: int,
    ) -> Result[KvPage, KvFailure]:
        """Read the items of a prefix that follow the key `after`."""
        started_ms = now_ms()
        call_result = await self._store.list_prefix(prefix, after, timeout_ms)
        return self._observe('list', started_ms, call_result)

    async def watch_prefix(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
    ) -> Result[KvChanges, KvFailure]:
        """Wait for changes of a prefix, for at most `wait_ms`."""
        started_ms = now_ms()
        call_result = await self._store.watch_prefix(prefix, after, wait_ms)
        return self._observe('watch', started_ms, call_result)

    async def commit(
        self,
        transaction: KvTransaction,
        timeout_ms: int,
    ) -> Result[KvCommitted | KvConflict, KvFailure]:
        """Execute a transaction."""
        started_ms = now_ms()
        call_result = await self._store.commit(transaction, timeout_ms)
        return self._observe('commit', started_ms, call_result)

    async def grant_lease(
        self,
        ttl_ms: int,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Create a lease."""
        started_ms = now_ms()
        call_result = await self._store.grant_lease(ttl_ms, timeout_ms)
        return self._observe('grant_lease', started_ms, call_result)

    async def renew_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """Extend a lease."""
        started_ms = now_ms()
        call_result = await self._store.renew_lease(lease, timeout_ms)
        return self._observe('renew_lease', started_ms, call_result)

    async def end_lease(
        self,
        lease: StoreLeaseId,
        timeout_ms: int,
    ) -> Result[StoreLeaseId, KvFailure]:
        """End a lease and delete its keys."""
        started_ms = now_ms()
        call_result = await self._store.end_lease(lease, timeout_ms)
        return self._observe('end_lease', started_ms, call_result)

    def _observe(
        self,
        kind: str,
        started_ms: int,
        call_result: Result[_Answer, KvFailure],
    ) -> Result[_Answer, KvFailure]:
        outcome = 'answered'
        if isinstance(call_result, Failure):
            outcome = call_result.failure().value
        duration_s = (now_ms() - started_ms) / MS_PER_SECOND
        self._metrics.store_calls.labels(kind, outcome).observe(duration_s)
        return call_result
