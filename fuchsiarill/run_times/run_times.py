"""Expected run times of tasks, from a hierarchy of models.

Load: estimates that are wrong by 0.25 to 4 times, three runs in a hundred that
take seven times as long, workers of uneven speed, and work that changes within
minutes. An expected time begins with the caller's estimate, corrected by the
error of all estimates, and moves to the models of the customer, the queue and
the image, to each as far as its samples count against the spread of the wider
model.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, NamedTuple, NewType

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.run_times.bounded_rows import use_row
from fuchsiarill.run_times.models import Factor, Model
from fuchsiarill.run_times.worker_factors import WorkerFactors

# Name of a group of tasks: the kind of the group, then what identifies it.
GroupKey = NewType('GroupKey', tuple[str, ...])

POOL_GROUP: Final = GroupKey(('pool',))
MEDIAN: Final = 0.5
HIGH_SHARE: Final = 0.9
# The estimate is used alone until the queue has about four samples, which may
# have decayed since the first one.
_SAMPLES_MIN_COUNT: Final = 3.5
# Samples that the wider model counts as, where both models spread alike.
_WIDER_COUNT: Final = 4.0
_SPREAD_MIN: Final = 0.1
MODELS_MAX_COUNT: Final = 256
_SCORES_MAX_COUNT: Final = 1000
# One end in four is scored: a p90 is needed for the score alone.
_ENDS_PER_SCORE_COUNT: Final = 4
# Ranks and `NEVER_MS` need times far below 1e11 ms, also after a damage of the
# snapshot; this is over 100 days.
_EXPECTED_MAX_MS: Final = 10_000_000_000.0
# Lower bound of the ratio that `slowness` returns.
_SLOWNESS_MIN: Final = 0.1


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended, and where it ran."""

    queue: QueueId
    step: Step
    worker: WorkerId
    duration_ms: int
    customer: CustomerId | None = None
    # The worker is outside the rack that holds the data of the step.
    is_remote: bool = False


class Score(NamedTuple):
    """How a run time compares with what was expected before."""

    queue: QueueId
    # The longer of the actual and the expected median time over the other.
    error_ratio: float
    # The run took no longer than the expected p90.
    is_covered: bool


@dataclass(slots=True)
class RunTimes:
    """Models of run times by group, and factors by worker and by queue."""

    models: OrderedDict[GroupKey, Model] = field(default_factory=OrderedDict)
    workers: WorkerFactors = field(default_factory=WorkerFactors)
    # Factors of work away from its data.
    remote: OrderedDict[QueueId, Factor] = field(default_factory=OrderedDict)
    # Rises with each change.
    revision: int = 0
    # Time of the latest change.
    now_ms: int = 0
    _scores: list[Score] = field(default_factory=list)
    # Quantiles that have been asked for since the latest change; the tasks of
    # a step start together.
    _quantiles_ms: dict[tuple[object, ...], float] = field(default_factory=dict)

    def add(
        self,
        queue: QueueId,
        step: Step,
        worker: WorkerId,
        duration_ms: int,
    ) -> None:
        """Add the run time of a successful run at the time of the last one."""
        self.add_success(
            EndedRun(queue, step, worker, duration_ms), self.now_ms
        )

    def add_success(self, run: EndedRun, now_ms: int) -> None:
        """Add the run time of a run that succeeded."""
        self._note_change(now_ms)
        duration = math.log(max(run.duration_ms, 1))
        worker = self.workers.value(run.worker)
        remote = self._remote_factor(run.queue) if run.is_remote else 0.0
        if self.is_learned(run.queue):
            expected = self._quantile(MEDIAN, run.queue, run.step, run.customer)
            if self.revision % _ENDS_PER_SCORE_COUNT == 0:
                self._score(run, duration - worker - remote, expected)
            self.workers.add(run.worker, duration - remote - expected, now_ms)
            if run.is_remote:
                factor = use_row(
                    self.remote, run.queue, Factor, MODELS_MAX_COUNT
                )
                factor.add(duration - worker - expected, now_ms)
        usual = duration - worker - remote
        estimate = _log_estimate(run.step)
        if estimate is not None:
            self._use_model(POOL_GROUP).add(usual - estimate, None, now_ms)
        for group in groups_of(run.queue, run.step, run.customer):
            self._use_model(group).add(usual, estimate, now_ms)

    def add_bound(self, run: EndedRun, now_ms: int) -> None:
        """Add a run that would have taken longer than it ran.

        It has been stopped, lost or has failed.
        """
        self._note_change(now_ms)
        usual = math.log(max(run.duration_ms, 1)) - self.workers.value(
            run.worker
        )
        if run.is_remote:
            usual -= self._remote_factor(run.queue)
        estimate = _log_estimate(run.step)
        for group in groups_of(run.queue, run.step, run.customer):
            model = self.models.get(group)
            if model is not None:
                model.add_above(usual, estimate, now_ms)

    def is_learned(self, queue: QueueId) -> bool:
        """Return whether the queue has enough samples."""
        return self.samples_count(queue) >= _SAMPLES_MIN_COUNT

    def samples_count(self, queue: QueueId) -> float:
        """Return the number of successes in the model of a queue."""
        model = self.models.get(_queue_group(queue))
        return 0 if model is None else model.count

    def expected_ms(
        self,
        queue: QueueId,
        step: Step,
        customer: CustomerId | None = None,
    ) -> float:
        """Return the expected (median) run time of a task on a usual worker.

        It is the estimate until the queue has enough samples.
        """
        return self.quantile_ms(MEDIAN, queue, step, customer)

    def quantile_ms(
        self,
        share: float,
        queue: QueueId,
        step: Step,
        customer: CustomerId | None = None,
    ) -> float:
        """Return the time within which a share of such tasks end.

        It is the estimate, whatever the share, until the queue has enough
        samples.
        """
        if not self.is_learned(queue):
            return step.estimate_ms
        key = (share, queue, customer, step.image, step.estimate_ms)
        known_ms = self._quantiles_ms.get(key)
        if known_ms is None:
            expected = self._quantile(share, queue, step, customer)
            known_ms = min(math.exp(expected), _EXPECTED_MAX_MS)
            self._quantiles_ms[key] = known_ms
        return known_ms

    def slowness(self, worker: WorkerId) -> float:
        """Return the ratio of actual to expected run times on a worker.

        It is 1 until the worker has enough samples.
        """
        if self.workers.count(worker) < _SAMPLES_MIN_COUNT:
            return 1.0
        return max(math.exp(self.workers.value(worker)), _SLOWNESS_MIN)

    def remoteness(self, queue: QueueId) -> float:
        """Return the ratio of run times away from the data to others.

        It is 1 until the queue has enough samples of such runs.
        """
        factor = self.remote.get(queue)
        if factor is None or factor.count < _SAMPLES_MIN_COUNT:
            return 1.0
        return math.exp(factor.value)

    def take_scores(self) -> list[Score]:
        """Return and clear the scores of the runs since the last call."""
        scores = self._scores
        self._scores = []
        return scores

    def _quantile(
        self,
        share: float,
        queue: QueueId,
        step: Step,
        customer: CustomerId | None,
    ) -> float:
        estimate = _log_estimate(step)
        blend = _Blend(share)
        pool = self.models.get(POOL_GROUP)
        if estimate is not None and pool is not None:
            blend.narrow(pool, None, self.now_ms)
            blend.move(estimate)
        for group in groups_of(queue, step, customer):
            model = self.models.get(group)
            if model is not None:
                blend.narrow(model, estimate, self.now_ms)
        return blend.value

    def _score(self, run: EndedRun, usual: float, expected: float) -> None:
        high = self._quantile(HIGH_SHARE, run.queue, run.step, run.customer)
        ratio = math.exp(abs(usual - expected))
        if len(self._scores) < _SCORES_MAX_COUNT:
            self._scores.append(Score(run.queue, ratio, usual <= high))

    def _note_change(self, now_ms: int) -> None:
        self.revision += 1
        self._quantiles_ms.clear()
        self.now_ms = max(self.now_ms, now_ms)

    def _remote_factor(self, queue: QueueId) -> float:
        factor = self.remote.get(queue)
        return 0 if factor is None else factor.value

    def _use_model(self, group: GroupKey) -> Model:
        return use_row(self.models, group, Model, MODELS_MAX_COUNT)


class _Blend:
    """A quantile that is narrowed from one model to the next."""

    def __init__(self, share: float) -> None:
        self.value: float = 0
        self._share = share
        self._spread: float | None = None

    def narrow(self, model: Model, estimate: float | None, now_ms: int) -> None:
        """Move the value towards that of a narrower model."""
        weight = model.weight_at(now_ms)
        own = model.quantile(self._share, estimate)
        spread = _SPREAD_MIN + (
            model.sketch.quantile(HIGH_SHARE) - model.sketch.quantile(MEDIAN)
        )
        if self._spread is None:
            self.value = own
            self._spread = spread
            return
        # The few samples of a narrow model may lie close together by chance.
        cautious_spread = (weight * spread + _WIDER_COUNT * self._spread) / (
            weight + _WIDER_COUNT
        )
        wider_count = _WIDER_COUNT * (cautious_spread / self._spread) ** 2
        self.value = (weight * own + wider_count * self.value) / (
            weight + wider_count
        )
        self._spread = cautious_spread

    def move(self, distance: float) -> None:
        """Add a distance to the value."""
        self.value += distance


def groups_of(
    queue: QueueId, step: Step, customer: CustomerId | None
) -> tuple[GroupKey, ...]:
    """Return the groups that a task belongs to, the widest first."""
    groups = [_queue_group(queue)]
    if customer is not None:
        groups.insert(0, GroupKey(('customer', customer)))
    if step.image is not None:
        groups.append(GroupKey(('image', queue, step.image)))
    return tuple(groups)


def _queue_group(queue: QueueId) -> GroupKey:
    return GroupKey(('queue', queue))


def _log_estimate(step: Step) -> float | None:
    return math.log(step.estimate_ms) if step.estimate_ms > 0 else None
