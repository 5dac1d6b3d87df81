"""JSON encoding of the claims of pools on the ceilings of customers."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from fuchsiarill.contracts.ceilings import PoolDemand
from fuchsiarill.graphs.records import encode_json
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """What the owner of a pool may have allocated for one customer.

    See `PoolDemand` for the other fields. The ceiling is the one that the owner
    knew: it applies to the remaining work of a customer that is no longer in
    the configuration. Times are Unix times.
    """

    ceiling: Resources
    claimed: Resources = NO_RESOURCES
    wanted: Resources = NO_RESOURCES
    needed: Resources = NO_RESOURCES
    waiting_since_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The claims of one pool, and the capacity of its workers."""

    capacity: Resources = NO_RESOURCES
    rows: Mapping[CustomerId, ClaimRow] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def claimed(self, customer: CustomerId) -> Resources:
        """Return what is claimed for a customer."""
        row = self.rows.get(customer)
        return NO_RESOURCES if row is None else row.claimed

    def ceiling(self, customer: CustomerId) -> Resources | None:
        """Return the recorded ceiling of a customer, `None` without a row."""
        row = self.rows.get(customer)
        return None if row is None else row.ceiling

    def demand(self, customer: CustomerId) -> PoolDemand:
        """Return the claim and the demand for a customer."""
        row = self.rows.get(customer)
        if row is None:
            return PoolDemand(weight=self.capacity)
        return PoolDemand(
            row.claimed,
            row.wanted,
            row.needed,
            row.waiting_since_ms,
            self.capacity,
        )


NO_CLAIMS: Final = ClaimRecord()


def encode_claims(record: ClaimRecord) -> bytes:
    """Return the JSON form of the claims of a pool."""
    return encode_json(
        {
            'capacity': record.capacity.as_tuple(),
            'customers': {
                customer: _encode_row(row)
                for customer, row in record.rows.items()
            },
        },
    )


def decode_claims(content: bytes) -> ClaimRecord:
    """Decode the claims of a pool; raises `ValueError` for a damaged record."""
    try:
        return _decode_document(json.loads(content))
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f'not a record of claims: {error!r}') from error


def _decode_document(document: Any) -> ClaimRecord:
    return ClaimRecord(
        Resources(*document['capacity']),
        {
            CustomerId(customer): ClaimRow(
                Resources(*row['ceiling']),
                Resources(*row['claimed']),
                Resources(*row.get('wanted', ())),
                Resources(*row.get('needed', ())),
                row.get('since_ms', 0),
            )
            for customer, row in document['customers'].items()
        },
    )


def _encode_row(row: ClaimRow) -> dict[str, Any]:
    document: dict[str, Any] = {
        'ceiling': row.ceiling.as_tuple(),
        'claimed': row.claimed.as_tuple(),
    }
    if row.wanted != NO_RESOURCES:
        document['wanted'] = row.wanted.as_tuple()
        document['needed'] = row.needed.as_tuple()
        document['since_ms'] = row.waiting_since_ms
    return document
