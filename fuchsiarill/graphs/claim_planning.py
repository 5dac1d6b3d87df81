"""Decides what the owner of a pool claims of the ceilings of customers.

Handles the load of customers whose waiting work changes by the second and moves
between pools. Claims are raised ahead of need for all customers in one write,
and lowered when work ends or when another pool waits. A write takes two round
trips to the store, so one about every 100 ms keeps up with the starts.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from fuchsiarill.contracts.ceilings import (
    PoolDemand,
    divide,
    excess,
    limited,
)
from fuchsiarill.graphs.claim_records import ClaimRecord, ClaimRow
from fuchsiarill.graphs.effects import ListClaims, WriteClaims
from fuchsiarill.graphs.model import GraphConfig
from fuchsiarill.graphs.pool_ceilings import PoolCeilings
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources, higher_of, lower_of

CALL_INTERVAL_MS: Final = 100
# A claim without use is kept for this time if no other pool waits, so that the
# next job of the customer need not wait for a write.
_KEPT_MS: Final = 2000
# While no other pool waits, a pool with work of a customer claims this part of
# the ceiling beyond its need, and again once half of it is used up. Without it,
# the first start of an urgent job waited for a write: 160 ms at the median
# instead of 60 ms (trial on a calm day).
_HEADROOM_PART: Final = 4
# While a customer holds claims, the demand of the other pools is read this
# often, and more often while it waits itself.
_LIST_INTERVAL_MS: Final = 500
_WAITING_LIST_INTERVAL_MS: Final = 200
# When a customer gets its first limit, nothing is claimed yet for its runs in
# other pools. Their owners have this time to get the configuration and claim.
_INTRODUCTION_MS: Final = 2000
# A change of the demand by less than this share of it is not written alone.
_DEMAND_CHANGE_SHARE: Final = 4


@dataclass(frozen=True, slots=True)
class CustomerNeed:
    """Use of a customer in the pool, and the demand of its waiting work.

    `unit` is what the next unit holds, `NO_RESOURCES` if none waits; the unit
    has waited since `since_ms`, a Unix time.
    """

    used: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES
    unit: Resources = NO_RESOURCES
    since_ms: int = 0


_NO_NEED: Final = CustomerNeed()


@dataclass(frozen=True, slots=True)
class PoolNeeds:
    """Needs of all customers of a pool, and the capacity of its workers."""

    customers: Mapping[CustomerId, CustomerNeed]
    capacity: Resources

    def of(self, customer: CustomerId) -> CustomerNeed:
        """Return the need of a customer."""
        return self.customers.get(customer, _NO_NEED)


def plan_claims(
    ceilings: PoolCeilings, config: GraphConfig, needs: PoolNeeds, now_ms: int
) -> ListClaims | WriteClaims | None:
    """Return the next call of the store, if one is due.

    The caller makes no plan while a call is pending.
    """
    if ceilings.needs_list:
        return _list_claims(ceilings, now_ms)
    record = _plan_record(ceilings, needs, now_ms)
    is_raise = _is_raise(ceilings, record)
    # A pool without a queue in the configuration must not be unknown to the
    # other pools, so it makes no claim before it has a record.
    is_known = ceilings.ledger.pool in config.pools or bool(
        ceilings.ledger.own_revision
    )
    if is_raise and is_known:
        return _write_claims(ceilings, config, record, is_raise, now_ms)
    if _is_list_due(ceilings, config, record, now_ms):
        return _list_claims(ceilings, now_ms)
    if not is_raise and _is_worth_a_write(ceilings, record):
        return _write_claims(ceilings, config, record, is_raise, now_ms)
    return None


def _is_list_due(
    ceilings: PoolCeilings,
    config: GraphConfig,
    record: ClaimRecord,
    now_ms: int,
) -> bool:
    """Tell whether to look for demand and claims of the other pools."""
    if now_ms < ceilings.next_list_ms or not record.rows:
        return False
    ledger = ceilings.ledger
    return bool({*config.pools, *ledger.others} - {ledger.pool})


def _list_claims(ceilings: PoolCeilings, now_ms: int) -> ListClaims:
    ceilings.is_call_pending = True
    interval_ms = _LIST_INTERVAL_MS
    if ceilings.waits:
        interval_ms = _WAITING_LIST_INTERVAL_MS
    ceilings.next_list_ms = now_ms + interval_ms
    return ListClaims()


def _write_claims(
    ceilings: PoolCeilings,
    config: GraphConfig,
    record: ClaimRecord,
    is_raise: bool,
    now_ms: int,
) -> WriteClaims:
    ceilings.is_call_pending = True
    ceilings.next_call_ms = now_ms + CALL_INTERVAL_MS
    ledger = ceilings.ledger
    ledger.send_write(record)
    ceilings.forget_limits()
    if not is_raise:
        return WriteClaims(record, ledger.own_revision)
    pools = {*config.pools, *ledger.others} - {ledger.pool}
    return WriteClaims(
        record,
        ledger.own_revision,
        tuple((pool, ledger.revision_of(pool)) for pool in sorted(pools)),
        config.revision,
    )


def _plan_record(
    ceilings: PoolCeilings, needs: PoolNeeds, now_ms: int
) -> ClaimRecord:
    rows: dict[CustomerId, ClaimRow] = {}
    for customer, ceiling in ceilings.known.items():
        need = needs.of(customer)
        row = _plan_row(ceilings, customer, need, needs.capacity, now_ms)
        if row.claimed != NO_RESOURCES or row.wanted != NO_RESOURCES:
            rows[customer] = row
        else:
            ceilings.excess_since_ms.pop(customer, None)
        if ceiling == NO_RESOURCES:
            rows.pop(customer, None)
    ceilings.forget_limits()
    return ClaimRecord(needs.capacity, rows)


def _plan_row(
    ceilings: PoolCeilings,
    customer: CustomerId,
    need: CustomerNeed,
    capacity: Resources,
    now_ms: int,
) -> ClaimRow:
    ceiling = ceilings.known[customer]
    used = limited(need.used, ceiling)
    waiting = limited(need.waiting, ceiling)
    target = lower_of(used + waiting, higher_of(ceiling, used))
    goal = _apply_share(ceilings, customer, used, target)
    claimed = limited(ceilings.ledger.counted(customer), ceiling)
    if _is_introduced(ceilings, customer, now_ms):
        goal = used
    elif customer not in ceilings.shares:
        goal = _with_headroom(target, claimed, ceiling)
    # The use is claimed in any case: it may come from a time without a ceiling.
    room = higher_of(ceilings.room_beside_others(customer), used)
    claimed = higher_of(claimed, lower_of(goal, room))
    claimed = _lower(ceilings, customer, claimed, goal, now_ms)
    wanted = NO_RESOURCES
    if need.unit != NO_RESOURCES:
        wanted = excess(target, claimed)
    return ClaimRow(
        ceiling,
        claimed,
        wanted,
        NO_RESOURCES
        if wanted == NO_RESOURCES
        else used + limited(need.unit, ceiling),
        0 if wanted == NO_RESOURCES else need.since_ms,
    )


def _with_headroom(
    target: Resources, claimed: Resources, ceiling: Resources
) -> Resources:
    """Return what to claim for the target if no other pool waits."""
    if target == NO_RESOURCES:
        return target
    headroom = Resources(
        *(part // _HEADROOM_PART for part in ceiling.as_tuple())
    )
    least = target + Resources(*(part // 2 for part in headroom.as_tuple()))
    full = lower_of(target + headroom, higher_of(ceiling, target))
    if lower_of(least, full).fits_in(claimed):
        return higher_of(target, lower_of(claimed, full))
    return full


def _is_introduced(
    ceilings: PoolCeilings, customer: CustomerId, now_ms: int
) -> bool:
    """Tell whether the other pools may still have to claim their use."""
    if customer not in ceilings.introduced:
        return False
    until_ms = ceilings.introduced[customer]
    if until_ms is None:
        until_ms = now_ms + _INTRODUCTION_MS
        ceilings.introduced[customer] = until_ms
    if now_ms < until_ms:
        return True
    ceilings.introduced.pop(customer)
    return False


def _apply_share(
    ceilings: PoolCeilings,
    customer: CustomerId,
    used: Resources,
    target: Resources,
) -> Resources:
    """Return what to claim; the share of the pool if another one waits.

    Shares follow from the records alone, so that all owners find the same ones
    and their sum stays within the ceiling.
    """
    ceilings.shares.pop(customer, None)
    ledger = ceilings.ledger
    records = {pool: item.record for pool, item in ledger.others.items()}
    if not any(
        record.demand(customer).is_waiting for record in records.values()
    ):
        return target
    records[ledger.pool] = ledger.own
    pools = sorted(records)
    demands = [records[pool].demand(customer) for pool in pools]
    shares = divide(ceilings.known[customer], demands)
    share = shares[pools.index(ledger.pool)]
    ceilings.shares[customer] = share
    return lower_of(target, higher_of(share, used))


def _lower(
    ceilings: PoolCeilings,
    customer: CustomerId,
    claimed: Resources,
    goal: Resources,
    now_ms: int,
) -> Resources:
    """Return the claim after a reduction to what is needed, if it is due."""
    if claimed.fits_in(goal):
        ceilings.excess_since_ms.pop(customer, None)
        return claimed
    since_ms = ceilings.excess_since_ms.setdefault(customer, now_ms)
    if customer in ceilings.shares or now_ms - since_ms >= _KEPT_MS:
        ceilings.excess_since_ms.pop(customer, None)
        return lower_of(claimed, goal)
    return claimed


def _is_raise(ceilings: PoolCeilings, record: ClaimRecord) -> bool:
    return any(
        not row.claimed.fits_in(ceilings.ledger.counted(customer))
        for customer, row in record.rows.items()
    )


def _is_worth_a_write(ceilings: PoolCeilings, record: ClaimRecord) -> bool:
    ledger = ceilings.ledger
    if ledger.unresolved:
        # Settles what the record holds.
        return True
    customers = {*ledger.own.rows, *record.rows}
    for customer in customers:
        if record.claimed(customer) != ledger.own.claimed(customer):
            return True
        # The next owner reads the ceiling here if the contract is removed.
        if record.ceiling(customer) != ledger.own.ceiling(customer):
            return True
        if _has_demand_changed(
            ledger.own.demand(customer), record.demand(customer)
        ):
            return True
    return False


def _has_demand_changed(old: PoolDemand, new: PoolDemand) -> bool:
    if old.is_waiting != new.is_waiting:
        return True
    if old.needed != new.needed or old.waiting_since_ms != new.waiting_since_ms:
        return True
    rows = zip(old.wanted.as_tuple(), new.wanted.as_tuple(), strict=True)
    return any(
        abs(one - other) * _DEMAND_CHANGE_SHARE > max(one, other)
        for one, other in rows
    )
