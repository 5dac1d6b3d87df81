"""Shows operators which customers wait for their ceilings."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.ceiling_limits import used_of
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import Resources

_REPORT_INTERVAL_MS: Final = 3000
# Metrics are scraped at longer intervals.
_OBSERVATION_INTERVAL_MS: Final = 1000
# Most waits for a ceiling end with the next write of the claims.
_REPORTED_AFTER_MS: Final = 1000


class CustomerUse(NamedTuple):
    """Use, claim and ceiling of a customer in one pool."""

    customer: CustomerId
    used: Resources
    claimed: Resources
    ceiling: Resources


def customer_uses(state: PoolState) -> Iterator[CustomerUse]:
    """Return the use of each customer with a ceiling, by name."""
    ceilings = state.ceilings
    for customer, ceiling in sorted(ceilings.known.items()):
        yield CustomerUse(
            customer,
            used_of(state, customer),
            ceilings.ledger.counted(customer),
            ceiling,
        )


def observe_customers(
    state: PoolState, metrics: GraphMetrics, now_ms: int
) -> None:
    """Set the metrics of the customers, once an interval."""
    if now_ms < state.ceilings.next_observation_ms:
        return
    state.ceilings.next_observation_ms = now_ms + _OBSERVATION_INTERVAL_MS
    for row in customer_uses(state):
        amounts = {
            'used': row.used,
            'claimed': row.claimed,
            'ceiling': row.ceiling,
        }
        metrics.set_customer(state.pool, row.customer, amounts)


def report_waits(state: PoolState, now_ms: int) -> None:
    """Log the customers that wait for their ceilings, once an interval."""
    ceilings = state.ceilings
    if not ceilings.waits or now_ms < ceilings.next_report_ms:
        return
    for customer, wait in ceilings.waits.items():
        ceiling = ceilings.known.get(customer)
        if ceiling is None or now_ms - wait.since_ms < _REPORTED_AFTER_MS:
            continue
        ceilings.next_report_ms = now_ms + _REPORT_INTERVAL_MS
        events.emit(
            graph_events.CUSTOMER_AT_CEILING,
            customer=customer,
            pool=state.pool,
            job=wait.step.job,
            step=f'{wait.step.occurrence}.{wait.step.step}',
            waited_ms=now_ms - wait.since_ms,
            charge=wait.charge.as_tuple(),
            used=used_of(state, customer).as_tuple(),
            claimed=ceilings.ledger.counted(customer).as_tuple(),
            others=ceilings.ledger.claimed_by_others(customer).as_tuple(),
            ceiling=ceiling.as_tuple(),
            epoch=state.epoch,
        )


def dump_ceilings(state: PoolState) -> dict[str, Any]:
    """Return the claims of the pool as plain values."""
    ceilings = state.ceilings
    ledger = ceilings.ledger
    return {
        'revision': ledger.own_revision,
        'unresolved_count': len(ledger.unresolved),
        'is_call_pending': ceilings.is_call_pending,
        'others': {pool: item.revision for pool, item in ledger.others.items()},
        'customers': [
            {
                'customer': row.customer,
                'used': row.used.as_tuple(),
                'claimed': row.claimed.as_tuple(),
                'by_others': ledger.claimed_by_others(row.customer).as_tuple(),
                'ceiling': row.ceiling.as_tuple(),
                'is_waiting': row.customer in ceilings.waits,
            }
            for row in customer_uses(state)
        ],
    }
