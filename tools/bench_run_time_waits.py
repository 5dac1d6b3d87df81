"""Waits and lateness of jobs by the source of expected run times.

The sources are the model, the former model (the baseline), the estimates of
callers alone, and the usual run times, which no scheduler can know.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.run_times.run_times import EndedRun, RunTimes
from tools.baseline_run_times import RunTimes as FormerRunTimes
from tools.measures import Measure, percentile
from tools.run_time_replay import KIND_NAMES, Outcome, Replay

_SEEDS: Final = range(1, 7)
_DURATION_MS: Final = 180_000
# Jobs accepted before are not counted, since all sources begin to learn then.
_SKIPPED_MS: Final = 80_000
_JOBS_PER_S: Final = 3.0
_BASELINE: Final = 'former model'

_Usual = dict[Step, float]


class EstimatesAlone(RunTimes):
    """Expects the caller's estimates."""

    def add_success(self, run: EndedRun, now_ms: int) -> None:
        """Learn nothing."""

    def add_bound(self, run: EndedRun, now_ms: int) -> None:
        """Learn nothing."""


class FormerModel(EstimatesAlone):
    """Expects what the former model does."""

    def __init__(self) -> None:
        """Start without samples."""
        super().__init__()
        self._former = FormerRunTimes()

    def add_success(self, run: EndedRun, now_ms: int) -> None:
        """Add the run to the former model."""
        self._former.add(run.queue, run.step, run.worker, run.duration_ms)

    def expected_ms(
        self, queue: QueueId, step: Step, customer: CustomerId | None = None
    ) -> float:
        """Return the expected time of the former model."""
        return self._former.expected_ms(queue, step)

    def slowness(self, worker: WorkerId) -> float:
        """Return the slowness of the former model."""
        return self._former.slowness(worker)


class TrueTimes(RunTimes):
    """Expects the usual run times, and learns the speeds of workers."""

    def __init__(self, usual_ms: _Usual) -> None:
        """Expect the times in `usual_ms`."""
        super().__init__()
        self._usual_ms = usual_ms

    def expected_ms(
        self, queue: QueueId, step: Step, customer: CustomerId | None = None
    ) -> float:
        """Return the usual run time of the step."""
        return self._usual_ms[step]


_SOURCES: Final[dict[str, Callable[[_Usual], RunTimes]]] = {
    _BASELINE: lambda _: FormerModel(),
    'model': lambda _: RunTimes(),
    'estimates': lambda _: EstimatesAlone(),
    'true times': TrueTimes,
}


@dataclass(slots=True)
class _Totals:
    """Outcomes of a queue over all replays of a source."""

    waits_ms: list[float] = field(default_factory=list)
    lateness_ms: list[float] = field(default_factory=list)
    unsettled_count: int = 0

    def add(self, outcome: Outcome) -> None:
        self.waits_ms.extend(outcome.waits_ms)
        self.lateness_ms.extend(outcome.lateness_ms)
        self.unsettled_count += outcome.unsettled_count

    def measures(self) -> dict[str, tuple[float, str]]:
        late_count = sum(late_ms > 0 for late_ms in self.lateness_ms)
        jobs_count = len(self.lateness_ms) + self.unsettled_count
        late_share = (late_count + self.unsettled_count) / jobs_count
        return {
            'p99 wait': (round(percentile(self.waits_ms, 0.99)), 'ms'),
            'p99 lateness': (round(percentile(self.lateness_ms, 0.99)), 'ms'),
            'late jobs': (round(late_share, 3), 'share'),
        }


def main() -> None:
    """Print the measures of each queue for each source."""
    logger.remove()
    measured = {name: _replay(create) for name, create in _SOURCES.items()}
    baseline = measured.pop(_BASELINE)
    for source, by_queue in measured.items():
        for queue, totals in by_queue.items():
            _print_measures(source, queue, totals, baseline[queue])


def _replay(create: Callable[[_Usual], RunTimes]) -> dict[QueueId, _Totals]:
    by_queue = {queue: _Totals() for queue in KIND_NAMES}
    for seed in _SEEDS:
        replay = Replay(seed, _JOBS_PER_S, create)
        replay.run(_DURATION_MS)
        for queue, totals in by_queue.items():
            totals.add(replay.outcome(queue, _SKIPPED_MS))
    return by_queue


def _print_measures(
    source: str, queue: QueueId, totals: _Totals, baseline: _Totals
) -> None:
    former = baseline.measures()
    for name, (measured, unit) in totals.measures().items():
        measure = Measure(
            f'run times, {source}, {queue}: {name}',
            measured,
            unit,
            former[name][0],
            None,
            'simulated',
        )
        sys.stdout.write(f'{measure.as_line()}\n')


if __name__ == '__main__':
    main()
