"""Ordering policies: which customer's job is looked at next.

A policy ranks the customers that have jobs ready to be placed; the lowest
rank comes first. Ranks do not depend on the present time, so they only change
with what a customer holds and waits for.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Protocol

from fuchsiarill.core.accounts import Account, Group, Rank
from fuchsiarill.core.quotas import (
    is_guaranteed,
    is_owed_urgently,
    share_of,
)
from fuchsiarill.core.sizes import size_at_once
from fuchsiarill.core.state import CoreState
from fuchsiarill.registry import Registry

# A customer without a start for this time counts as holding nothing against
# one that was just served and holds the whole cell.
_AGEING_MS: Final = 300_000
_AGEING_WEIGHT_MIN: Final = 0.1

URGENT_RANK: Final = 0
GUARANTEED_RANK: Final = 1
BORROWING_RANK: Final = 2


class Ordering(Protocol):
    """How customers, and the groups of one customer, are ordered.

    With `strict`, nothing overtakes a job that waits for room. `preemptions`
    names the preemption policy for each first part of a rank that is owed
    room.
    """

    strict: bool
    preemptions: Mapping[int, str]

    def group(self, account: Account) -> Group:
        """Return the ready group whose first job comes first."""

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        """Return the rank of a customer whose next group is known."""


ORDERINGS: Final[Registry[str, type[Ordering]]] = Registry('orderings')


def _oldest(group: Group) -> int:
    return group.head_order()


def _urgent_then_oldest(group: Group) -> tuple[bool, int]:
    return (not group.urgent, group.head_order())


@ORDERINGS.register('fair')
class _Fair:
    """Weighted dominant share, urgent jobs first within what is owed."""

    strict: bool = False
    preemptions: Mapping[int, str] = MappingProxyType(
        {URGENT_RANK: 'urgent', GUARANTEED_RANK: 'guaranteed'},
    )

    def group(self, account: Account) -> Group:
        if len(account.ready) == 1:
            return next(iter(account.ready))
        return min(account.ready, key=_urgent_then_oldest)

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        weight = max(state.config.policies.waiting_weight, _AGEING_WEIGHT_MIN)
        head = state.jobs[group.head()]
        since_ms = max(account.served_at_ms, head.accepted_at_ms)
        ageing = since_ms * weight / _AGEING_MS
        return (
            _class_of(state, account, group),
            share_of(state, account) + ageing,
        )


@ORDERINGS.register('first_come')
class _FirstCome:
    """The order of acceptance, whoever the customer is."""

    strict: bool = True
    preemptions: Mapping[int, str] = MappingProxyType({})

    def group(self, account: Account) -> Group:
        return min(account.ready, key=_oldest)

    def rank(self, state: CoreState, account: Account, group: Group) -> Rank:
        return (0, group.head_order())


def ordering_of(state: CoreState) -> Ordering:
    """Return the ordering that the configuration names."""
    return ORDERINGS.lookup(state.config.policies.ordering)()


def _class_of(state: CoreState, account: Account, group: Group) -> int:
    size = size_at_once(state, group.spec)
    if group.urgent and is_owed_urgently(state, account, size):
        return URGENT_RANK
    if is_guaranteed(account, size):
        return GUARANTEED_RANK
    return BORROWING_RANK
