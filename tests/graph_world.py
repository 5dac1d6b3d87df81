"""Simulation of a `GraphCore` with its workers and an advice service.

Time advances in steps. Workers end runs, expire leases and report. Start orders
arrive a step later, perhaps at a restarted worker; orders to unreachable
workers get no answer.
"""

from dataclasses import dataclass, field, replace

from fuchsiarill.graphs.advice_requests import choose_workers
from fuchsiarill.graphs.effects import (
    Effect,
    PaceRun,
    RequestAdvice,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.model import (
    BornMs,
    Checkpoint,
    EndKind,
    EndRow,
    EndSequence,
    QueueId,
    RunningRow,
    Step,
    StepKey,
    TaskKey,
    Ticket,
    WorkerListing,
    WorkerReport,
)
from fuchsiarill.graphs.runs import INITIALIZED_PERCENT
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import NO_RESOURCES, Resources
from tests.graph_owner import CAPACITY, Owner, entry

_STEP_MS = 50
_ADVICE_DELAY_MS = 100
_LEASE_MS = 5000
_HALF_PERCENT = 50

_RunKey = tuple[TaskKey, int]


@dataclass(slots=True)
class SimulatedRun:
    """A run on a simulated worker; with `ends_ms` as `None` it never ends."""

    size: Resources
    ends_ms: int | None
    kind: EndKind


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a simulated worker."""

    name: str
    born_ms: int
    capacity: Resources = CAPACITY
    # The capacity at the last decision, which sent the starts in transit.
    decided_capacity: Resources = CAPACITY
    runs: dict[_RunKey, SimulatedRun] = field(default_factory=dict)
    unreported_ends: list[EndRow] = field(default_factory=list)
    ends_count: int = 0
    refused_attempts: dict[TaskKey, int] = field(default_factory=dict)
    lease_until_ms: int = 0
    is_reachable: bool = True
    is_leaving: bool = False
    loses_answers: bool = False
    fails_all: bool = False

    def end(self, key: _RunKey, kind: EndKind) -> None:
        """End a run, report the end and refuse the attempt from now on."""
        self.runs.pop(key)
        self.ends_count += 1
        task, attempt = key
        self.refused_attempts[task] = max(
            self.refused_attempts.get(task, 0), attempt
        )
        sequence = EndSequence(self.ends_count)
        self.unreported_ends.append(
            EndRow(sequence, task, attempt, kind, Checkpoint('')),
        )

    def end_due_runs(self, now_ms: int) -> None:
        """End the runs whose run time is over or whose lease has expired."""
        for key, run in list(self.runs.items()):
            if run.ends_ms is not None and run.ends_ms <= now_ms:
                self.end(key, run.kind)
            elif now_ms > self.lease_until_ms:
                self.end(key, EndKind.LAPSED)

    def used_resources(self) -> Resources:
        """Return the sum of the resources of all runs."""
        return sum((run.size for run in self.runs.values()), NO_RESOURCES)


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """A call of the advice service, with the incarnations that it names."""

    answered_ms: int
    step: StepKey
    incarnations: dict[WorkerId, BornMs]


class World:
    """An owner's core, simulated workers and the advice service."""

    def __init__(self, *names: str) -> None:
        """Create live workers."""
        self.owner = Owner(*names)
        self.workers = {
            name: SimulatedWorker(name, born_ms=1) for name in names
        }
        self.steps: dict[tuple[str, int], Step] = {}
        self.run_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.succeeded: set[TaskKey] = set()
        self.violations: list[str] = []
        # Calls of the advice service: when it answers, and what it was asked.
        self.advice_in_transit: list[AdviceCall] = []
        self.loses_advice = False
        # These start orders reach the incarnation that runs when they arrive.
        self.starts_in_transit: list[StartRun] = []
        # Start orders without an answer, with the time at which they time out.
        self.unanswered_starts: list[tuple[int, StartRun]] = []

    @property
    def now_ms(self) -> int:
        """Return the runtime clock."""
        return self.owner.now_ms

    def publish_directory(self) -> None:
        """Pass the current directory to the owner."""
        entries = []
        for worker in self.workers.values():
            directory_entry = replace(
                entry(worker.name),
                born_ms=BornMs(worker.born_ms),
                capacity=worker.capacity,
            )
            if worker.is_leaving:
                directory_entry = replace(
                    directory_entry, listing=WorkerListing.LEAVING
                )
            entries.append(directory_entry)
        self.owner.core.update_workers(entries, self.now_ms)
        self.owner.core.record_workers(
            [directory_entry.worker for directory_entry in entries],
        )

    def submit(
        self,
        queue: QueueId,
        steps: list[Step],
        run_ms: int,
        failures: int,
    ) -> None:
        """Submit a job whose tasks fail in the first `failures` attempts."""
        job = f'j{len(self.run_ms)}'
        for position, step in enumerate(steps):
            self.steps[job, position] = step
        self.run_ms[job] = run_ms
        self.failures[job] = failures
        self.owner.add_job(job, *steps, queue=queue)

    def restart(self, name: str) -> None:
        """Restart a worker under its id; all its runs are lost."""
        self.workers[name] = SimulatedWorker(name, born_ms=self.now_ms)
        self.publish_directory()

    def resize(self, name: str, capacity: Resources) -> None:
        """Change the capacity of a worker while it runs."""
        self.workers[name].capacity = capacity
        self.publish_directory()

    def pass_time(self, duration_ms: int) -> None:
        """Advance the clock in steps; run workers, advice and decisions."""
        for _ in range(duration_ms // _STEP_MS):
            self.owner.now_ms += _STEP_MS
            arriving_starts = self.starts_in_transit
            self.starts_in_transit = []
            for order in arriving_starts:
                self._execute_start(order)
            for worker in self.workers.values():
                worker.decided_capacity = worker.capacity
                worker.end_due_runs(self.now_ms)
                self._renew(worker)
            self._deliver_answers()
            self._decide()

    def _decide(self) -> None:
        core = self.owner.core
        core.tick(self.now_ms)
        core.decide(self.now_ms)
        for effect in core.take_effects():
            self._execute(effect)
        core.take_dirty()

    def _execute(self, effect: Effect) -> None:
        match effect:
            case StartRun():
                self.starts_in_transit.append(effect)
                core = self.owner.core
                core.renewal_sent(effect.worker, self.now_ms)
            case StopRun():
                self._execute_stop(effect)
            case RequestAdvice():
                incarnations = choose_workers(
                    self.owner.core.state, effect.step, self.now_ms
                )
                self.advice_in_transit.append(
                    AdviceCall(
                        self.now_ms + _ADVICE_DELAY_MS,
                        effect.step,
                        incarnations,
                    )
                )
            case RequestReport():
                self._renew(self.workers[effect.worker])
            case PaceRun():
                pass

    def _execute_start(self, order: StartRun) -> None:
        worker = self.workers[order.worker]
        if worker.is_reachable and self._deliver_start(worker, order):
            return
        self.unanswered_starts.append((self.now_ms + 7 * _STEP_MS, order))

    def _deliver_start(self, worker: SimulatedWorker, order: StartRun) -> bool:
        """Deliver a start order; returns whether it has been answered."""
        failure: AgentFailure | None = None
        if order.attempt <= worker.refused_attempts.get(order.task, 0):
            failure = AgentFailure.SUPERSEDED
        elif self._has_invalid_ticket(order):
            failure = AgentFailure.TICKET_INVALID
        else:
            self._start_run(worker, order)
        if worker.loses_answers:
            return False
        view = self.owner.core.state.workers.find(order.worker)
        clock_ms = self.now_ms - worker.born_ms
        if view is not None and clock_ms < view.clock_ms:
            # The channel reports that another incarnation has answered.
            failure = AgentFailure.UNKNOWN
        self.owner.core.start_answered(
            order.worker,
            order.task,
            order.attempt,
            failure,
            self.now_ms,
        )
        return True

    def _has_invalid_ticket(self, order: StartRun) -> bool:
        return order.ticket is not None and order.ticket != Ticket(order.worker)

    def _start_run(self, worker: SimulatedWorker, order: StartRun) -> None:
        task = order.task
        step = self.steps[task.job, task.step]
        self._check_start(worker, task)
        is_failing_attempt = order.attempt <= self.failures.get(task.job, 0)
        is_failing = worker.fails_all or is_failing_attempt
        ends_ms: int | None = self.now_ms + self.run_ms[task.job]
        if step.is_lasting and not is_failing:
            ends_ms = None
        worker.lease_until_ms = self.now_ms + _LEASE_MS
        worker.runs[task, order.attempt] = SimulatedRun(
            step.charge,
            ends_ms,
            EndKind.FAILED if is_failing else EndKind.SUCCEEDED,
        )
        used = worker.used_resources()
        limits = (worker.capacity, worker.decided_capacity)
        if not any(map(used.fits_in, limits)):
            self.violations.append(f'{worker.name} is over its capacity')

    def _check_start(self, worker: SimulatedWorker, task: TaskKey) -> None:
        if task in self.succeeded:
            self.violations.append(f'{task} starts after its success')
        for other in self.workers.values():
            if any(running == task for running, _ in other.runs):
                self.violations.append(f'{task} runs twice')

    def _execute_stop(self, order: StopRun) -> None:
        worker = self.workers[order.worker]
        if not worker.is_reachable:
            return
        worker.refused_attempts[order.task] = max(
            worker.refused_attempts.get(order.task, 0),
            order.attempt,
        )
        if (order.task, order.attempt) in worker.runs:
            worker.end((order.task, order.attempt), EndKind.STOPPED)
        if worker.loses_answers:
            return
        self.owner.core.stop_answered(
            order.worker,
            order.task,
            order.attempt,
            None,
            self.now_ms,
        )

    def _renew(self, worker: SimulatedWorker) -> None:
        name = WorkerId(worker.name)
        core = self.owner.core
        if not worker.is_reachable:
            core.worker_failed(name, AgentFailure.UNKNOWN, self.now_ms)
            return
        core.renewal_sent(name, self.now_ms)
        if worker.runs:
            worker.lease_until_ms = self.now_ms + _LEASE_MS
        report = WorkerReport(
            self.now_ms - worker.born_ms,
            BornMs(worker.born_ms),
            tuple(
                RunningRow(task, attempt, Checkpoint(''), _percent(run))
                for (task, attempt), run in worker.runs.items()
            ),
            tuple(worker.unreported_ends),
        )
        for end in worker.unreported_ends:
            if end.kind is EndKind.SUCCEEDED:
                self.succeeded.add(end.task)
        core.worker_reported(name, report, self.now_ms - 1, self.now_ms)
        worker.unreported_ends.clear()

    def _deliver_answers(self) -> None:
        timed_out_starts = [
            order
            for at_ms, order in self.unanswered_starts
            if at_ms <= self.now_ms
        ]
        self.unanswered_starts = [
            row for row in self.unanswered_starts if row[0] > self.now_ms
        ]
        for order in timed_out_starts:
            self.owner.core.start_answered(
                order.worker,
                order.task,
                order.attempt,
                AgentFailure.UNKNOWN,
                self.now_ms,
            )
        calls = [
            call
            for call in self.advice_in_transit
            if call.answered_ms <= self.now_ms
        ]
        self.advice_in_transit = [
            call
            for call in self.advice_in_transit
            if call.answered_ms > self.now_ms
        ]
        for call in calls:
            self._advise(call)

    def _advise(self, call: AdviceCall) -> None:
        if self.loses_advice:
            return
        granted = {
            worker: Ticket(worker)
            for worker in call.incarnations
            if is_allowed(call.step.job, worker)
        }
        self.owner.core.advice_received(
            call.step,
            call.incarnations,
            granted,
            self.now_ms + 2000,
            self.now_ms,
        )


def is_allowed(job: str, worker: str) -> bool:
    """Tell whether the advice service allows a worker for a job."""
    number = int(job.removeprefix('j'))
    return worker == f'w{number % 3}'


def _percent(run: SimulatedRun) -> int:
    return INITIALIZED_PERCENT if run.ends_ms is None else _HALF_PERCENT
