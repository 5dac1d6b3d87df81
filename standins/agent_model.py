"""In-memory model of the agents on the workers, timed by the runtime clock.

It implements the guarantees of workers: fencing, leases, and ends of runs that
are reported until they are acknowledged. It also records violations: a task
that runs twice or starts after its success, or a worker over its capacity.
The payload of a job controls its tasks: `duration_ms`, without which a run
lasts until it is stopped or its lease ends; `fails`, the number up to which
attempts end as failed; and `size`, the resources that a task uses. Without
`size`, the entry of the task in `Fleet.sizes` applies.
"""

import json
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    RunningRow,
    StartOrder,
    TaskKey,
    WorkerReport,
)
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.resources import NO_RESOURCES, Resources

_NETWORK_DELAY_MS = 5
_POLL_INTERVAL_MS = 5
_LEASE_MAX_MS = 6000
_FULL_PERCENT = 100


@dataclass(slots=True)
class _ModelRun:
    task: TaskKey
    attempt: int
    started_ms: int
    ends_ms: int | None
    kind: EndKind
    size: Resources


@dataclass(slots=True)
class AgentModel:
    """One incarnation of a worker, from its start to its restart."""

    worker: WorkerId
    capacity: Resources
    born_ms: BornMs
    sizes: dict[TaskKey, Resources]
    epoch: int = 0
    lease_expiry_ms: int = 0
    runs: dict[tuple[TaskKey, int], _ModelRun] = field(default_factory=dict)
    ended: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    # The last end that a report has listed.
    reported_end: int = 0
    highest_refused_attempt: dict[TaskKey, int] = field(default_factory=dict)
    # Calls have no effect and are not answered.
    is_silent: bool = False
    # Starts are executed, but not answered.
    loses_answers: bool = False
    # Every run fails as soon as it starts.
    fails_all: bool = False

    def clock_ms(self) -> int:
        """Return the worker's clock, the time since `born_ms`."""
        return now_ms() - self.born_ms

    def end_due_runs(self) -> None:
        """End the runs whose duration or lease is over."""
        now = now_ms()
        for run in list(self.runs.values()):
            if run.ends_ms is not None and run.ends_ms <= now:
                self.end(run, run.kind)
        if self.clock_ms() > self.lease_expiry_ms:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LAPSED)

    def end(self, run: _ModelRun, kind: EndKind) -> None:
        """End a run, list its end, and refuse the attempt from then on."""
        self.runs.pop((run.task, run.attempt))
        self.ends_count += 1
        self.highest_refused_attempt[run.task] = max(
            self.highest_refused_attempt.get(run.task, 0),
            run.attempt,
        )
        self.ended.append(
            EndRow(
                EndSequence(self.ends_count),
                run.task,
                run.attempt,
                kind,
                Checkpoint(''),
            ),
        )

    def extend_leases(self, expiry_ms: int | None) -> None:
        """Extend the leases up to `expiry_ms` of the worker's clock.

        An earlier expiry does not shorten them; one more than `_LEASE_MAX_MS`
        ahead is reduced to that maximum.
        """
        if expiry_ms is not None:
            longest_ms = self.clock_ms() + _LEASE_MAX_MS
            self.lease_expiry_ms = max(
                self.lease_expiry_ms, min(expiry_ms, longest_ms)
            )

    def used(self) -> Resources:
        """Return the sum of the resources that the runs use."""
        return sum((run.size for run in self.runs.values()), NO_RESOURCES)


class Fleet:
    """Implements `AgentPort` for all workers and records violations."""

    def __init__(self) -> None:
        """Start without workers."""
        self.agents: dict[str, AgentModel] = {}
        self.sizes: dict[TaskKey, Resources] = {}
        self.violations: list[str] = []
        self.starts: list[tuple[TaskKey, int, WorkerId]] = []
        self.succeeded: dict[TaskKey, WorkerId] = {}

    def add(self, worker: str, capacity: Resources) -> AgentModel:
        """Add a worker, or replace it by a new incarnation without runs."""
        previous = self.agents.get(worker)
        if previous is not None:
            self._forget_unreported_ends(previous)
        agent = AgentModel(
            WorkerId(worker),
            capacity,
            # Not 0, which stands for an unknown start time.
            BornMs(now_ms() + 1),
            self.sizes,
        )
        self.agents[worker] = agent
        return agent

    async def start(
        self,
        agent: AgentAddress,
        order: StartOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Start a run unless the same attempt is already running."""
        model = await self._reach(agent, timeout_ms)
        if isinstance(model, AgentFailure):
            return Failure(model)
        failure = self._find_rejection(model, order)
        if failure is not None:
            return Failure(failure)
        self._start_run(model, order)
        if model.loses_answers:
            await sleep_ms(timeout_ms)
            return Failure(AgentFailure.UNKNOWN)
        return Success(model.clock_ms())

    async def stop(
        self,
        agent: AgentAddress,
        order: StopOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Stop a run, and refuse later starts of its attempt."""
        model = await self._reach(agent, timeout_ms)
        if isinstance(model, AgentFailure):
            return Failure(model)
        if order.epoch < model.epoch:
            return Failure(AgentFailure.FENCED)
        model.epoch = order.epoch
        model.highest_refused_attempt[order.task] = max(
            model.highest_refused_attempt.get(order.task, 0),
            order.attempt,
        )
        run = model.runs.get((order.task, order.attempt))
        if run is not None:
            model.end(run, EndKind.STOPPED)
        return Success(model.clock_ms())

    async def pace(
        self,
        agent: AgentAddress,
        order: PaceOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Accept an order that limits the speed; the model ignores it."""
        model = await self._reach(agent, timeout_ms)
        if isinstance(model, AgentFailure):
            return Failure(model)
        return Success(model.clock_ms())

    async def renew(
        self,
        agent: AgentAddress,
        order: RenewalOrder,
        timeout_ms: int,
    ) -> Result[WorkerReport, AgentFailure]:
        """Renew the leases and return the running and the ended attempts.

        Waits up to `order.wait_ms` for an end that is not acknowledged.
        """
        model = await self._reach(agent, timeout_ms + order.wait_ms)
        if isinstance(model, AgentFailure):
            return Failure(model)
        if order.epoch < model.epoch:
            return Failure(AgentFailure.FENCED)
        model.epoch = order.epoch
        model.extend_leases(order.expiry_ms)
        model.ended = [
            end for end in model.ended if end.sequence > order.acknowledged
        ]
        deadline_ms = now_ms() + order.wait_ms
        while not model.ended and now_ms() < deadline_ms:
            await sleep_ms(_POLL_INTERVAL_MS)
            model.end_due_runs()
        await sleep_ms(_NETWORK_DELAY_MS)
        model.end_due_runs()
        model.reported_end = model.ends_count
        return Success(self._report(model))

    async def _reach(
        self,
        agent: AgentAddress,
        timeout_ms: int,
    ) -> AgentModel | AgentFailure:
        model = self.agents.get(agent.address)
        if model is None:
            return AgentFailure.CONNECTION_REFUSED
        if model.is_silent:
            await sleep_ms(timeout_ms)
            return AgentFailure.UNKNOWN
        await sleep_ms(_NETWORK_DELAY_MS)
        if model.worker != agent.worker:
            return AgentFailure.OTHER_WORKER
        self._end_all_due_runs()
        return model

    def _forget_unreported_ends(self, model: AgentModel) -> None:
        """Drop the successes of an ended incarnation that no report listed.

        No owner can know of them, so their tasks have to run again.
        """
        for end in model.ended:
            if end.sequence <= model.reported_end:
                continue
            if self.succeeded.get(end.task) == model.worker:
                self.succeeded.pop(end.task)

    def _end_all_due_runs(self) -> None:
        for model in self.agents.values():
            before = {run.task for run in model.runs.values()}
            previous_count = model.ends_count
            model.end_due_runs()
            if model.ends_count == previous_count:
                continue
            for end in model.ended:
                if end.kind is EndKind.SUCCEEDED and end.task in before:
                    self.succeeded.setdefault(end.task, model.worker)

    def _find_rejection(
        self,
        model: AgentModel,
        order: StartOrder,
    ) -> AgentFailure | None:
        if order.epoch < model.epoch:
            return AgentFailure.FENCED
        model.epoch = order.epoch
        if order.attempt <= model.highest_refused_attempt.get(order.task, 0):
            return AgentFailure.SUPERSEDED
        if order.expiry_ms < model.clock_ms():
            return AgentFailure.EXPIRED
        return None

    def _start_run(self, model: AgentModel, order: StartOrder) -> None:
        if (order.task, order.attempt) in model.runs:
            return
        self._record_start(model, order)
        model.extend_leases(order.expiry_ms)
        behaviour: dict[str, Any] = json.loads(order.payload or '{}')
        duration_ms = behaviour.get('duration_ms')
        is_failing = order.attempt <= behaviour.get('fails', 0)
        run = _ModelRun(
            order.task,
            order.attempt,
            now_ms(),
            None if duration_ms is None else now_ms() + duration_ms,
            EndKind.FAILED if is_failing else EndKind.SUCCEEDED,
            self._size(order, behaviour),
        )
        if model.fails_all:
            run.ends_ms = now_ms()
            run.kind = EndKind.FAILED
        model.runs[order.task, order.attempt] = run
        if not model.used().fits_in(model.capacity):
            self.violations.append(f'{model.worker} is over its capacity')

    def _size(
        self,
        order: StartOrder,
        behaviour: dict[str, Any],
    ) -> Resources:
        size_in_payload = behaviour.get('size')
        if size_in_payload is None:
            return self.sizes.get(order.task, NO_RESOURCES)
        return Resources(*size_in_payload)

    def _record_start(self, model: AgentModel, order: StartOrder) -> None:
        """Record a start and the violations that it causes."""
        self.starts.append((order.task, order.attempt, model.worker))
        if self._must_success_be_recorded(order.task):
            self.violations.append(f'{order.task} starts after its success')
        for other in self.agents.values():
            if any(task == order.task for task, _ in other.runs):
                self.violations.append(f'{order.task} runs twice')

    def _must_success_be_recorded(self, task: TaskKey) -> bool:
        """Tell whether an owner must record, or have recorded, a success.

        A success need not be recorded when the worker's leases expired before
        it was acknowledged: the report may have reached no owner.
        """
        worker = self.succeeded.get(task)
        if worker is None:
            return False
        model = self.agents[worker]
        is_listed = any(end.task == task for end in model.ended)
        return not is_listed or model.clock_ms() <= model.lease_expiry_ms

    def _report(self, model: AgentModel) -> WorkerReport:
        return WorkerReport(
            model.clock_ms(),
            model.born_ms,
            tuple(
                RunningRow(
                    run.task,
                    run.attempt,
                    Checkpoint(''),
                    _FULL_PERCENT,
                )
                for run in model.runs.values()
            ),
            tuple(model.ended),
        )
