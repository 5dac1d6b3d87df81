"""In-memory model of the agents on the workers, timed by the runtime clock.

It implements the guarantees of workers: fencing, leases, and ends of runs that
are reported until they are acknowledged. It also records violations: a task
that runs twice or starts after its success, or a worker over its capacity.
The payload of a job controls its tasks: `duration_ms`, without which a run
lasts until it is stopped or its lease ends; `fails`, the number up to which
attempts end as failed; and `size`, the resources that a task uses. Without
`size`, the entry of the task in `Fleet.sizes` applies. A job of a queue with
an advice policy has `needs_ticket`: without a valid ticket its starts are
refused, as are starts of any job that carry an invalid one.
`worker_crashes.py` describes deadly tasks.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.graphs.model import (
    BornMs,
    EndKind,
    StartOrder,
    StepKey,
    TaskKey,
    Ticket,
    WorkerReport,
)
from fuchsiarill.ids import Epoch, WorkerId
from fuchsiarill.ports.agents import (
    AgentAddress,
    AgentFailure,
    PaceOrder,
    RenewalOrder,
    StopOrder,
)
from fuchsiarill.resources import Resources
from standins.agent_incarnation import AgentModel
from standins.ceiling_checks import find_excess
from standins.changing_capacity import ChangingCapacity
from standins.delayed_calls import DelayedCalls
from standins.granted_tickets import GrantedTickets
from standins.outages import OUTAGES, Outage
from standins.worker_crashes import CrashSettings, WorkerCrashes

_NETWORK_DELAY_MS = 5
_POLL_INTERVAL_MS = 5

# Executes a call on the incarnation that runs when the call takes effect.
_Execution = Callable[[AgentModel], AgentFailure | None]
# The arguments are the crashed and the new incarnation.
OnRestart = Callable[[AgentModel, AgentModel], None]


@dataclass(frozen=True, slots=True)
class LateOverload:
    """A start over a capacity that had shrunk long before.

    `shrunk_ms` is when the last capacity ended that the start would have fit.
    """

    worker: WorkerId
    epoch: Epoch
    shrunk_ms: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class _UnacknowledgedSuccess:
    """A listed success that the end of its worker left unacknowledged."""

    # Latest owner that was told of it.
    epoch: Epoch
    listed_ms: int
    ended_ms: int


def _describe(unacknowledged: _UnacknowledgedSuccess | None) -> str:
    if unacknowledged is None:
        return ''
    return (
        f', first listed at {unacknowledged.listed_ms} ms and last to the '
        f'owner of epoch {unacknowledged.epoch}, but not acknowledged when '
        f'the worker ended at {unacknowledged.ended_ms} ms'
    )


class Fleet:
    """Implements `AgentPort` for all workers and records violations."""

    def __init__(
        self,
        crash_settings: CrashSettings | None = None,
        on_restart: OnRestart | None = None,
    ) -> None:
        """Start without workers.

        After each restart that follows a crash, `on_restart` gets the crashed
        and the new incarnation.
        """
        # Keys are addresses.
        self.agents: dict[str, AgentModel] = {}
        self.crashes = WorkerCrashes(crash_settings or CrashSettings(), self)
        self.delayed_calls = DelayedCalls()
        # Workers that are silent, whichever incarnation runs.
        self.silent_addresses: frozenset[str] = frozenset()
        self.late_overloads: list[LateOverload] = []
        self.sizes: dict[TaskKey, Resources] = {}
        # Ceilings of customers, by the names in the payloads of jobs.
        self.ceilings: dict[str, Resources] = {}
        self.violations: list[str] = []
        self.starts: list[tuple[TaskKey, int, WorkerId]] = []
        self.succeeded: dict[TaskKey, WorkerId] = {}
        self._unacknowledged: dict[TaskKey, _UnacknowledgedSuccess] = {}
        self._tickets = GrantedTickets()
        self._on_restart = on_restart

    def add(
        self,
        address: str,
        capacity: Resources,
        worker: WorkerId | None = None,
        outage: Outage = Outage.REFUSED,
    ) -> AgentModel:
        """Add a worker, or replace it by a new incarnation without runs.

        Without `worker`, its id is the address. `outage` tells how the calls
        that the previous incarnation has not answered fail.
        """
        previous = self.agents.get(address)
        if previous is not None:
            previous.crash(outage)
            self._forget_lost_ends(previous)
        agent = AgentModel(
            worker or WorkerId(address),
            address,
            ChangingCapacity(capacity),
            # Not 0, which stands for an unknown start time.
            BornMs(now_ms() + 1),
            self.sizes,
        )
        self.agents[address] = agent
        return agent

    def find(self, worker: WorkerId) -> AgentModel | None:
        """Return the current incarnation with this id, if there is one."""
        for model in self.agents.values():
            if model.worker == worker:
                return model
        return None

    def grant_tickets(
        self, step: StepKey, workers: Iterable[WorkerId], validity_ms: int
    ) -> dict[WorkerId, Ticket]:
        """Grant a ticket to the current incarnation of each known worker."""
        models = {worker: self.find(worker) for worker in workers}
        return {
            worker: self._tickets.grant(step, model, validity_ms)
            for worker, model in models.items()
            if model is not None
        }

    def change_capacity(self, address: str, capacity: Resources) -> None:
        """Change the capacity of a worker that keeps running."""
        self.agents[address].capacity.change(capacity)

    def worker_crashed(self, crashed: AgentModel) -> None:
        """Drop what no report of the crashed worker has listed."""
        self._forget_lost_ends(crashed)

    def worker_restarts(self, crashed: AgentModel, worker: WorkerId) -> None:
        """Replace a crashed worker, unless it has been replaced already."""
        if self.agents.get(crashed.address) is not crashed:
            return
        restarted = self.add(
            crashed.address,
            crashed.capacity.current,
            worker,
            crashed.outage or Outage.REFUSED,
        )
        if self._on_restart is not None:
            self._on_restart(crashed, restarted)

    async def start(
        self,
        agent: AgentAddress,
        order: StartOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Start a run unless the same attempt is already running."""
        execute = partial(self._execute_start, order=order)
        model = await self._reach(agent, timeout_ms, execute)
        if isinstance(model, AgentFailure):
            return Failure(model)
        failure = self._execute_start(model, order)
        if failure is not None:
            return Failure(failure)
        if model.outage is not None:
            return Failure(AgentFailure.UNKNOWN)
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
        return await self._order(
            agent, timeout_ms, partial(AgentModel.execute_stop, order=order)
        )

    async def pace(
        self,
        agent: AgentAddress,
        order: PaceOrder,
        timeout_ms: int,
    ) -> Result[int, AgentFailure]:
        """Accept an order that limits the speed, which has no effect."""
        return await self._order(
            agent, timeout_ms, partial(AgentModel.execute_pace, order=order)
        )

    async def renew(
        self,
        agent: AgentAddress,
        order: RenewalOrder,
        timeout_ms: int,
    ) -> Result[WorkerReport, AgentFailure]:
        """Renew the leases and return the running and the ended attempts.

        Waits up to `order.wait_ms` for an end that is not acknowledged.
        """
        execute = partial(AgentModel.execute_renewal, order=order)
        limit_ms = timeout_ms + order.wait_ms
        model = await self._reach(agent, limit_ms, execute)
        if isinstance(model, AgentFailure):
            return Failure(model)
        failure = model.execute_renewal(order)
        if failure is not None:
            return Failure(failure)
        deadline_ms = now_ms() + order.wait_ms
        while not model.ended and now_ms() < deadline_ms:
            if model.outage is Outage.SILENT or self._is_silent(model):
                # The connection stays open and nothing answers on it.
                await sleep_ms(deadline_ms - now_ms() + timeout_ms)
                return Failure(AgentFailure.UNKNOWN)
            if model.outage is not None:
                return Failure(AgentFailure.UNKNOWN)
            await sleep_ms(_POLL_INTERVAL_MS)
            self._end_all_due_runs()
        await sleep_ms(_NETWORK_DELAY_MS)
        self._end_all_due_runs()
        if model.outage is not None:
            return Failure(AgentFailure.UNKNOWN)
        report = model.report()
        model.note_report(report, order.token.epoch)
        return Success(report)

    async def _order(
        self, agent: AgentAddress, timeout_ms: int, execute: _Execution
    ) -> Result[int, AgentFailure]:
        """Execute an order that is answered with the worker's clock."""
        model = await self._reach(agent, timeout_ms, execute)
        if isinstance(model, AgentFailure):
            return Failure(model)
        failure = execute(model)
        if failure is not None:
            return Failure(failure)
        return Success(model.clock_ms())

    async def _reach(
        self, agent: AgentAddress, timeout_ms: int, execute: _Execution
    ) -> AgentModel | AgentFailure:
        """Return the worker, or why the call gets no other answer.

        A call that is delayed runs `execute` later.
        """
        model = self.agents.get(agent.address)
        if model is None:
            return AgentFailure.CONNECTION_REFUSED
        is_delayed = self.delayed_calls.delay(
            agent.address, partial(self._execute_late, agent, execute)
        )
        if is_delayed or self._is_silent(model):
            await sleep_ms(timeout_ms)
            return AgentFailure.UNKNOWN
        if model.outage is not None:
            return await OUTAGES.lookup(model.outage)(timeout_ms)
        await sleep_ms(_NETWORK_DELAY_MS)
        if model.outage is not None:
            return AgentFailure.UNKNOWN
        if model.worker != agent.worker:
            return AgentFailure.OTHER_WORKER
        self._end_all_due_runs()
        return model

    def _is_silent(self, model: AgentModel) -> bool:
        return model.is_silent or model.address in self.silent_addresses

    def _execute_late(self, agent: AgentAddress, execute: _Execution) -> None:
        model = self.agents.get(agent.address)
        if model is None or model.outage is not None:
            return
        if model.worker == agent.worker:
            self._end_all_due_runs()
            execute(model)

    def _forget_lost_ends(self, model: AgentModel) -> None:
        """Drop the successes that an ended incarnation takes with it.

        If no report listed a success, no owner can know of it and its task has
        to run again. If a report did, but no owner acknowledged it, the owner
        may have ended before its record was durable, so that a later owner
        can't know of it.
        """
        for end in model.ended:
            if self.succeeded.get(end.task) != model.worker:
                continue
            if end.sequence not in model.listed_ms:
                self.succeeded.pop(end.task)
                continue
            self._unacknowledged[end.task] = _UnacknowledgedSuccess(
                model.reported_epoch,
                model.listed_ms[end.sequence],
                model.ended_ms,
            )

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

    def _execute_start(
        self,
        model: AgentModel,
        order: StartOrder,
    ) -> AgentFailure | None:
        failure = model.check_token(order.token)
        if failure is not None:
            return failure
        if order.attempt <= model.highest_refused_attempt.get(order.task, 0):
            # Its expiry applies to the other runs all the same.
            model.extend_leases(order.expiry_ms)
            return AgentFailure.SUPERSEDED
        if order.expiry_ms < model.clock_ms():
            return AgentFailure.EXPIRED
        behaviour: dict[str, Any] = json.loads(order.payload or '{}')
        needs_ticket = behaviour.get('needs_ticket', False)
        if not self._tickets.admit(model, order, needs_ticket=needs_ticket):
            return AgentFailure.TICKET_INVALID
        self._start_run(model, order, behaviour)
        return None

    def _start_run(
        self, model: AgentModel, order: StartOrder, behaviour: dict[str, Any]
    ) -> None:
        if (order.task, order.attempt) in model.runs:
            return
        self._record_start(model, order)
        model.extend_leases(order.expiry_ms)
        model.add_run(order, behaviour)
        self._check_load(model, order)
        self._check_ceiling(model, order, behaviour.get('customer'))
        self.crashes.start_seen(model, order, behaviour)

    def _check_load(self, model: AgentModel, order: StartOrder) -> None:
        """Record a start that brings a worker over its capacity."""
        used = model.used()
        if model.capacity.admits(used):
            return
        shrunk_ms = model.capacity.last_admitted_ms(used)
        if shrunk_ms is None:
            self._record_violation(model, order, 'exceeds the capacity')
            return
        self.late_overloads.append(
            LateOverload(model.worker, order.token.epoch, shrunk_ms, now_ms())
        )

    def _check_ceiling(
        self, model: AgentModel, order: StartOrder, customer: str | None
    ) -> None:
        """Record a start that brings a customer over its ceiling."""
        excess = find_excess(self.agents.values(), customer, self.ceilings)
        if excess is not None:
            self._record_violation(model, order, excess)

    def _record_start(self, model: AgentModel, order: StartOrder) -> None:
        """Record a start and the violations that it causes."""
        self.starts.append((order.task, order.attempt, model.worker))
        unacknowledged = self._unacknowledged.get(order.task)
        if unacknowledged and order.token.epoch > unacknowledged.epoch:
            self._unacknowledged.pop(order.task)
            self.succeeded.pop(order.task, None)
        if self._must_success_be_recorded(order.task):
            self._record_violation(
                model,
                order,
                f'starts after its success on {self.succeeded[order.task]}'
                + _describe(unacknowledged),
            )
        for other in self.agents.values():
            for task, attempt in other.runs:
                if task == order.task:
                    self._record_violation(
                        model,
                        order,
                        f'runs twice, as attempt {attempt} on {other.worker}',
                    )

    def _record_violation(
        self, model: AgentModel, order: StartOrder, violation: str
    ) -> None:
        self.violations.append(
            f'{order.task} {violation}: {model.worker}, born at '
            f'{model.born_ms} ms, starts attempt {order.attempt} of epoch '
            f'{order.token.epoch} at {now_ms()} ms'
        )

    def _must_success_be_recorded(self, task: TaskKey) -> bool:
        """Tell whether an owner must record, or have recorded, a success.

        A success need not be recorded when the worker's leases expired before
        it was acknowledged: the report may have reached no owner.
        """
        worker = self.succeeded.get(task)
        if worker is None:
            return False
        model = self.find(worker)
        if model is None:
            return True
        is_listed = any(end.task == task for end in model.ended)
        return not is_listed or model.clock_ms() <= model.lease_expiry_ms
