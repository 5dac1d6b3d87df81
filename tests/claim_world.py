"""Owners of several pools that share one customer's ceiling; no network.

The calls of the store are delivered, lost or executed late as a test asks for.
The runs that workers may have are kept apart from what the owners know.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Result, Success

from fuchsiarill.contracts.contract import CustomerContract, CustomerContracts
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.ceiling_limits import used_of
from fuchsiarill.graphs.claim_answers import apply_claims_answer
from fuchsiarill.graphs.claim_keeper import (
    ClaimFence,
    ClaimsAnswer,
    ClaimsListed,
    ClaimsUnanswered,
    build_transaction,
    decode_items,
    read_outcome,
)
from fuchsiarill.graphs.claim_planning import (
    CustomerNeed,
    PoolNeeds,
    plan_claims,
)
from fuchsiarill.graphs.effects import ListClaims, WriteClaims
from fuchsiarill.graphs.model import GraphConfig, PoolId, PoolPolicy, TaskKey
from fuchsiarill.graphs.progress import UnitKey
from fuchsiarill.graphs.runs import Run
from fuchsiarill.graphs.settings import TaskLeaseSettings
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.ids import (
    CustomerId,
    Epoch,
    Generation,
    JobId,
    StoreKey,
    WorkerId,
)
from fuchsiarill.ports.key_value import (
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvTransaction,
    KvWrite,
)
from fuchsiarill.resources import Resources
from standins.store_model import StoreModel

CUSTOMER: Final = CustomerId('mason')
CAPACITY: Final = Resources(100, 400)
_CONFIG_KEY: Final = StoreKey('settings/config')
STEP_MS: Final = 100


@dataclass(slots=True)
class Owner:
    """The owner of a pool in one term, with its call in progress."""

    state: PoolState
    fence: ClaimFence
    config: GraphConfig
    call: ListClaims | WriteClaims | None = None
    starts_count: int = 0


@dataclass(slots=True)
class Pool:
    """A pool: its owner, the runs on its workers and the waiting units."""

    pool: PoolId
    owner: Owner
    runs: list[Run] = field(default_factory=list)
    # Ended on the workers, which the owner does not know yet.
    ended: list[Run] = field(default_factory=list)
    waiting: deque[Resources] = field(default_factory=deque)
    # Since when the first waiting unit has no room.
    blocked_since_ms: int | None = None


class ClaimWorld:
    """Pools, the store and the configuration."""

    def __init__(self, pools: list[str], ceiling: Resources) -> None:
        """Create a pool with an owner for each name."""
        self.now_ms = 1000
        self.store = StoreModel()
        self.late: list[KvTransaction] = []
        self.ceilings: list[tuple[int, Resources]] = []
        self.violations: list[str] = []
        self._pool_names = [PoolId(pool) for pool in pools]
        self._config = self._write_config(ceiling)
        self.pools = [
            Pool(pool, self._elect(pool)) for pool in self._pool_names
        ]
        for pool in self.pools:
            pool.owner.state.is_inheritance_settled = True

    def set_ceiling(self, ceiling: Resources) -> None:
        """Write a configuration; no owner has it yet."""
        self._config = self._write_config(ceiling)

    def configure(self, pool: Pool) -> None:
        """Put the latest configuration in force in an owner."""
        pool.owner.config = self._config
        pool.owner.state.ceilings.configure(self._config)

    def take_over(self, pool: Pool) -> None:
        """Replace the owner of a pool; its call may still be executed."""
        call = pool.owner.call
        if isinstance(call, WriteClaims):
            self.late.append(build_transaction(pool.owner.fence, call))
        pool.owner = self._elect(pool.pool)
        pool.blocked_since_ms = None

    def write_as_previous_owner(self, pool: Pool, previous: Owner) -> None:
        """Let a replaced owner write all that it may want."""
        self.plan(pool, previous)
        if isinstance(previous.call, WriteClaims):
            self.late.append(build_transaction(previous.fence, previous.call))
            self.execute_late()

    def settle(self, pool: Pool) -> None:
        """Let the owner learn of all runs of the previous one."""
        state = pool.owner.state
        if state.is_inheritance_settled:
            return
        self.report(pool)
        known = {id(run) for run in self._known(pool, pool.runs)}
        for run in pool.runs:
            if id(run) not in known:
                run.is_inherited = True
                state.customers.allocate(run)
        state.is_inheritance_settled = True

    def start(self, pool: Pool) -> bool:
        """Start the first waiting unit if the owner finds room for it."""
        if not pool.waiting:
            return False
        state = pool.owner.state
        charge = pool.waiting[0]
        limit = state.ceilings.limit_of(CUSTOMER)
        assert limit is not None
        if not (used_of(state, CUSTOMER) + charge).fits_in(limit):
            if pool.blocked_since_ms is None:
                pool.blocked_since_ms = self.now_ms
            return False
        pool.waiting.popleft()
        pool.blocked_since_ms = None
        pool.owner.starts_count += 1
        number = pool.owner.starts_count
        run = Run(
            TaskKey(JobId(f'{state.epoch}'), 0, 0, number),
            1,
            UnitKey(0, 0, number),
            WorkerId('w'),
            charge,
            customer=CUSTOMER,
        )
        pool.runs.append(run)
        state.customers.allocate(run)
        self._check_start(pool)
        return True

    def end_run(self, pool: Pool, number: int) -> None:
        """End a run on its worker; the owner does not know it yet."""
        if pool.runs:
            pool.ended.append(pool.runs.pop(number % len(pool.runs)))

    def report(self, pool: Pool) -> None:
        """Let the owner learn of the runs that have ended.

        Before the settlement it knows only those that it has started.
        """
        state = pool.owner.state
        for run in self._known(pool, pool.ended):
            state.customers.release(run)
        pool.ended.clear()

    def plan(self, pool: Pool, owner: Owner | None = None) -> None:
        """Let 100 ms pass, and an owner without a call plan the next one."""
        owner = owner or pool.owner
        self.now_ms += STEP_MS
        ceilings = owner.state.ceilings
        if ceilings.is_call_pending:
            return
        waiting = sum(pool.waiting, start=Resources())
        need = CustomerNeed(used_of(owner.state, CUSTOMER), waiting)
        if pool.blocked_since_ms is not None and pool.waiting:
            need = CustomerNeed(
                need.used, waiting, pool.waiting[0], pool.blocked_since_ms
            )
        owner.call = plan_claims(
            ceilings,
            owner.config,
            PoolNeeds({CUSTOMER: need}, CAPACITY),
            self.now_ms,
        )

    def execute(self, pool: Pool) -> None:
        """Execute the call of an owner and deliver the answer."""
        answer = self._execute(pool)
        if answer is not None:
            self._deliver(pool, answer)

    def lose_answer(self, pool: Pool) -> None:
        """Execute the call of an owner; the answer is lost."""
        if self._execute(pool) is not None:
            self._deliver(pool, self._no_answer(pool))

    def delay(self, pool: Pool) -> None:
        """Deliver no answer; the call may be executed later."""
        call = pool.owner.call
        if call is None:
            return
        if isinstance(call, WriteClaims):
            self.late.append(build_transaction(pool.owner.fence, call))
        self._deliver(pool, self._no_answer(pool))

    def refuse(self, pool: Pool) -> None:
        """Let the store refuse the call of an owner."""
        call = pool.owner.call
        if isinstance(call, WriteClaims):
            refusal: Result[KvCommitted | KvConflict, KvFailure] = Failure(
                KvFailure.REFUSED
            )
            self._deliver(pool, read_outcome(call, refusal))
        elif call is not None:
            self._deliver(pool, self._no_answer(pool))

    def execute_late(self) -> None:
        """Execute all calls that got no answer, the latest first."""
        while self.late:
            self.store.apply(self.late.pop())

    def total(self) -> Resources:
        """Return what the customer may have allocated in all pools."""
        return sum(
            (run.charge for pool in self.pools for run in pool.runs),
            start=Resources(),
        )

    def claims_total(self) -> Resources:
        """Return the sum of the durable claims."""
        records = [
            item.record for item in decode_items(self._claim_items()) or ()
        ]
        return sum(
            (record.claimed(CUSTOMER) for record in records), start=Resources()
        )

    def highest_ceiling(self, revision: int = 0) -> Resources:
        """Return the highest ceiling in force at a revision or later."""
        highest = self.ceilings[-1][1]
        for written, ceiling in self.ceilings:
            if written >= revision:
                highest = Resources(
                    max(highest.processors_milli, ceiling.processors_milli),
                    max(highest.memory_mb, ceiling.memory_mb),
                )
        return highest

    def _known(self, pool: Pool, runs: list[Run]) -> list[Run]:
        """Return the runs that the owner knows, all after the settlement."""
        state = pool.owner.state
        if state.is_inheritance_settled:
            return runs
        return [run for run in runs if run.task.job == f'{state.epoch}']

    def _check_start(self, pool: Pool) -> None:
        """Check a start; an owner may not have the latest configuration."""
        limit = self.highest_ceiling(pool.owner.config.revision)
        if not self.total().fits_in(limit):
            self.violations.append(f'{self.total()} is above {limit}')

    def _elect(self, pool: PoolId) -> Owner:
        key = keys.owner_key(pool)
        self.store.write(KvWrite(key, b'owner'))
        revision = self.store.items[key].revision
        state = PoolState(pool, Epoch(revision), TaskLeaseSettings())
        state.config = self._config
        state.ceilings.configure(self._config)
        return Owner(
            state, ClaimFence(pool, revision, _CONFIG_KEY), self._config
        )

    def _write_config(self, ceiling: Resources) -> GraphConfig:
        self.store.write(KvWrite(_CONFIG_KEY, b''))
        revision = self.store.items[_CONFIG_KEY].revision
        self.ceilings.append((revision, ceiling))
        return GraphConfig(
            Generation(revision),
            {},
            {pool: PoolPolicy(pool) for pool in self._pool_names},
            contracts=CustomerContracts(
                [CustomerContract(CUSTOMER, ceiling=ceiling)]
            ),
            revision=revision,
        )

    def _execute(self, pool: Pool) -> ClaimsAnswer | None:
        call = pool.owner.call
        if isinstance(call, WriteClaims):
            transaction = build_transaction(pool.owner.fence, call)
            return read_outcome(call, Success(self.store.apply(transaction)))
        if call is None:
            return None
        items = decode_items(self._claim_items())
        return ClaimsListed(items, self.store.revision)

    def _no_answer(self, pool: Pool) -> ClaimsAnswer:
        if isinstance(pool.owner.call, WriteClaims):
            return ClaimsUnanswered()
        return ClaimsListed(None, self.store.revision)

    def _deliver(self, pool: Pool, answer: ClaimsAnswer) -> None:
        pool.owner.call = None
        apply_claims_answer(pool.owner.state, answer, self.now_ms)

    def _claim_items(self) -> list[KvItem]:
        return [
            item
            for key, item in self.store.items.items()
            if key.startswith(keys.CLAIMS_PREFIX)
        ]
