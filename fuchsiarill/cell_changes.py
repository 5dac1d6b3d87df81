"""What customers notice when one cell configuration follows another.

Digests of tokens appear in no text.
"""

from collections.abc import Iterator
from typing import Any, Final

from fuchsiarill.cell_config import CellConfig

_TOKEN_FIELD: Final = 'token_sha256'
_TOKEN_TEXT: Final = 'has a new token; calls with the old one are refused'


def changes_between(before: CellConfig, after: CellConfig) -> tuple[str, ...]:
    """Return one line for each change of a contract or a policy."""
    return (
        *_contract_changes(before, after),
        *_field_changes(
            'policies',
            before.policies.model_dump(),
            after.policies.model_dump(),
        ),
    )


def _contract_changes(before: CellConfig, after: CellConfig) -> Iterator[str]:
    for contract in before.contracts:
        name = f'contracts.{contract.customer}'
        successor = after.contract_of(contract.customer)
        if successor is None:
            yield f'{name}: removed; its calls are refused'
            continue
        if contract.token_sha256 != successor.token_sha256:
            yield f'{name}: {_TOKEN_TEXT}'
        yield from _field_changes(
            name, contract.model_dump(), successor.model_dump()
        )
    for added in after.contracts:
        if before.contract_of(added.customer) is None:
            yield f'contracts.{added.customer}: added'


def _field_changes(
    name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[str]:
    for field, old in before.items():
        new = after[field]
        if field == _TOKEN_FIELD or old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _field_changes(f'{name}.{field}', old, new)
            continue
        yield f'{name}.{field}: {old} becomes {new}'
