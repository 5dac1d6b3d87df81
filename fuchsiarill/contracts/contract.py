"""Contracts of customers: who may ask, and what each may hold and is owed.

A customer holds one contract. Its API keys are kept as digests, so that no key
appears in a log, a dump or a metric.
"""

import hashlib
import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NewType

from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources

# Hexadecimal SHA-256 digest of an API key.
KeyDigest = NewType('KeyDigest', str)


def digest_key(key: str) -> KeyDigest:
    """Return the digest of an API key."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


@dataclass(frozen=True, slots=True)
class CustomerContract:
    """Entitlements and limits of one customer.

    `weight` is the share that the customer is owed when all is full, relative
    to the weights of the others, and the number of jobs a second that it may
    submit at the same time. A component of `ceiling` that is 0 has no limit.
    """

    customer: CustomerId
    key_digests: tuple[KeyDigest, ...] = ()
    weight: float = 1.0
    ceiling: Resources = NO_RESOURCES

    @property
    def has_ceiling(self) -> bool:
        """Return whether any resource of the customer is limited."""
        return self.ceiling != NO_RESOURCES

    def exceeds_ceiling(self, wanted: Resources) -> bool:
        """Tell whether an amount is above the ceiling."""
        rows = zip(wanted.as_tuple(), self.ceiling.as_tuple(), strict=True)
        return any(limit and amount > limit for amount, limit in rows)


class CustomerContracts:
    """The contracts in force; empty where the configuration has none."""

    def __init__(self, contracts: Iterable[CustomerContract] = ()) -> None:
        """Index the contracts by customer."""
        self._by_customer = {
            contract.customer: contract for contract in contracts
        }

    def __bool__(self) -> bool:
        """Return whether any contract is in force."""
        return bool(self._by_customer)

    def __eq__(self, other: object) -> bool:
        """Compare the contracts, since configurations are compared."""
        if not isinstance(other, CustomerContracts):
            return NotImplemented
        return self._by_customer == other._by_customer

    def __hash__(self) -> int:
        """Return a hash of the customers, which equal contracts share."""
        return hash(frozenset(self._by_customer))

    def __iter__(self) -> Iterator[CustomerContract]:
        """Iterate over the contracts."""
        return iter(self._by_customer.values())

    def find(self, customer: CustomerId) -> CustomerContract | None:
        """Return the contract of a customer, if there is one."""
        return self._by_customer.get(customer)

    def customer_of_key(self, key: str) -> CustomerId | None:
        """Return the holder of an API key, `None` for an unknown key.

        All digests are compared, each in constant time, so that the time of an
        answer does not reveal whether and where a digest matches. An empty key
        is unknown: a call without a key would carry it.
        """
        if not key:
            return None
        received = digest_key(key)
        holder: CustomerId | None = None
        for contract in self:
            for digest in contract.key_digests:
                if hmac.compare_digest(received, digest):
                    holder = contract.customer
        return holder
