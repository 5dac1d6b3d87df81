"""Decisions about steps whose customers have a ceiling, without a network."""

from dataclasses import replace
from typing import Any, Final

import pytest

from fuchsiarill import events, graph_events
from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs.ceiling_limits import used_of
from fuchsiarill.graphs.claim_answers import apply_claims_answer
from fuchsiarill.graphs.claim_keeper import (
    ClaimsAnswer,
    ClaimsListed,
    ClaimsRefused,
    ClaimsWritten,
)
from fuchsiarill.graphs.claim_ledger import ClaimItem
from fuchsiarill.graphs.claim_records import (
    ClaimRecord,
    ClaimRow,
    decode_claims,
    encode_claims,
)
from fuchsiarill.graphs.effects import (
    Effect,
    ListClaims,
    RequestAdvice,
    StopRun,
    WriteClaims,
)
from fuchsiarill.graphs.model import Label, PoolId, QueueId, Step
from fuchsiarill.graphs.progress import JobProgress, UnitKey
from fuchsiarill.ids import CustomerId, Generation, JobId, Revision, WorkerId
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.agents import AgentFailure
from fuchsiarill.resources import NO_RESOURCES, Resources
from tests.graph_owner import (
    ADVISED,
    BATCH,
    CAPACITY,
    CONFIG,
    POOL,
    SIZE,
    URGENT,
    Owner,
    ended,
    running,
    task,
)

_MASON: Final = CustomerId('mason')
_TILER: Final = CustomerId('tiler')
_OTHER_POOL: Final = PoolId('rendering')
_WAIT_MS: Final = 100


class _Store:
    """Answers the calls for the claims of one owner."""

    def __init__(self, own: Resources = NO_RESOURCES) -> None:
        """Keep a record of the own pool with a claim of the customer."""
        self.records: dict[PoolId, ClaimRecord] = {}
        self.revision = Revision(1)
        self.writes: list[WriteClaims] = []
        self.is_refusing = False
        if own != NO_RESOURCES:
            self.records[POOL] = _record(own)

    def answer(self, effect: ListClaims | WriteClaims) -> ClaimsAnswer:
        """Execute a call."""
        if isinstance(effect, ListClaims):
            items = tuple(
                ClaimItem(pool, record, self.revision)
                for pool, record in self.records.items()
            )
            return ClaimsListed(items, self.revision)
        self.writes.append(effect)
        if self.is_refusing:
            return ClaimsRefused(effect.record)
        self.records[POOL] = effect.record
        self.revision = Revision(self.revision + 1)
        return ClaimsWritten(effect.record, self.revision)


class _CeilingOwner(Owner):
    """An owner whose calls for claims are answered at once."""

    def __init__(
        self, ceiling: Resources, *workers: str, store: _Store | None = None
    ) -> None:
        """Put a contract with a ceiling in force; all workers report."""
        super().__init__(*workers, term=1 if store is None else 2)
        self.store = store or _Store()
        self.set_ceiling(ceiling)
        for worker in workers:
            self.report(worker)

    def set_ceiling(self, ceiling: Resources) -> None:
        """Put a configuration with a ceiling in force."""
        contract = CustomerContract(_MASON, ceiling=ceiling)
        self.configure(CustomerContracts([contract]))

    def configure(self, contracts: CustomerContracts) -> None:
        """Put contracts in force."""
        self.core.configure(
            replace(CONFIG, generation=Generation(2), contracts=contracts)
        )

    def decide(self) -> list[Effect]:
        """Decide until no call for the claims is due."""
        effects: list[Effect] = []
        for _ in range(4):
            self.now_ms += _WAIT_MS
            for effect in super().decide():
                if isinstance(effect, (ListClaims, WriteClaims)):
                    answer = self.store.answer(effect)
                    apply_claims_answer(self.core.state, answer, self.now_ms)
                else:
                    effects.append(effect)
        return effects

    def add(
        self, job: str, step: Step, queue: QueueId = BATCH, **details: Any
    ) -> None:
        """Accept a job of the customer."""
        self.add_job(job, step, queue=queue, customer=_MASON, **details)


def _record(
    claimed: Resources, wanted: Resources = NO_RESOURCES
) -> ClaimRecord:
    row = ClaimRow(SIZE.times(2), claimed, wanted, wanted)
    return ClaimRecord(CAPACITY, {_MASON: row})


def test_wide_step_runs_in_waves() -> None:
    """Guards against starts above the ceiling, and a step that is stuck."""
    owner = _CeilingOwner(SIZE.times(2), 'w0', 'w1')
    owner.add('a', Step(3, SIZE))
    starts = owner.starts()
    assert len(starts) == 2
    first = starts[0]
    owner.report(
        first.worker,
        tuple(
            running(start.task)
            for start in starts
            if start.worker == first.worker and start is not first
        ),
        (ended(first.task),),
    )
    assert len(owner.starts()) == 1


def test_customer_without_a_ceiling_needs_no_claim() -> None:
    """Guards against work without a ceiling that waits for the store."""
    owner = _CeilingOwner(SIZE, 'w0', 'w1')
    owner.store.is_refusing = True
    owner.add_job('a', Step(2, SIZE), customer=_TILER)
    owner.add_job('b', Step(2, SIZE))
    assert len(owner.starts()) == 4
    assert not owner.store.writes


def test_unit_at_its_ceiling_takes_nothing_from_others() -> None:
    """Guards against stops, reservations and advice that help nobody."""
    owner = _CeilingOwner(SIZE, 'w0')
    owner.add('a', Step(1, SIZE))
    owner.add_job('victim', Step(1, SIZE, is_checkpointing=True))
    starts = owner.starts()
    assert len(starts) == 2
    for start in starts:
        owner.core.start_answered(
            start.worker, start.task, start.attempt, None, owner.now_ms
        )
    owner.add('urgent', Step(1, SIZE), URGENT)
    owner.add('gang', Step(1, SIZE, is_gang=True))
    owner.add('advised', Step(1, SIZE), ADVISED)
    owner.now_ms += 3000
    effects = owner.decide()
    assert not any(
        isinstance(effect, (RequestAdvice, StopRun)) for effect in effects
    )
    assert not owner.view('w0').reservations


def test_gang_at_the_ceiling_is_not_starved_by_small_tasks() -> None:
    """Guards against small tasks that take each part that becomes free."""
    owner = _CeilingOwner(SIZE.times(2), 'w0', 'w1')
    owner.add('small', Step(1, SIZE))
    first = owner.starts()[0]
    owner.add('gang', Step(2, SIZE, is_gang=True))
    owner.decide()
    owner.now_ms += 1000
    owner.decide()
    owner.add('later', Step(5, SIZE))
    assert not owner.starts()
    owner.report(first.worker, (), (ended(first.task),))
    assert {start.task.job for start in owner.starts()} == {'gang'}


def test_unanswered_start_counts_until_it_cannot_act() -> None:
    """Guards against a start beside one that is executed late."""
    owner = _CeilingOwner(SIZE, 'w0', 'w1')
    owner.add('a', Step(1, SIZE))
    start = owner.starts()[0]
    owner.core.start_answered(
        start.worker, start.task, 1, AgentFailure.UNKNOWN, owner.now_ms
    )
    owner.add('b', Step(1, SIZE))
    assert not owner.starts()
    assert used_of(owner.core.state, _MASON) == SIZE


def test_inherited_claim_counts_as_used_until_all_runs_are_known() -> None:
    """Guards against starts beside runs of the previous owner."""
    owner = _CeilingOwner(SIZE.times(2), store=_Store(SIZE))
    owner.core.update_workers([], owner.now_ms)
    owner.core.add_inherited_worker(WorkerId('w0'), 'w0:1', owner.now_ms + 5000)
    owner.add('old', Step(1, SIZE), is_inherited=True)
    owner.decide()
    assert used_of(owner.core.state, _MASON) == SIZE
    owner.report('w0', (running(task('old'), attempt=3),))
    owner.decide()
    assert owner.core.state.is_inheritance_settled
    assert used_of(owner.core.state, _MASON) == SIZE


def test_late_start_of_the_previous_owner_counts() -> None:
    """Guards against a start beside an order that may still be executed."""
    owner = _CeilingOwner(SIZE, 'w0', store=_Store(SIZE))
    owner.add('old', Step(1, SIZE), is_inherited=True)
    progress = owner.core.state.jobs[JobId('old')].progress
    _lose_start(progress)
    owner.add('new', Step(1, SIZE))
    owner.core.state.previous_owner_stop_ms = owner.now_ms
    assert not owner.starts()
    owner.now_ms += 30_000
    owner.report('w0')
    assert len(owner.starts()) == 1


def test_removed_customer_keeps_its_ceiling() -> None:
    """Guards against a ceiling that ends with the contract."""
    owner = _CeilingOwner(SIZE, 'w0', 'w1')
    owner.add('a', Step(3, SIZE))
    assert len(owner.starts()) == 1
    owner.configure(CustomerContracts([CustomerContract(_TILER)]))
    assert not owner.starts()
    owner.set_ceiling(NO_RESOURCES)
    assert len(owner.starts()) == 2


def test_gang_gets_its_claim_while_urgent_work_waits() -> None:
    """Guards against a gang that waits for its ceiling though it has room.

    Its claim was limited to the free workers and the urgent work that waits,
    so that it never got a reservation, and each free worker went to others.
    """
    owner = _CeilingOwner(SIZE.times(8), 'w0', 'w1')
    owner.add_job('fill', Step(3, SIZE), customer=_TILER)
    running_starts = owner.starts()
    assert len(running_starts) == 3
    unplaceable = Step(1, SIZE, required_label=Label('nowhere'))
    owner.add('urgent', unplaceable, URGENT)
    owner.add('gang', Step(3, SIZE, is_gang=True))
    gang = next(iter(owner.core.state.jobs[JobId('gang')].waiting_steps()))
    owner.decide()
    # An excess claim is lowered after 2 s.
    for _ in range(8):
        owner.decide()
        assert gang.wait.ceiling_since_ms is None


def test_removed_customer_keeps_its_ceiling_after_a_takeover() -> None:
    """Guards against work of a removed customer that runs without a limit.

    The record of the previous owner may have no row of the customer, and no
    ceiling at all may be configured. Nothing starts before the first list.
    """
    store = _Store()
    store.records[_OTHER_POOL] = _record(SIZE.times(2))
    owner = _CeilingOwner(NO_RESOURCES, 'w0', 'w1', store=store)
    owner.configure(CustomerContracts([CustomerContract(_TILER)]))
    owner.add('old', Step(3, SIZE), is_inherited=True)
    assert not owner.starts()
    store.records[_OTHER_POOL] = ClaimRecord()
    store.revision = Revision(store.revision + 1)
    owner.decide()
    assert used_of(owner.core.state, _MASON) == SIZE.times(2)


def test_record_tells_the_latest_ceiling() -> None:
    """Guards against a successor that applies an earlier ceiling.

    It reads the ceiling of a removed customer from the record, which was not
    written again when only the ceiling had changed.
    """
    owner = _CeilingOwner(SIZE.times(3), 'w0', 'w1')
    owner.add('a', Step(1, SIZE))
    assert len(owner.starts()) == 1
    owner.set_ceiling(SIZE.times(2))
    owner.decide()
    assert owner.store.records[POOL].rows[_MASON].ceiling == SIZE.times(2)


def test_claims_of_other_pools_leave_the_rest() -> None:
    """Guards against a raise beyond what other pools have claimed."""
    store = _Store()
    store.records[_OTHER_POOL] = _record(SIZE)
    owner = _CeilingOwner(SIZE.times(2), 'w0', 'w1', store=store)
    owner.add('a', Step(4, SIZE))
    assert len(owner.starts()) == 1
    assert store.records[POOL].rows[_MASON].wanted == SIZE
    store.records[_OTHER_POOL] = ClaimRecord()
    store.revision = Revision(store.revision + 1)
    assert len(owner.starts()) == 1


def test_log_names_the_ceiling(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a long wait whose cause no log line tells."""
    lines: dict[LogEvent, dict[str, Any]] = {}

    def keep(event: LogEvent, **fields: Any) -> None:
        event.template.format(**fields)
        lines[event] = fields

    owner = _CeilingOwner(SIZE, 'w0', 'w1')
    owner.add('a', Step(2, SIZE))
    owner.decide()
    monkeypatch.setattr(events, 'emit', keep)
    owner.now_ms += 3000
    owner.decide()
    assert lines[graph_events.STEP_BLOCKED]['ceiling_ms'] >= 3000
    assert lines[graph_events.CUSTOMER_AT_CEILING]['customer'] == _MASON


def test_record_of_claims_survives_encoding() -> None:
    """Guards against claims that the next owner reads differently."""
    record = _record(SIZE, SIZE)
    assert decode_claims(encode_claims(record)) == record
    with pytest.raises(ValueError, match='not a record'):
        decode_claims(b'{"capacity": 3}')


def _lose_start(progress: JobProgress) -> None:
    progress.unanswered_starts[UnitKey(0, 0, 0)] = {WorkerId('w0')}
