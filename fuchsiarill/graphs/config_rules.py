"""Rules about a whole configuration, and what a change of it means to callers.

Load: one document at a time, before operators put it in force. Each field is
valid by itself; the rules find parts that contradict each other. Keys of
customers appear in no text.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from fuchsiarill.contracts.contract import CustomerContract
from fuchsiarill.graphs.model import GraphConfig, QueuePolicy
from fuchsiarill.registry import Registry


class ConfigPart(Enum):
    """Parts of a configuration that findings and changes name."""

    QUEUE = 'queue'
    POOL = 'pool'
    CUSTOMER = 'customer'
    LIMITS = 'limits'


@dataclass(frozen=True, slots=True)
class Remark:
    """A finding or a change, about the part with this name."""

    part: ConfigPart
    name: str
    text: str


_Rule = Callable[[GraphConfig], Iterator[Remark]]

RULES: Final[Registry[str, _Rule]] = Registry('configuration rules')


def find_contradictions(config: GraphConfig) -> tuple[Remark, ...]:
    """Return what all rules find."""
    return tuple(
        remark for name in RULES for remark in RULES.lookup(name)(config)
    )


@RULES.register('1 routes')
def _check_routes(config: GraphConfig) -> Iterator[Remark]:
    """Find queues that get no request.

    The queue with the longest matching prefix gets a request, the first one of
    several with the same prefix.
    """
    first_names: dict[tuple[str, str], str] = {}
    for queue, policy in config.queues.items():
        first = first_names.setdefault((policy.host, policy.prefix), queue)
        if first != queue:
            text = f'never matches: {first} has the same host and prefix'
            yield Remark(ConfigPart.QUEUE, queue, text)
        if not policy.prefix.startswith('/'):
            text = f'never matches: the prefix {policy.prefix!r} has no slash'
            yield Remark(ConfigPart.QUEUE, queue, text)


@RULES.register('2 pools')
def _check_pools(config: GraphConfig) -> Iterator[Remark]:
    for queue, policy in config.queues.items():
        if policy.pool not in config.pools:
            text = f'{policy.pool} is not declared, so that no job can run'
            yield Remark(ConfigPart.QUEUE, queue, text)


@RULES.register('3 limits')
def _check_limits(config: GraphConfig) -> Iterator[Remark]:
    limits = config.limits
    if limits.header_max_bytes <= 0 or limits.body_max_bytes <= 0:
        text = 'a limit of 0 bytes or less refuses every request'
        yield Remark(ConfigPart.LIMITS, '', text)
    for queue, policy in config.queues.items():
        for text in _policy_contradictions(policy):
            yield Remark(ConfigPart.QUEUE, queue, text)


def _policy_contradictions(policy: QueuePolicy) -> Iterator[str]:
    if policy.timeout_ms <= 0:
        yield 'a time-out of 0 ms or less leaves no time for an answer'
    if policy.attempts_max < 1:
        yield 'without an attempt each job fails'
    if policy.slack_factor < 1 and not policy.target_ms:
        yield 'the objective is shorter than the critical path of each job'
    advice = policy.advice
    if advice is not None and advice.validity_ms <= advice.service_ms(1):
        yield 'advice expires before it can be given'


@RULES.register('4 keys')
def _check_keys(config: GraphConfig) -> Iterator[Remark]:
    holders: dict[str, str] = {}
    for contract in _contracts(config).values():
        for digest in contract.key_digests:
            holder = holders.setdefault(digest, contract.customer)
            if holder != contract.customer:
                text = f'{holder} has one of the keys too'
                yield Remark(ConfigPart.CUSTOMER, contract.customer, text)
        if not contract.key_digests:
            text = 'without a key only public requests are possible'
            yield Remark(ConfigPart.CUSTOMER, contract.customer, text)


def changes_between(
    before: GraphConfig, after: GraphConfig
) -> tuple[Remark, ...]:
    """Return what callers notice when `after` follows `before`."""
    return (
        *_queue_changes(before, after),
        *_customer_changes(before, after),
        *_limit_changes(before, after),
    )


def _queue_changes(before: GraphConfig, after: GraphConfig) -> Iterator[Remark]:
    for queue, policy in before.queues.items():
        if queue not in after.queues:
            text = 'removed: submissions get 404, accepted jobs still run'
            yield Remark(ConfigPart.QUEUE, queue, text)
            continue
        for text in _policy_changes(policy, after.queues[queue]):
            yield Remark(ConfigPart.QUEUE, queue, text)
    for queue in after.queues:
        if queue not in before.queues:
            yield Remark(ConfigPart.QUEUE, queue, 'added')


def _policy_changes(before: QueuePolicy, after: QueuePolicy) -> Iterator[str]:
    old_route = f'{before.host}{before.prefix}'
    new_route = f'{after.host}{after.prefix}'
    if old_route != new_route:
        yield f'moves from {old_route} to {new_route}'
    if before.is_public and not after.is_public:
        yield 'needs a key from now on: calls without one get 401'
    if after.is_public and not before.is_public:
        yield 'needs no key any more'
    numbers = {
        'answers arrive within': (before.timeout_ms, after.timeout_ms, ' ms'),
        'priority': (before.priority, after.priority, ''),
        'attempts': (before.attempts_max, after.attempts_max, ''),
        'slack factor': (before.slack_factor, after.slack_factor, ''),
        'target': (before.target_ms, after.target_ms, ' ms'),
    }
    for name, (old, new, unit) in numbers.items():
        if old != new:
            yield f'{name}: {old}{unit} becomes {new}{unit}'
    if before.pool != after.pool:
        yield f'new jobs run in {after.pool}, no longer in {before.pool}'


def _customer_changes(
    before: GraphConfig, after: GraphConfig
) -> Iterator[Remark]:
    old_contracts = _contracts(before)
    new_contracts = _contracts(after)
    for customer, contract in old_contracts.items():
        if customer not in new_contracts:
            text = 'removed: calls with its keys get 401'
            yield Remark(ConfigPart.CUSTOMER, customer, text)
            continue
        for text in _contract_changes(contract, new_contracts[customer]):
            yield Remark(ConfigPart.CUSTOMER, customer, text)
    for customer in new_contracts:
        if customer not in old_contracts:
            yield Remark(ConfigPart.CUSTOMER, customer, 'added')


def _contract_changes(
    before: CustomerContract, after: CustomerContract
) -> Iterator[str]:
    old_keys = set(before.key_digests)
    new_keys = set(after.key_digests)
    if old_keys - new_keys:
        yield f'keys withdrawn, which get 401: {len(old_keys - new_keys)}'
    if new_keys - old_keys:
        yield f'keys added: {len(new_keys - old_keys)}'
    if before.weight != after.weight:
        yield f'weight: {before.weight} becomes {after.weight}'
    if before.ceiling != after.ceiling:
        old_ceiling = before.ceiling.as_tuple()
        yield f'ceiling: {old_ceiling} becomes {after.ceiling.as_tuple()}'


def _limit_changes(before: GraphConfig, after: GraphConfig) -> Iterator[Remark]:
    numbers = {
        'headers': (
            before.limits.header_max_bytes,
            after.limits.header_max_bytes,
        ),
        'bodies': (before.limits.body_max_bytes, after.limits.body_max_bytes),
    }
    for name, (old, new) in numbers.items():
        if old != new:
            text = f'{name}: at most {new} bytes instead of {old}'
            yield Remark(ConfigPart.LIMITS, '', text)


def _contracts(config: GraphConfig) -> dict[str, CustomerContract]:
    return {contract.customer: contract for contract in config.contracts}
