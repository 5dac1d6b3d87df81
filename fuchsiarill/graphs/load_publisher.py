"""Publishes the load of an owned pool while work waits."""

from typing import Any

from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.graphs import keys, load_records
from fuchsiarill.graphs.core import GraphCore
from fuchsiarill.graphs.load_metrics import LoadMetrics
from fuchsiarill.graphs.model import TaskKey
from fuchsiarill.graphs.settings import LoadSettings
from fuchsiarill.ids import StoreKey
from fuchsiarill.load.measuring import LoadMemory, measure_pool
from fuchsiarill.load.pool_load import PoolLoad


class LoadPublisher:
    """Measures the load of a pool at intervals and encodes its record.

    Does nothing where neither the settings nor contracts of customers call for
    admission by load.
    """

    def __init__(
        self, core: GraphCore, settings: LoadSettings, metrics: LoadMetrics
    ) -> None:
        """Measure the pool of `core`."""
        self._core = core
        self._settings = settings
        self._metrics = metrics
        self._memory = LoadMemory()
        self._measured_ms = 0
        self._measured: PoolLoad | None = None

    @property
    def is_enabled(self) -> bool:
        """Return whether the load is measured."""
        config = self._core.state.config
        return self._settings.applies(
            has_contracts=config is not None and bool(config.contracts)
        )

    def count_start(self, task: TaskKey, now_ms: int) -> None:
        """Count the work of a task that is being started."""
        state = self._core.state
        entry = state.jobs.get(task.job)
        if entry is None or not self.is_enabled:
            return
        spec = entry.graph.steps[task.step]
        if spec.is_lasting:
            return
        queue = entry.graph.queue
        work = spec.charge.processors_milli * state.run_times.expected_ms(
            queue, spec
        )
        self._memory.drains.add(queue, work / MS_PER_SECOND, now_ms)

    def changed_record(self, now_ms: int) -> dict[StoreKey, bytes]:
        """Return the record to write, by its key; mostly there is none.

        A record is due at intervals while work waits, and once after that.
        """
        interval_ms = self._settings.publish_interval_ms
        if not self.is_enabled or now_ms - self._measured_ms < interval_ms:
            return {}
        self._measured_ms = now_ms
        previous = self._measured
        load = measure_pool(self._core.state, self._memory, now_ms)
        self._measured = load
        self._metrics.show(load)
        if not load.is_waiting and (
            previous is None or not previous.is_waiting
        ):
            return {}
        return {keys.load_key(load.pool): load_records.encode_load(load)}

    def stop(self) -> None:
        """Show no metrics of the pool any more."""
        if self._measured is not None:
            self._metrics.forget(self._measured)
            self._measured = None

    def snapshot(self) -> dict[str, Any]:
        """Return the last measured load for a dump."""
        load = self._measured
        return {
            'is_enabled': self.is_enabled,
            'measured_ms': self._measured_ms,
            'load': load and load_records.load_document(load),
        }
