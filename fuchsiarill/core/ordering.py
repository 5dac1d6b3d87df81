"""Ordering policies: which customer's job is tried next.

A policy ranks the customers that have ready or unplaceable groups; the lowest
rank comes first. Ranks do not depend on the current time, so they are computed
again only when the reserved resources or the waiting groups of a customer
change, and for all customers when the configuration or the capacities do.
"""

from collections.abc import Collection, Mapping
from operator import attrgetter
from types import MappingProxyType
from typing import Final, Protocol

from fuchsiarill.core.accounts import Account, Group, Rank
from fuchsiarill.core.quotas import (
    is_guaranteed,
    is_owed_urgently,
)
from fuchsiarill.core.sizes import group_size_at_once
from fuchsiarill.core.state import CoreState
from fuchsiarill.registry import Registry

# After this time without a start, a customer that reserves all capacity of the
# partition ranks equal to a customer that reserves nothing and has just had a
# start, if `waiting_weight` and the weight of the former are 1.
_AGEING_MS: Final = 300_000
# Keeps ageing above zero, whatever weight is configured.
_AGEING_WEIGHT_MIN: Final = 0.1

URGENT_RANK: Final = 0
GUARANTEED_RANK: Final = 1
BORROWING_RANK: Final = 2


class Ordering(Protocol):
    """Policy that orders customers, and the groups of one customer.

    With `strict`, no job overtakes a job that waits for capacity.
    `preemptions` maps the first part of a rank to the preemption policy for
    groups of that rank; ranks that are not in it preempt no attempts.
    """

    strict: bool
    preemptions: Mapping[int, str]

    def first_group(self, groups: Collection[Group]) -> Group:
        """Return the group of a customer that comes first."""

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        """Return the rank of a customer whose first group is `group`."""


ORDERINGS: Final[Registry[str, type[Ordering]]] = Registry('orderings')


_oldest: Final = attrgetter('first_order')
_urgent_then_oldest: Final = attrgetter('urgent_then_order')


@ORDERINGS.register('fair')
class _Fair:
    """Urgent, guaranteed and other jobs, each by share and waiting time.

    The share is the weighted dominant share of the customer.
    Urgent jobs come first while they are within the guarantee or the weighted
    share of their customer.
    """

    strict: bool = False
    preemptions: Mapping[int, str] = MappingProxyType(
        {URGENT_RANK: 'urgent', GUARANTEED_RANK: 'guaranteed'},
    )

    def first_group(self, groups: Collection[Group]) -> Group:
        return min(groups, key=_urgent_then_oldest)

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        since_ms = max(account.served_at_ms, group.first_at_ms)
        return (
            _priority_class(state, account, group),
            account.share + since_ms * state.ageing_per_ms,
        )


@ORDERINGS.register('first_come')
class _FirstCome:
    """The order of acceptance, across all customers."""

    strict: bool = True
    preemptions: Mapping[int, str] = MappingProxyType({})

    def first_group(self, groups: Collection[Group]) -> Group:
        return min(groups, key=_oldest)

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        return (0, group.first_order)


def ordering_of(state: CoreState) -> Ordering:
    """Return the ordering policy that the configuration names."""
    return ORDERINGS.lookup(state.config.policies.ordering)()


def apply_ageing(state: CoreState) -> None:
    """Apply the configured weight of waiting time."""
    weight = max(state.config.policies.waiting_weight, _AGEING_WEIGHT_MIN)
    state.ageing_per_ms = weight / _AGEING_MS


def _priority_class(state: CoreState, account: Account, group: Group) -> int:
    if not group.urgent and not account.guaranteed.slots_count:
        return BORROWING_RANK
    size = group_size_at_once(state, group)
    if group.urgent and is_owed_urgently(state, account, size):
        return URGENT_RANK
    if is_guaranteed(account, size):
        return GUARANTEED_RANK
    return BORROWING_RANK
