"""Metrics of one process, in a registry of its own.

The number of label values is bounded: routes, codes and verbs are known names,
and the customers beyond a limit share one label value.
"""

from collections.abc import Iterator
from contextlib import AbstractContextManager
from itertools import accumulate
from typing import Any, Final, TypeVar

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.metrics_core import HistogramMetricFamily
from returns.result import Failure, Result

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.codes import ResultCode
from fuchsiarill.ids import Revision, StoreKey, StoreLeaseId
from fuchsiarill.owner.decision_times import BOUNDS_MS
from fuchsiarill.ports.store import (
    StoreFailure,
    StorePort,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)
from fuchsiarill.process_messages import Measures
from fuchsiarill.reception.observation import ReceptionMetrics

_Answer = TypeVar('_Answer')

_CUSTOMERS_MAX_COUNT: Final = 100
_OTHER_CUSTOMERS: Final = 'others'
_REQUEST_BUCKETS_S: Final = (0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60)


class Metrics:
    """Counters, gauges and histograms, set by threads and the event loop."""

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = CollectorRegistry()
        self.reception = ReceptionMetrics(self._registry)
        self._submissions = Counter(
            'fuchsiarill_submissions',
            'Jobs submitted to this entry process, by code of the answer.',
            ('code',),
            registry=self._registry,
        )
        self._requests = Histogram(
            'fuchsiarill_request_seconds',
            'Time of HTTP requests, waits included.',
            ('method', 'route'),
            buckets=_REQUEST_BUCKETS_S,
            registry=self._registry,
        )
        self._store_calls = Counter(
            'fuchsiarill_store_calls',
            'Calls of the store, by verb and whether an answer came.',
            ('verb', 'answered'),
            registry=self._registry,
        )
        self._generation = Gauge(
            'fuchsiarill_config_generation',
            'Generation of the configuration in force.',
            registry=self._registry,
        )
        self._owned_partitions = Gauge(
            'fuchsiarill_owned_partitions',
            'Partitions that this process owns.',
            registry=self._registry,
        )
        self._mailbox_messages = Gauge(
            'fuchsiarill_mailbox_messages',
            'Messages that wait for an actor.',
            ('actor',),
            registry=self._registry,
        )
        self._queued_jobs = Gauge(
            'fuchsiarill_queued_jobs',
            'Waiting jobs of a customer in the partitions owned here.',
            ('customer',),
            registry=self._registry,
        )
        self._decisions = _DecisionTimes()
        self._registry.register(self._decisions)

    def count_submission(self, code: ResultCode) -> None:
        """Count the answer to one submitted job."""
        self._submissions.labels(code.name).inc()

    def time_request(
        self, method: str, route_name: str
    ) -> AbstractContextManager[Any]:
        """Return a context manager that measures the time of a request."""
        timer: AbstractContextManager[Any]
        timer = self._requests.labels(method, route_name).time()
        return timer

    def count_store_call(self, verb: str, answered: bool) -> None:
        """Count one call of the store, and whether the store answered."""
        self._store_calls.labels(verb, str(answered).lower()).inc()

    def render(self, measures: Measures) -> bytes:
        """Set the gauges from `measures`; return all metrics as text."""
        self._generation.set(measures.generation)
        self._owned_partitions.set(measures.owned_partitions_count)
        self._decisions.measures = measures
        self._mailbox_messages.clear()
        for actor, count in measures.mailbox_counts.items():
            self._mailbox_messages.labels(actor).set(count)
        self._queued_jobs.clear()
        for customer, jobs_count in _cap_customers(
            measures.queued_counts
        ).items():
            self._queued_jobs.labels(customer).set(jobs_count)
        return generate_latest(self._registry)


class CountingStore:
    """`StorePort` that counts the calls passed to another store."""

    def __init__(self, store: StorePort, metrics: Metrics) -> None:
        """Pass all calls on to `store`."""
        self._store = store
        self._metrics = metrics

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        """Read a key."""
        return self._count_answer('get', await self._store.get(key))

    async def swap(self, swap: Swap) -> SwapResult:
        """Write a key if it still has the expected revision."""
        swap_result = await self._store.swap(swap)
        answered = swap_result.outcome is not SwapOutcome.UNKNOWN
        self._metrics.count_store_call('swap', answered)
        return swap_result

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Create a lease."""
        return self._count_answer(
            'grant', await self._store.grant_lease(ttl_ms)
        )

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Extend a lease."""
        return self._count_answer(
            'renew', await self._store.renew_lease(lease_id)
        )

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """End a lease."""
        return self._count_answer(
            'revoke', await self._store.revoke_lease(lease_id)
        )

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        """Wait for a change of a key."""
        watch_result = await self._store.watch(key, after, wait_ms)
        return self._count_answer('watch', watch_result)

    def _count_answer(
        self,
        verb: str,
        answer: Result[_Answer, StoreFailure],
    ) -> Result[_Answer, StoreFailure]:
        unreachable = answer == Failure(StoreFailure.UNREACHABLE)
        self._metrics.count_store_call(verb, not unreachable)
        return answer


class _DecisionTimes:
    """Collector of the decision times measured by the partition owners."""

    def __init__(self) -> None:
        self.measures = Measures()

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the histogram, which is the only metric of this collector."""
        bounds = [str(bound / MS_PER_SECOND) for bound in BOUNDS_MS]
        cumulative_counts = accumulate(self.measures.decision_counts)
        yield HistogramMetricFamily(
            'fuchsiarill_decision_seconds',
            'Time of decisions in the partitions owned here.',
            buckets=list(
                zip((*bounds, '+Inf'), cumulative_counts, strict=False)
            ),
            sum_value=self.measures.decisions_ms / MS_PER_SECOND,
        )


def _cap_customers(counts: dict[str, int]) -> dict[str, int]:
    """Keep the customers with the most queued jobs; sum up the others."""
    ordered = sorted(counts.items(), key=lambda item: -item[1])
    capped = dict(ordered[:_CUSTOMERS_MAX_COUNT])
    others_count = sum(count for _, count in ordered[_CUSTOMERS_MAX_COUNT:])
    if others_count:
        capped[_OTHER_CUSTOMERS] = others_count
    return capped
