"""Error of learned run times and coverage of their p90, by number of ends.

The error is the ratio of the expected median and the usual run time, the larger
over the smaller, of which the median over many fresh tasks is printed. The
coverage is the share of fresh tasks that take no longer than the expected p90.
The baseline of the error is the former model, that of the coverage 0.9.
"""

import math
import sys
from statistics import median
from typing import Final

from fuchsiarill.run_times.run_times import HIGH_SHARE, RunTimes
from tools.baseline_run_times import RunTimes as FormerRunTimes
from tools.measures import Measure
from tools.run_time_trace import KINDS, Trace, TraceKind, TraceTask

_ENDS_COUNTS: Final = (10, 50, 500)
_FRESH_COUNT: Final = 300
_SEEDS: Final = range(8)


class _Samples:
    """Errors of the three sources, and coverage of the model."""

    def __init__(self) -> None:
        self.estimate: list[float] = []
        self.former: list[float] = []
        self.learned: list[float] = []
        self.covered: list[bool] = []

    def add(
        self, task: TraceTask, learned: RunTimes, former: FormerRunTimes
    ) -> None:
        run = task.run
        self.estimate.append(_ratio(run.step.estimate_ms, task.usual_ms))
        self.former.append(
            _ratio(former.expected_ms(run.queue, run.step), task.usual_ms)
        )
        self.learned.append(
            _ratio(
                learned.expected_ms(run.queue, run.step, run.customer),
                task.usual_ms,
            )
        )
        high_ms = learned.quantile_ms(
            HIGH_SHARE, run.queue, run.step, run.customer
        )
        self.covered.append(task.actual_ms <= high_ms)


def main() -> None:
    """Print the measures of each kind of tasks."""
    for kind in KINDS:
        for ends_count, samples in _measure(kind).items():
            _print_measures(kind, ends_count, samples)


def _measure(kind: TraceKind) -> dict[int, _Samples]:
    by_count = {ends_count: _Samples() for ends_count in _ENDS_COUNTS}
    for seed in _SEEDS:
        trace = Trace(kind, seed)
        learned = RunTimes()
        former = FormerRunTimes()
        for number in range(1, max(_ENDS_COUNTS) + 1):
            run = trace.next_task().run
            learned.add_success(run, trace.now_ms)
            former.add(run.queue, run.step, run.worker, run.duration_ms)
            if number not in by_count:
                continue
            for _ in range(_FRESH_COUNT):
                by_count[number].add(trace.sample(), learned, former)
    return by_count


def _print_measures(
    kind: TraceKind, ends_count: int, samples: _Samples
) -> None:
    name = f'run times, {kind.name} tasks, {ends_count} ends'
    errors = (
        ('estimate', samples.estimate),
        ('learned', samples.learned),
    )
    former = round(median(samples.former), 3)
    for source, ratios in errors:
        measure = Measure(
            f'{name}: error by {source}',
            round(median(ratios), 3),
            'ratio',
            former,
            None,
            'simulated',
        )
        sys.stdout.write(f'{measure.as_line()}\n')
    coverage = sum(samples.covered) / len(samples.covered)
    measure = Measure(
        f'{name}: coverage of p90',
        round(coverage, 3),
        'share',
        HIGH_SHARE,
        None,
        'simulated',
    )
    sys.stdout.write(f'{measure.as_line()}\n')


def _ratio(expected_ms: float, usual_ms: float) -> float:
    return math.exp(abs(math.log(max(expected_ms, 1) / usual_ms)))


if __name__ == '__main__':
    main()
