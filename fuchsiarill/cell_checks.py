"""Checks of a cell configuration that types of single fields cannot express.

They run on the regions, contracts and policies whose own fields are valid, so
that operators see these problems together with those of single fields.
"""

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

from fuchsiarill import texts
from fuchsiarill.registry import Registry
from fuchsiarill.yaml_document import FieldPath, Problem, YamlDocument

if TYPE_CHECKING:
    from fuchsiarill.cell_config import Amounts, Contract, Policies, Region

_AMOUNT_FIELDS: Final = (
    'processors_milli',
    'memory_mb',
    'accelerators_count',
    'slots_count',
)
# Each exchange, a request to a worker, renews the leases of the tasks there. A
# lease of three intervals lasts through two lost exchanges.
_EXCHANGES_PER_LEASE_MIN_COUNT: Final = 3


@dataclass(frozen=True, slots=True)
class ValidParts:
    """The valid parts of a document.

    `regions` and `contracts` map positions in the lists of the document to
    their valid items. `operator_token_sha256` is the content of the field if it
    is a string; whether it is a digest has not been checked.
    """

    document: YamlDocument
    regions: 'dict[int, Region]'
    contracts: 'dict[int, Contract]'
    policies: 'Policies | None'
    operator_token_sha256: str | None


Check = Callable[[ValidParts], Iterator[Problem]]

CHECKS: Final[Registry[str, Check]] = Registry('configuration checks')


def cross_field_problems(parts: ValidParts) -> Iterator[Problem]:
    """Run all registered checks; yields the problems that they find."""
    for name in CHECKS:
        yield from CHECKS.lookup(name)(parts)


@CHECKS.register('duplicates')
def _check_duplicates(parts: ValidParts) -> Iterator[Problem]:
    yield from _duplicate_name_problems(
        parts.document,
        {
            ('regions', position, 'name'): region.name
            for position, region in parts.regions.items()
        },
    )
    yield from _duplicate_name_problems(
        parts.document,
        {
            ('contracts', position, 'customer'): contract.customer
            for position, contract in parts.contracts.items()
        },
    )


@CHECKS.register('tokens')
def _check_tokens(parts: ValidParts) -> Iterator[Problem]:
    """Report shared tokens, which would not identify the sender."""
    holders = {parts.operator_token_sha256: 'the operators'}
    for position, contract in sorted(parts.contracts.items()):
        holder = holders.setdefault(contract.token_sha256, contract.customer)
        if holder != contract.customer:
            yield parts.document.problem(
                ('contracts', position, 'token_sha256'),
                texts.SAME_TOKEN.format(other=holder),
            )


@CHECKS.register('references')
def _check_references(parts: ValidParts) -> Iterator[Problem]:
    names = {region.name for region in parts.regions.values()}
    for position, contract in parts.contracts.items():
        if contract.region not in names:
            yield parts.document.problem(
                ('contracts', position, 'region'),
                texts.UNKNOWN_REGION.format(region=contract.region),
            )


@CHECKS.register('quotas')
def _check_quotas(parts: ValidParts) -> Iterator[Problem]:
    for position, contract in parts.contracts.items():
        for field in _AMOUNT_FIELDS:
            guaranteed = getattr(contract.guaranteed, field)
            quota = getattr(contract.quota, field)
            if guaranteed > quota:
                yield parts.document.problem(
                    ('contracts', position, 'guaranteed', field),
                    texts.GUARANTEED_ABOVE_QUOTA.format(
                        guaranteed=guaranteed,
                        quota=quota,
                    ),
                )
        if not contract.quota.slots_count:
            yield parts.document.problem(
                ('contracts', position, 'quota', 'slots_count'),
                texts.QUOTA_WITHOUT_SLOTS,
            )


@CHECKS.register('sums')
def _check_guarantee_sums(parts: ValidParts) -> Iterator[Problem]:
    for position, region in parts.regions.items():
        if region.capacity is None:
            continue
        guarantees = [
            contract.guaranteed
            for contract in parts.contracts.values()
            if contract.region == region.name
        ]
        for field in _AMOUNT_FIELDS:
            total = _sum_of(guarantees, field)
            capacity = getattr(region.capacity, field)
            if total > capacity:
                yield parts.document.problem(
                    ('regions', position, 'capacity', field),
                    texts.GUARANTEES_ABOVE_CAPACITY.format(
                        total=total,
                        capacity=capacity,
                    ),
                )


@CHECKS.register('policies')
def _check_policy_names(parts: ValidParts) -> Iterator[Problem]:
    names_by_path: dict[FieldPath, tuple[str, str]] = {
        ('contracts', position, 'placement'): ('placement', contract.placement)
        for position, contract in parts.contracts.items()
    }
    if parts.policies is not None:
        names_by_path['policies', 'ordering'] = (
            'ordering',
            parts.policies.ordering,
        )
    for path, (kind, name) in names_by_path.items():
        registered_names = _registered_names(kind)
        if registered_names is None or name in registered_names:
            continue
        yield parts.document.problem(
            path,
            texts.UNKNOWN_POLICY.format(
                name=name, known=', '.join(registered_names)
            ),
        )


@CHECKS.register('leases')
def _check_leases(parts: ValidParts) -> Iterator[Problem]:
    policies = parts.policies
    if policies is None:
        return
    shortest_ms = _EXCHANGES_PER_LEASE_MIN_COUNT * policies.exchange_interval_ms
    if policies.task_lease_ms < shortest_ms:
        yield parts.document.problem(
            ('policies', 'task_lease_ms'),
            texts.LEASE_TOO_SHORT.format(
                lease_ms=policies.task_lease_ms,
                exchange_ms=policies.exchange_interval_ms,
            ),
        )


def _duplicate_name_problems(
    document: YamlDocument,
    names_by_path: dict[FieldPath, str],
) -> Iterator[Problem]:
    first_paths: dict[str, FieldPath] = {}
    for path, name in names_by_path.items():
        first_path = first_paths.setdefault(name, path)
        if first_path == path:
            continue
        line = document.problem(first_path, '').line
        yield document.problem(
            path,
            texts.DUPLICATE_NAME.format(name=name, line=line),
        )


def _sum_of(amounts: 'list[Amounts]', field: str) -> int:
    return sum(getattr(amount, field) for amount in amounts)


# The modules of the policies are imported when the check runs, to avoid an
# import cycle: they import the configuration.
_POLICY_REGISTRIES: Final = {
    'placement': ('fuchsiarill.core.placement', 'PLACEMENTS'),
    'ordering': ('fuchsiarill.core.ordering', 'ORDERINGS'),
}


def _registered_names(kind: str) -> list[str] | None:
    """Return the names of a kind of policy.

    Returns `None` if its module or registry does not exist; a name of this kind
    is then not checked.
    """
    module_name, attribute = _POLICY_REGISTRIES[kind]
    try:
        module = import_module(module_name)
    except ModuleNotFoundError:
        return None
    registry: Registry[Hashable, Any] | None
    registry = getattr(module, attribute, None)
    return None if registry is None else [str(name) for name in registry]
