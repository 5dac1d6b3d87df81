"""Simulation of a `GraphCore` with its workers and an advice service.

Time advances in steps. Workers end runs, expire leases and report. See
`SimulatedCalls` for the calls to workers.
"""

from dataclasses import dataclass, replace

from fuchsiarill.graphs.advice_requests import choose_workers
from fuchsiarill.graphs.effects import (
    Effect,
    FenceIncarnation,
    PaceRun,
    RequestAdvice,
    RequestReport,
    StartRun,
    StopRun,
)
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    QueueId,
    Step,
    StepKey,
    TaskKey,
    Ticket,
    WorkerListing,
)
from fuchsiarill.ids import CustomerId, WorkerId
from fuchsiarill.resources import Resources
from tests.graph_owner import entry
from tests.simulated_calls import STEP_MS, Grant, SimulatedCalls
from tests.simulated_worker import SimulatedRun, SimulatedWorker

_ADVICE_DELAY_MS = 100
_TICKET_VALIDITY_MS = 2000


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """A call of the advice service, with the incarnations that it names."""

    answered_ms: int
    step: StepKey
    incarnations: dict[WorkerId, BornMs]


class World(SimulatedCalls):
    """An owner's core, simulated workers and the advice service."""

    def __init__(self, *names: str) -> None:
        """Create live workers."""
        super().__init__(*names)
        self.steps: dict[tuple[str, int], Step] = {}
        self.run_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.succeeded: set[TaskKey] = set()
        self.violations: list[str] = []
        # Calls of the advice service: when it answers, and what it was asked.
        self.advice_in_transit: list[AdviceCall] = []
        self.loses_advice = False

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
        self.apply_directory(entries)

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
        # One job in three has no customer.
        customer = (None, CustomerId('c1'), CustomerId('c2'))[
            len(self.run_ms) % 3
        ]
        self.owner.add_job(job, *steps, queue=queue, customer=customer)

    def restart(self, name: str) -> None:
        """Restart a worker under its id; all its runs are lost."""
        self.replace_incarnation(name)
        self.publish_directory()

    def resize(self, name: str, capacity: Resources) -> None:
        """Change the capacity of a worker while it runs."""
        self.workers[name].capacity = capacity
        self.publish_directory()

    def may_run(self, job: str, worker: WorkerId) -> bool:
        """Tell whether the advice service allows a worker for a job."""
        return is_allowed(job, worker)

    def pass_time(self, duration_ms: int) -> None:
        """Advance the clock in steps; run workers, advice and decisions."""
        for _ in range(duration_ms // STEP_MS):
            self.owner.now_ms += STEP_MS
            self._execute_due_calls()
            for worker in self.workers.values():
                worker.decided_capacity = worker.capacity
                worker.end_due_runs(self.now_ms)
                self._renew(worker)
            self._time_out_starts()
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
                self._send_start(effect)
            case StopRun():
                self._send_stop(effect)
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
            case FenceIncarnation():
                self._fence(effect)
            case RequestReport():
                self._send_renewal(self.workers[effect.worker])
            case PaceRun():
                pass

    def _start_run(self, worker: SimulatedWorker, order: StartRun) -> None:
        task = order.task
        step = self.steps[task.job, task.step]
        self._check_start(worker, task)
        is_failing_attempt = order.attempt <= self.failures.get(task.job, 0)
        is_failing = worker.fails_all or is_failing_attempt
        ends_ms: int | None = self.now_ms + self.run_ms[task.job]
        if step.is_lasting and not is_failing:
            ends_ms = None
        worker.runs[task, order.attempt] = SimulatedRun(
            step.charge,
            self.now_ms,
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

    def _deliver_answers(self) -> None:
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
            worker: self._grant(worker)
            for worker in call.incarnations
            if self.may_run(call.step.job, worker)
        }
        self.owner.core.advice_received(
            call.step,
            call.incarnations,
            granted,
            self.now_ms + _TICKET_VALIDITY_MS,
            self.now_ms,
        )

    def _grant(self, worker: WorkerId) -> Ticket:
        """Grant a ticket to the present incarnation of a worker."""
        ticket = Ticket(f'{worker}.{len(self.grants)}')
        self.grants[ticket] = Grant(
            worker,
            self.workers[worker].born_ms,
            self.now_ms + _TICKET_VALIDITY_MS,
        )
        return ticket

    def _record_ends(self, worker: SimulatedWorker) -> None:
        """Note the successes that the owner learns of."""
        for end in worker.unreported_ends:
            if end.kind is EndKind.SUCCEEDED:
                self.succeeded.add(end.task)


def is_allowed(job: str, worker: str) -> bool:
    """Tell whether the advice service allows a worker for a job."""
    number = int(job.removeprefix('j'))
    return worker == f'w{number % 3}'
