"""Commands on the contracts of customers."""

from argparse import ArgumentParser, Namespace
from functools import partial
from typing import Any

import yaml

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import Amounts, Contract
from fuchsiarill.commands import config_edit
from fuchsiarill.commands.client import Client, ServerAnswer
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_commands import (
    add_author,
    add_wait,
    wait_if_requested,
)


class AssignmentError(ValueError):
    """An argument of `contract set` does not name a field of a contract."""


def _customer_argument(parser: ArgumentParser) -> None:
    parser.add_argument('customer', help='name of the customer')


def _set_arguments(parser: ArgumentParser) -> None:
    _customer_argument(parser)
    parser.add_argument(
        'assignments',
        nargs='+',
        metavar='FIELD=VALUE',
        help='for example weight=2 or quota.memory_mb=64000',
    )
    add_author(parser)
    add_wait(parser)


@command(
    'contract list',
    'List the contracts in force.',
    'fuchsiarill contract list',
)
def list_contracts(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each contract, without token digests."""
    found = config_edit.read_document(client)
    if isinstance(found, ServerAnswer):
        return config_edit.refused(found)
    return CommandAnswer(
        [_without_digest(row) for row in _contracts(found.text)]
    )


@command(
    'contract show',
    'Show one contract.',
    'fuchsiarill contract show order-desk --output yaml',
    _customer_argument,
)
def show(options: Namespace, client: Client) -> CommandAnswer:
    """Print one contract, without its token digest."""
    found = config_edit.read_document(client)
    if isinstance(found, ServerAnswer):
        return config_edit.refused(found)
    for row in _contracts(found.text):
        if row['customer'] == options.customer:
            return CommandAnswer(_without_digest(row))
    return _unknown(options.customer)


@command(
    'contract set',
    'Change fields of one contract.',
    'fuchsiarill contract set order-desk weight=2 quota.memory_mb=64000 --wait',
    _set_arguments,
)
def set_fields(options: Namespace, client: Client) -> CommandAnswer:
    """Write the configuration with changed fields of one contract."""
    try:
        changes = [_parse_assignment(text) for text in options.assignments]
    except AssignmentError as fault:
        return CommandAnswer(None, codes.CONFIG_INVALID, (str(fault),))
    answer = config_edit.edit(
        client,
        options.author,
        partial(_apply_assignments, options.customer, changes),
    )
    if answer is None:
        return _unknown(options.customer)
    return wait_if_requested(client, options, answer)


def _contracts(text: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = yaml.safe_load(text)['contracts']
    return rows


def _without_digest(row: dict[str, Any]) -> dict[str, Any]:
    return {name: row[name] for name in row if name != 'token_sha256'}


def _unknown(customer: str) -> CommandAnswer:
    note = texts.UNKNOWN_CUSTOMER.format(customer=customer)
    return CommandAnswer(None, codes.UNKNOWN_CUSTOMER, (note,))


def _parse_assignment(text: str) -> tuple[tuple[str, ...], Any]:
    name, found, written = text.partition('=')
    if not found:
        raise AssignmentError(texts.ASSIGNMENT_EXPECTED.format(text=text))
    path = tuple(name.split('.'))
    known = path[0] in Contract.model_fields
    if len(path) > 1:
        known = known and path[1] in Amounts.model_fields
    if not known:
        raise AssignmentError(texts.UNKNOWN_FIELD.format(name=name))
    return path, yaml.safe_load(written)


def _apply_assignments(
    customer: str,
    changes: list[tuple[tuple[str, ...], Any]],
    document: Any,
) -> bool:
    for row in document['contracts']:
        if row['customer'] != customer:
            continue
        for path, setting in changes:
            target = row
            for part in path[:-1]:
                target = target[part]
            target[path[-1]] = setting
        return True
    return False
