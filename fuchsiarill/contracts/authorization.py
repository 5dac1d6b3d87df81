"""Decides whose request it is, by the API key that it carries.

Source: the `Bearer` scheme of RFC 6750.
"""

from dataclasses import dataclass
from typing import Final

from fuchsiarill.contracts.contract import CustomerContracts
from fuchsiarill.ids import CustomerId

_SCHEME: Final = 'bearer'


@dataclass(frozen=True, slots=True)
class Authorization:
    """Whether a request may proceed, and for which customer if one is known."""

    is_granted: bool
    customer: CustomerId | None = None


def authorize(
    contracts: CustomerContracts, header: str | None, *, is_public: bool
) -> Authorization:
    """Authorize a request with the given `Authorization` header.

    Without contracts, and on a public queue, no key is needed; a known key
    names the customer all the same.
    """
    if not contracts:
        return Authorization(is_granted=True)
    scheme, _, key = (header or '').partition(' ')
    customer: CustomerId | None = None
    if scheme.lower() == _SCHEME:
        customer = contracts.customer_of_key(key.strip())
    return Authorization(is_public or customer is not None, customer)
