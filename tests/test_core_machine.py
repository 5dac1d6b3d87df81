"""Tests of the core under arbitrary sequences of events."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from fuchsiarill.core.sizes import size_of
from fuchsiarill.job import Workload
from fuchsiarill.states import JobState
from tests.core_harness import STEPS, Cell

_WORKERS = {
    f'w{number}': {'domain': f'd{number % 3}', 'rack': f'k{number}'}
    for number in range(4)
}
_DRAIN_ROUNDS_COUNT = 40


class CoreMachine(RuleBasedStateMachine):
    """Submissions, ends, cancellations and lost workers in any order."""

    def __init__(self) -> None:
        """Start with an empty cell; `begin` draws the policies."""
        super().__init__()
        self.cell = Cell({})
        self.jobs: list[str] = []
        self.starts: dict[str, int] = {}

    @initialize(learn=st.booleans(), ordering=st.sampled_from(['fair']))
    def begin(self, learn: bool, ordering: str) -> None:
        """Create the cell with the drawn policies."""
        self.cell = Cell(
            {
                'workers': _WORKERS,
                'contracts': [{'customer': 'a'}, {'customer': 'b'}],
                'policies': {'learn_sizes': learn, 'ordering': ordering},
            },
        )

    @rule(
        customer=st.sampled_from('ab'),
        workload=st.sampled_from(['batch', 'gang', 'service']),
        execution=st.sampled_from(['idempotent', 'at_most_once']),
        urgency=st.sampled_from(['normal', 'urgent']),
        tasks=st.integers(1, 6),
        processors=st.sampled_from([500, 1500, 3000]),
    )
    def submit(self, processors: int, **row: Any) -> None:
        """Submit a job that fits the empty cell."""
        if processors == 3000:
            row['tasks'] = min(row['tasks'], len(_WORKERS))
        name = f'j{len(self.jobs)}'
        self.jobs.append(name)
        size = [processors, 1000, 0, 1]
        self.perform('submit', row | {'job': name, 'size': size, 'class': name})

    @rule(pick=st.randoms(use_true_random=False), ends=st.booleans())
    def end_job(self, pick: Any, ends: bool) -> None:
        """End all running tasks of a job."""
        running = sorted(
            {start.payload for start in self.cell.running.values()}
        )
        if running:
            outcome = 'succeeded' if ends else 'failed'
            self.perform('end', {pick.choice(running): outcome})

    @rule(pick=st.randoms(use_true_random=False))
    def cancel(self, pick: Any) -> None:
        """Cancel a job in any state."""
        if self.jobs:
            self.perform('cancel', [pick.choice(self.jobs)])

    @rule(name=st.sampled_from(sorted(_WORKERS)))
    def lose(self, name: str) -> None:
        """Disconnect a worker, which stops its tasks when their leases end."""
        self.perform('silent', [name])

    @precondition(lambda machine: machine.cell.silent)
    @rule()
    def return_workers(self) -> None:
        """Reconnect the workers after their leases have ended."""
        for attempt_id, start in tuple(self.cell.running.items()):
            if start.worker_id in self.cell.silent:
                self.cell.running.pop(attempt_id)
        self.perform('advance_ms', 18_000)
        self.perform('heard', list(self.cell.silent))

    @rule(duration_ms=st.sampled_from([100, 1_000, 60_000]))
    def wait(self, duration_ms: int) -> None:
        """Advance the time, but not beyond the leases of silent workers."""
        if not self.cell.silent:
            self.perform('advance_ms', duration_ms)

    @rule()
    def drain_queue(self) -> None:
        """End all tasks repeatedly; guards against jobs that never end."""
        if self.cell.silent:
            self.return_workers()
        for _round in range(_DRAIN_ROUNDS_COUNT):  # noqa: WPS122
            batch = {
                start.payload: 'succeeded'
                for start in self.cell.running.values()
                if self.spec_of(start.payload).workload is not Workload.SERVICE
            }
            services = [
                name
                for name in self.jobs
                if self.spec_of(name).workload is Workload.SERVICE
            ]
            self.perform('cancel', services)
            self.perform('end', batch)
            self.perform('advance_ms', 60_000)
        unfinished = {
            name: self.job_of(name).state
            for name in self.jobs
            if self.job_of(name).state in {JobState.QUEUED, JobState.RUNNING}
        }
        assert not unfinished

    @invariant()
    def gangs_are_whole(self) -> None:
        """Guards against partly placed gangs and workers held twice."""
        for job in self.cell.core.state.jobs.values():
            if job.spec.workload is Workload.GANG and job.waiting:
                assert not job.attempts
        held_ids = [
            worker_id
            for reservation in self.cell.core.state.reservations.values()
            for worker_id in reservation.tasks_count_by_worker
        ]
        assert len(held_ids) == len(set(held_ids))

    @invariant()
    def accounts_add_up(self) -> None:
        """Guards against accounts that differ from their attempts."""
        self.cell.check_capacity()
        state = self.cell.core.state
        for account in state.accounts.values():
            reserved_amounts = [
                attempt.reserved.processors_milli
                for attempt in state.attempts.values()
                if state.jobs[attempt.job_id].spec.customer == account.customer
            ]
            assert account.reserved.processors_milli == sum(reserved_amounts)
            assert account.being_reclaimed.processors_milli >= 0

    @invariant()
    def no_task_runs_twice(self) -> None:
        """Guards against two runs of a batch task or a gang member."""
        seen_tasks: set[str] = set()
        for attempt_id, start in self.cell.running.items():
            spec = self.spec_of(start.payload)
            task = attempt_id.rpartition('@')[0]
            if spec.workload is not Workload.SERVICE:
                assert task not in seen_tasks
            seen_tasks.add(task)
            assert size_of(self.cell.core.state, spec) is not None

    def perform(self, name: str, argument: Any) -> None:
        """Perform a step of the harness."""
        STEPS.lookup(name)(self.cell, argument)
        self.cell.exchange()

    def job_of(self, name: str) -> Any:
        """Return the record of a job."""
        return self.cell.core.state.jobs[self.cell.ids[name]]

    def spec_of(self, name: str) -> Any:
        """Return the submission of a job."""
        return self.job_of(name).spec


TestCoreMachine = CoreMachine.TestCase
TestCoreMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)
