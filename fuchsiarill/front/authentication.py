"""Identification of the sender of a request by its bearer token.

The configuration holds only digests of the tokens. The digest of a received
token is compared with all of them, each in constant time, so that the response
time does not reveal whether and where digests match.
"""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.ids import CustomerId

_SCHEME: Final = 'bearer'


@dataclass(frozen=True, slots=True)
class Identity:
    """A customer, or an operator when `customer` is `None`."""

    customer: CustomerId | None


OPERATOR: Final = Identity(None)


def identify(config: CellConfig, authorization: str) -> Identity | None:
    """Return the holder of the token in an `Authorization` header.

    Returns `None` for an unknown token or a scheme other than `Bearer`.
    """
    scheme, _, token = authorization.partition(' ')
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    identity = None
    for contract in config.contracts:
        if hmac.compare_digest(digest, contract.token_sha256):
            identity = Identity(contract.customer)
    if hmac.compare_digest(digest, config.operator_token_sha256):
        identity = OPERATOR
    return identity if scheme.lower() == _SCHEME else None
