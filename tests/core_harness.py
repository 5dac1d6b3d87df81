"""Passes the steps of a data-driven case to a `PartitionCore`.

A case sets `contracts`, `policies` and `workers`, all with defaults, and lists
its `steps`; the functions registered in `STEPS` perform them. Some steps check
the state, for instance `runs`, which expects for each job the number of its
running tasks or the list of their workers.

Records are committed at once. After every step, the workers that are not
silent report all tasks that they run and comply with stops.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.core.effects import CommandTask, PersistRecord, StartTask
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import (
    AttemptId,
    CustomerId,
    Epoch,
    FailureDomain,
    IncarnationId,
    JobClass,
    JobId,
    PartitionId,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.registry import Registry
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.workers import (
    CommandKind,
    HostEntry,
    HostState,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)

Step = Callable[['Cell', Any], None]

STEPS: Final[Registry[str, Step]] = Registry('steps')
_CAPACITY: Final = [4000, 8000, 0, 8]
_ROUNDS_MAX_COUNT: Final = 50
_NO_TOKEN: Final = '0' * 64
_UNLIMITED: Final = {
    'processors_milli': 10**6,
    'memory_mb': 10**7,
    'accelerators_count': 1000,
    'slots_count': 10**4,
}
_FIELDS: Final = tuple(_UNLIMITED)


def contract(**changes: Any) -> dict[str, Any]:
    """Return a contract with wide limits, except for the changes."""
    for name in ('quota', 'guaranteed'):
        if name in changes:
            amounts = zip(_FIELDS, changes[name], strict=True)
            changes[name] = dict(amounts)
    return {
        'customer': 'a',
        'region': 'r',
        'quota': _UNLIMITED,
        'guaranteed': dict.fromkeys(_FIELDS, 0),
        'submit_rate_per_s': 1000,
        'submit_burst_count': 1000,
        'token_sha256': '0' * 64,
    } | changes


def cell_config(
    contracts: list[dict[str, Any]],
    policies: dict[str, Any],
    draining: list[str],
) -> CellConfig:
    """Return a configuration that by default uses the declared sizes."""
    return CellConfig.model_validate(
        {
            'cell': 'test',
            'regions': [{'name': 'r'}],
            'contracts': [contract(**row) for row in contracts],
            'policies': {'learn_sizes': False} | policies,
            'draining_workers': draining,
            'operator_token_sha256': '0' * 64,
        },
    )


def host_entry(name: str, row: dict[str, Any]) -> HostEntry:
    """Return the host list entry of a worker."""
    return HostEntry(
        WorkerId(name),
        'none',
        RegionId('r'),
        FailureDomain(row.get('domain', 'd0')),
        RackId(row.get('rack', 'k0')),
        Resources(*row.get('capacity', _CAPACITY)),
        64,
        HostState(row.get('state', 'live')),
    )


def job_spec(row: dict[str, Any]) -> JobSpec:
    """Return a submission; `job` is its idempotency key."""
    return JobSpec(
        customer=CustomerId(row.get('customer', 'a')),
        idempotency_key=row['job'],
        workload=Workload(row.get('workload', 'batch')),
        execution=Execution(row.get('execution', 'idempotent')),
        urgency=Urgency(row.get('urgency', 'normal')),
        job_class=JobClass(row.get('class', 'c')),
        tasks_count=row.get('tasks', 1),
        task_size=Resources(*row.get('size', [1000, 1000, 0, 1])),
        run_time_ms=row.get('run_time_ms', 1000),
        payload=row['job'],
    )


class Cell:  # noqa: WPS230
    """A core with simulated workers and a simulated clock."""

    def __init__(self, case: dict[str, Any]) -> None:
        """Set up the contracts, policies and workers of the case."""
        self.now_ms = 0
        self.contracts = case.get('contracts', [{}])
        self.policies = case.get('policies', {})
        self.draining: list[str] = []
        self.hosts: dict[str, dict[str, Any]] = {}
        self.silent: set[str] = set()
        self.running: dict[AttemptId, StartTask] = {}
        self.outcomes: dict[AttemptId, TaskOutcome] = {}
        self.used: dict[str, Resources] = {}
        self.commands: list[tuple[CommandKind, str]] = []
        self.ids: dict[str, JobId] = {}
        self.withheld: list[str] = []
        self.core = PartitionCore(PartitionId('p'), Epoch(1), self.config())
        for name, row in case.get('workers', {}).items():
            self.hosts[name] = row or {}
        if case.get('hosts_read', True):
            self.list_hosts()
        self.exchange()

    def config(self) -> CellConfig:
        """Return the configuration in force."""
        return cell_config(self.contracts, self.policies, self.draining)

    def run(self, steps: list[dict[str, Any]]) -> None:
        """Perform steps, with decisions and reports after each."""
        for step in steps:
            for name, argument in step.items():
                STEPS.lookup(name)(self, argument)
                self.exchange()

    def list_hosts(self) -> None:
        """Pass the host list to the core."""
        entries = [host_entry(name, row) for name, row in self.hosts.items()]
        self.core.hosts_listed(tuple(entries), self.now_ms)

    def exchange(self) -> None:
        """Decide, apply the effects and report until no effects follow."""
        rounds_without_change_count = 0
        for _round in range(_ROUNDS_MAX_COUNT):  # noqa: WPS122
            has_more_steps = self.core.decide(self.now_ms)
            effects = self.core.take_effects()
            for effect in effects:
                self._apply_effect(effect)
            self.check_capacity()
            for name in self.hosts:
                if name not in self.silent:
                    self.report(name)
            has_changed = has_more_steps or effects or self.core.state.effects
            rounds_without_change_count = (
                0 if has_changed else rounds_without_change_count + 1
            )
            if rounds_without_change_count > 1:
                return
        raise AssertionError('decisions do not terminate')

    def report(self, name: str) -> None:
        """Report the running and the ended tasks of a worker."""
        tasks = [
            self._report_task(attempt_id, start)
            for attempt_id, start in tuple(self.running.items())
            if start.worker_id == name
        ]
        for task in tasks:
            if task.outcome is not TaskOutcome.RUNNING:
                self.running.pop(task.attempt_id)
        report = WorkerReport(
            WorkerId(name), Epoch(1), 0, tuple(tasks), IncarnationId('first')
        )
        self.core.worker_reported(report, self.now_ms)

    def workers_of(self, job: str) -> list[str]:
        """Return the workers that run a job, sorted by name."""
        return sorted(
            start.worker_id
            for start in self.running.values()
            if start.payload == job
        )

    def check_capacity(self) -> None:
        """Check that no worker has reservations above its capacity."""
        for worker in self.core.state.workers.values():
            reserved = sum(
                (
                    self.core.state.attempts[attempt_id].reserved
                    for attempt_id in worker.attempts
                ),
                start=NO_RESOURCES,
            )
            assert reserved == worker.reserved
            assert reserved.fits_in(worker.entry.capacity)

    def _apply_effect(self, effect: object) -> None:
        if isinstance(effect, PersistRecord):
            self.core.committed(effect.sequence, self.now_ms)
        elif isinstance(effect, StartTask) and effect.payload in self.withheld:
            self.withheld.remove(effect.payload)
            self.core.start_withheld(effect.attempt_id, self.now_ms)
        elif isinstance(effect, StartTask):
            self.running[effect.attempt_id] = effect
        elif isinstance(effect, CommandTask):
            self._apply_command(effect)

    def _apply_command(self, effect: CommandTask) -> None:
        start = self.running.get(effect.attempt_id)
        if start is None or start.worker_id in self.silent:
            return
        self.commands.append((effect.kind, start.payload))
        if effect.kind is CommandKind.STOP:
            self.outcomes[effect.attempt_id] = TaskOutcome.STOPPED

    def _report_task(
        self, attempt_id: AttemptId, start: StartTask
    ) -> TaskReport:
        return TaskReport(
            attempt_id,
            self.outcomes.get(attempt_id, TaskOutcome.RUNNING),
            start.reserved,
            self.used.get(start.payload, NO_RESOURCES),
            output=start.payload,
        )


@STEPS.register('submit')
def _submit(cell: Cell, row: dict[str, Any]) -> None:
    for number in range(row.get('copies', 1)):
        name = f'{row["job"]}{number}' if 'copies' in row else row['job']
        match cell.core.submit(job_spec(row | {'job': name}), cell.now_ms):
            case Success(job_id):
                assert 'refused' not in row, 'the job was accepted'
                cell.ids[name] = job_id
            case Failure(refusal):
                assert refusal.code.name == row.get('refused'), refusal
                assert refusal.field == row.get('field')
                assert refusal.retry_after_ms == row.get('retry_after_ms')


@STEPS.register('end')
def _end_attempts(cell: Cell, rows: dict[str, str]) -> None:
    for job, outcome in rows.items():
        for attempt_id, start in cell.running.items():
            if start.payload == job:
                cell.outcomes[attempt_id] = TaskOutcome(outcome)


@STEPS.register('end_one')
def _end_first_attempt(cell: Cell, rows: dict[str, str]) -> None:
    for job, outcome in rows.items():
        attempt_id = next(_attempts_of(cell, job))
        cell.outcomes[attempt_id] = TaskOutcome(outcome)


@STEPS.register('cancel')
def _cancel(cell: Cell, jobs: list[str]) -> None:
    for job in jobs:
        cell.core.cancel(cell.ids[job], cell.now_ms)


@STEPS.register('advance_ms')
def _advance(cell: Cell, duration_ms: int) -> None:
    cell.now_ms += duration_ms
    cell.core.expire_leases(cell.now_ms)


@STEPS.register('silent')
def _disconnect(cell: Cell, names: list[str]) -> None:
    for name in names:
        cell.silent.add(name)
        cell.core.worker_silent(WorkerId(name), cell.now_ms)


@STEPS.register('heard')
def _reconnect(cell: Cell, names: list[str]) -> None:
    cell.silent.difference_update(names)


@STEPS.register('hosts')
def _change_host_list(cell: Cell, rows: dict[str, Any]) -> None:
    for name, row in rows.items():
        cell.hosts.pop(name, None)
        if row != 'unlisted':
            cell.hosts[name] = row
    cell.list_hosts()


@STEPS.register('configure')
def _configure(cell: Cell, changes: dict[str, Any]) -> None:
    cell.contracts = changes.get('contracts', cell.contracts)
    cell.policies = cell.policies | changes.get('policies', {})
    cell.draining = changes.get('draining', cell.draining)
    cell.core.configure(cell.config(), cell.now_ms)


@STEPS.register('restrict')
def _restrict(cell: Cell, is_restricted: bool) -> None:
    if is_restricted:
        cell.core.restrict(cell.now_ms)
    else:
        cell.core.unrestrict(cell.now_ms)


@STEPS.register('uses')
def _set_usage(cell: Cell, rows: dict[str, list[int]]) -> None:
    for job, used in rows.items():
        cell.used[job] = Resources(*used)


@STEPS.register('withhold')
def _withhold(cell: Cell, jobs: list[str]) -> None:
    cell.withheld.extend(jobs)


@STEPS.register('runs')
def _expect_running(cell: Cell, rows: dict[str, Any]) -> None:
    for job, expected in rows.items():
        worker_names = cell.workers_of(job)
        actual = (
            len(worker_names) if isinstance(expected, int) else worker_names
        )
        assert actual == expected, (job, worker_names)


@STEPS.register('states')
def _expect_states(cell: Cell, rows: dict[str, str]) -> None:
    jobs = cell.core.state.jobs
    actual = {job: jobs[cell.ids[job]].state.value for job in rows}
    assert actual == rows


@STEPS.register('worker_states')
def _expect_worker_states(cell: Cell, rows: dict[str, str]) -> None:
    workers = cell.core.state.workers
    actual = {name: workers[WorkerId(name)].state.value for name in rows}
    assert actual == rows


@STEPS.register('explained')
def _expect_explained(cell: Cell, rows: dict[str, dict[str, Any]]) -> None:
    for job, expected in rows.items():
        explanation = cell.core.explain(cell.ids[job], cell.now_ms)
        for name, expected_field in expected.items():
            actual = getattr(explanation, name)
            assert getattr(actual, 'value', actual) == expected_field, (
                explanation
            )


@STEPS.register('commanded')
def _expect_commands(cell: Cell, rows: list[list[str]]) -> None:
    actual = [[kind.value, job] for kind, job in cell.commands]
    assert actual == rows
    cell.commands.clear()


def _attempts_of(cell: Cell, job: str) -> Iterator[AttemptId]:
    for attempt_id, start in cell.running.items():
        if start.payload == job:
            yield attempt_id
