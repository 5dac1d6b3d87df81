"""Configuration of the cell: contracts, policies and limits.

Operators change only this document. `parse_config` reports every problem at
once, each with its line and field.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Final

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill import codes
from fuchsiarill.ids import CustomerId, RegionId, WorkerId
from fuchsiarill.refusal import Refusal
from fuchsiarill.resources import Resources

_Count = Annotated[int, Field(ge=0)]
_Positive = Annotated[int, Field(gt=0)]
_Weight = Annotated[float, Field(gt=0, le=100)]
_Fraction = Annotated[float, Field(ge=0, le=1)]

MAX_CONFIG_BYTES: Final = 1_000_000


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Amounts(_Model):
    """Amounts of resources in a contract."""

    processors_milli: _Count
    memory_mb: _Count
    accelerators_count: _Count = 0
    slots_count: _Count

    def as_resources(self) -> Resources:
        """Return the vector used by decisions."""
        return Resources(
            self.processors_milli,
            self.memory_mb,
            self.accelerators_count,
            self.slots_count,
        )


class Contract(_Model):
    """Everything one customer is owed and bound by.

    `guaranteed` is held against all others when the cell is full; between
    it and `quota` the customer borrows what nobody else is owed, in
    proportion to `weight`. `token_sha256` is the hex digest of the bearer
    token of the customer.
    """

    customer: CustomerId
    region: RegionId
    quota: Amounts
    guaranteed: Amounts
    weight: _Weight = 1
    submit_rate_per_s: _Positive
    submit_burst_count: _Positive
    waiting_jobs_max_count: _Positive = 10_000
    retry_budget_ratio: _Fraction = 0.1
    placement: str = 'spread'
    volatile_accept: bool = False
    token_sha256: str


class Policies(_Model):
    """Names of registered policies and their weights."""

    ordering: str = 'fair'
    waiting_weight: _Fraction = 0.5
    learn_sizes: bool = True
    task_lease_ms: _Positive = 15_000
    exchange_interval_ms: _Positive = 1_000
    probation_failures_count: _Positive = 3


class Region(_Model):
    """A region and the number of partitions its racks are divided into."""

    name: RegionId
    partitions_count: _Positive = 1


class CellConfig(_Model):
    """The whole document of one generation."""

    cell: str
    regions: tuple[Region, ...]
    contracts: tuple[Contract, ...]
    policies: Policies = Policies()
    draining_workers: tuple[WorkerId, ...] = ()
    operator_token_sha256: str

    def contract_of(self, customer: CustomerId) -> Contract | None:
        """Return the contract of a customer, if it has one."""
        for contract in self.contracts:
            if contract.customer == customer:
                return contract
        return None


def parse_config(text: str) -> Result[CellConfig, tuple[Refusal, ...]]:
    """Read a configuration document; fails with every problem found."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Failure((_problem(str(error).replace('\n', ' ')),))
    try:
        return Success(CellConfig.model_validate(document))
    except ValidationError as invalid:
        return Failure(tuple(_named_problems(root, invalid)))


def _problem(text: str, field: str | None = None) -> Refusal:
    return Refusal(codes.CONFIG_INVALID, text, field)


def _named_problems(
    root: yaml.Node | None,
    invalid: ValidationError,
) -> Iterator[Refusal]:
    for found in invalid.errors():
        path = found['loc']
        field = '.'.join(str(part) for part in path)
        line = _line_of(root, path)
        yield _problem(f'line {line}: {field}: {found["msg"]}', field)


def _line_of(root: yaml.Node | None, path: tuple[Any, ...]) -> int:
    if root is None:
        return 1
    node = root
    for part in path:
        child = _child(node, part)
        if child is None:
            break
        node = child
    return int(node.start_mark.line) + 1


def _child(node: yaml.Node, part: Any) -> yaml.Node | None:
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        return node.value[part]  # type: ignore[no-any-return]
    if not isinstance(node, yaml.MappingNode):
        return None
    for key, child in node.value:
        if key.value == part:
            return child  # type: ignore[no-any-return]
    return None
