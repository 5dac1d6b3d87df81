"""Metrics and log lines of the connections of listeners."""

import time
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from fuchsiarill import events
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.reception.refusals import Limit, RefusalLog

_LOG_INTERVAL_MS: Final = 10_000


class ReceptionMetrics:
    """Metrics of all listeners of a process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.connections = Gauge(
            'fuchsiarill_listener_connections',
            'Open connections of clients, by listener.',
            ('listener',),
            registry=registry,
        )
        self.held_bytes = Gauge(
            'fuchsiarill_listener_held_bytes',
            'Memory of requests that are not answered and of responses that '
            'are not sent, by listener.',
            ('listener',),
            registry=registry,
        )
        self.refusals = Counter(
            'fuchsiarill_listener_refusals',
            'Requests and connections refused at a limit, by listener.',
            ('listener', 'limit'),
            registry=registry,
        )


class ReceptionObserver:
    """Counts and logs what happens at one listener."""

    def __init__(self, listener: str, metrics: ReceptionMetrics) -> None:
        """Use `listener` as the label of the metrics."""
        self._listener = listener
        self._metrics = metrics
        self._log = RefusalLog(_LOG_INTERVAL_MS)

    def show(self, connections_count: int, held_bytes: int) -> None:
        """Set the gauges."""
        self._metrics.connections.labels(self._listener).set(connections_count)
        self._metrics.held_bytes.labels(self._listener).set(held_bytes)

    def count_refusal(self, limit: Limit, problem: str, address: str) -> None:
        """Count a refusal, and log it if none was logged lately."""
        self._metrics.refusals.labels(self._listener, limit.value).inc()
        due = self._log.add(limit, problem, monotonic_ms())
        if due is None:
            return
        events.emit(
            events.CLIENTS_REFUSED,
            listener=self._listener,
            limit=limit.value,
            count=due.count,
            problem=due.problem,
            address=address,
        )

    def log_failure(self, problem: str) -> None:
        """Log a failure of the listener or of the server library."""
        events.emit(
            events.LISTENER_FAILED, listener=self._listener, error=problem
        )


def monotonic_ms() -> int:
    """Return the time of the listeners, which have no event loop."""
    return int(time.monotonic() * MS_PER_SECOND)
