"""Configuration of the cell: contracts, policies and limits.

Operators change the cell only through this document. `parse_config` reports
every problem at once, each with its line and field.
"""

import hashlib
import json
from collections.abc import Iterable
from typing import Annotated, Any, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.cell_checks import ValidParts, cross_field_problems
from fuchsiarill.ids import CustomerId, RegionId, WorkerId
from fuchsiarill.refusal import Refusal
from fuchsiarill.resources import Resources
from fuchsiarill.yaml_document import (
    Problem,
    YamlDocument,
    build_strictly,
    read_yaml,
)

# Far above the planned size of a region; sums still fit into 64 bits.
_AMOUNT_MAX: Final = 1_000_000_000_000
_DURATION_MAX_MS: Final = 86_400_000
_PARTITIONS_MAX_COUNT: Final = 1_000
_TITLE_MAX_LENGTH: Final = 200

_Count = Annotated[int, Field(ge=0, le=_AMOUNT_MAX)]
_PositiveInt = Annotated[int, Field(gt=0, le=_AMOUNT_MAX)]
_DurationMs = Annotated[int, Field(gt=0, le=_DURATION_MAX_MS)]
_PartitionsCount = Annotated[int, Field(gt=0, le=_PARTITIONS_MAX_COUNT)]
# Names are parts of store keys, job ids and metric labels.
_NAME: Final = Field(pattern='^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$')
_TITLE: Final = Field(min_length=1, max_length=_TITLE_MAX_LENGTH)
_Customer = Annotated[CustomerId, _NAME]
_Region = Annotated[RegionId, _NAME]
_Worker = Annotated[WorkerId, _TITLE]
_Sha256 = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
_Weight = Annotated[float, Field(gt=0, le=100)]
_Fraction = Annotated[float, Field(ge=0, le=1)]

# The store accepts values up to 1 MB, including the JSON around the text.
MAX_CONFIG_BYTES: Final = 800_000

_Part = TypeVar('_Part', bound=BaseModel)


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Amounts(_Model):
    """Amounts of resources in a contract or a region."""

    processors_milli: _Count
    memory_mb: _Count
    accelerators_count: _Count = 0
    slots_count: _Count

    def as_resources(self) -> Resources:
        """Return the amounts as the vector that scheduling decisions use."""
        return Resources(
            self.processors_milli,
            self.memory_mb,
            self.accelerators_count,
            self.slots_count,
        )


class Contract(_Model):
    """Entitlements and limits of one customer.

    `guaranteed` stays available to the customer when the cell is full. Between
    `guaranteed` and `quota` the customer borrows free capacity, in proportion
    to `weight`; a customer within its own guarantee may reclaim that capacity.
    `token_sha256` is the hex digest of the bearer token of the customer.
    """

    customer: _Customer
    region: _Region
    quota: Amounts
    guaranteed: Amounts
    weight: _Weight = 1
    submit_rate_per_s: _PositiveInt
    submit_burst_count: _PositiveInt
    waiting_jobs_max_count: _PositiveInt = 10_000
    retry_budget_ratio: _Fraction = 0.1
    placement: str = 'spread'
    volatile_accept: bool = False
    token_sha256: _Sha256


class Policies(_Model):
    """The ordering policy by its registered name, and scheduling parameters.

    `waiting_weight` is the weight of waiting time in the order of customers.
    """

    ordering: str = 'fair'
    waiting_weight: _Fraction = 0.5
    learn_sizes: bool = True
    task_lease_ms: _DurationMs = 15_000
    exchange_interval_ms: _DurationMs = 1_000
    probation_failures_count: _PositiveInt = 3


class Region(_Model):
    """A region and the number of partitions its racks are divided into.

    If `capacity` is declared, the guarantees of its contracts must fit into it.
    """

    name: _Region
    partitions_count: _PartitionsCount = 1
    capacity: Amounts | None = None


class CellConfig(_Model):
    """The whole document of one generation."""

    cell: Annotated[str, _TITLE]
    regions: Annotated[tuple[Region, ...], Field(min_length=1)]
    contracts: tuple[Contract, ...]
    policies: Policies = Policies()
    draining_workers: tuple[_Worker, ...] = ()
    operator_token_sha256: _Sha256

    def contract_of(self, customer: CustomerId) -> Contract | None:
        """Return the contract of a customer, if it has one."""
        for contract in self.contracts:
            if contract.customer == customer:
                return contract
        return None


def parse_config(text: str) -> Result[CellConfig, tuple[Refusal, ...]]:
    """Read a configuration document; fails with every problem found."""
    match read_yaml(text, MAX_CONFIG_BYTES):
        case Success(document):
            return _check_document(document)
        case Failure(problems):
            return Failure(_refusals(problems))
    raise AssertionError(texts.NO_RESULT)


def partition_change_problems(
    text: str,
    old_config: CellConfig,
    new_config: CellConfig,
) -> tuple[Refusal, ...]:
    """Return the partition changes that would leave jobs without a partition.

    `text` is the document of `new_config` and gives the line of each field.
    """
    document = read_yaml(text, MAX_CONFIG_BYTES).unwrap()
    positions = {
        region.name: position
        for position, region in enumerate(new_config.regions)
    }
    problems = []
    for region in old_config.regions:
        position = positions.get(region.name)
        if position is None:
            problem_text = texts.REGION_REMOVED.format(region=region.name)
            problems.append(document.problem(('regions',), problem_text))
            continue
        if (
            new_config.regions[position].partitions_count
            == region.partitions_count
        ):
            continue
        problems.append(
            document.problem(
                ('regions', position, 'partitions_count'),
                texts.PARTITIONS_CHANGED.format(before=region.partitions_count),
            ),
        )
    return _refusals(problems)


def json_schema() -> dict[str, Any]:
    """Return the JSON schema of the document, for editors and the docs."""
    return CellConfig.model_json_schema()


def config_digest(config: CellConfig) -> str:
    """Return a digest that depends on the content only.

    Comments, the order of keys and whether a default is written out make no
    difference.
    """
    canonical = json.dumps(config.model_dump(mode='json'), sort_keys=True)
    return hashlib.sha256(canonical.encode()).hexdigest()


def _check_document(
    document: YamlDocument,
) -> Result[CellConfig, tuple[Refusal, ...]]:
    check_result = document.check_model(CellConfig)
    problems = list(check_result.failure()) if _is_failure(check_result) else []
    problems.extend(cross_field_problems(_valid_parts(document)))
    if problems:
        problems.sort(key=lambda problem: problem.line)
        return Failure(_refusals(problems))
    return Success(check_result.unwrap())


def _is_failure(check_result: Result[CellConfig, tuple[Problem, ...]]) -> bool:
    return isinstance(check_result, Failure)


def _valid_parts(document: YamlDocument) -> ValidParts:
    content = document.content
    if not isinstance(content, dict):
        content = {}
    digest = content.get('operator_token_sha256')
    return ValidParts(
        document=document,
        regions=_build_valid_items(Region, content.get('regions')),
        contracts=_build_valid_items(Contract, content.get('contracts')),
        policies=_build_if_valid(Policies, content.get('policies', {})),
        operator_token_sha256=digest if isinstance(digest, str) else None,
    )


def _build_valid_items(
    model: type[_Part],
    content: Any,
) -> dict[int, _Part]:
    if not isinstance(content, list):
        return {}
    valid = {}
    for position, entry in enumerate(content):
        item = _build_if_valid(model, entry)
        if item is not None:
            valid[position] = item
    return valid


def _build_if_valid(model: type[_Part], content: Any) -> _Part | None:
    try:
        return build_strictly(model, content)
    except ValidationError:
        return None


def _refusals(problems: Iterable[Problem]) -> tuple[Refusal, ...]:
    return tuple(
        Refusal(codes.CONFIG_INVALID, problem.sentence, problem.field or None)
        for problem in problems
    )
