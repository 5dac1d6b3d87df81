"""Commands that show and change the contracts of customers."""

from argparse import ArgumentParser, Namespace
from functools import partial
from typing import Any

import yaml

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import Amounts, Contract
from fuchsiarill.commands import config_edit
from fuchsiarill.commands.client import Client, ServerResponse
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_commands import (
    add_author,
    add_wait,
    wait_if_requested,
)


class AssignmentError(ValueError):
    """An argument of `contract set` has no `=` or names an unknown field."""


def _customer_argument(parser: ArgumentParser) -> None:
    parser.add_argument('customer', help='name of the customer')


def _set_arguments(parser: ArgumentParser) -> None:
    _customer_argument(parser)
    parser.add_argument(
        'assignments',
        nargs='+',
        metavar='FIELD=VALUE',
        help='new value of a field, such as weight=2 or quota.memory_mb=64000',
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
    document = config_edit.read_document(client)
    if isinstance(document, ServerResponse):
        return config_edit.refusal_answer(document)
    return CommandAnswer(
        [_without_digest(row) for row in _contracts(document.text)]
    )


@command(
    'contract show',
    'Show one contract.',
    'fuchsiarill contract show order-desk --output yaml',
    _customer_argument,
)
def show(options: Namespace, client: Client) -> CommandAnswer:
    """Print one contract, without its token digest."""
    document = config_edit.read_document(client)
    if isinstance(document, ServerResponse):
        return config_edit.refusal_answer(document)
    for row in _contracts(document.text):
        if row['customer'] == options.customer:
            return CommandAnswer(_without_digest(row))
    return _unknown_customer_answer(options.customer)


@command(
    'contract set',
    'Change fields of one contract.',
    'fuchsiarill contract set order-desk weight=2 quota.memory_mb=64000 --wait',
    _set_arguments,
)
def set_fields(options: Namespace, client: Client) -> CommandAnswer:
    """Write the configuration with the changed fields of one contract."""
    try:
        changes = [_parse_assignment(text) for text in options.assignments]
    except AssignmentError as error:
        return CommandAnswer(None, codes.CONFIG_INVALID, (str(error),))
    answer = config_edit.edit(
        client,
        options.author,
        partial(_apply_assignments, options.customer, changes),
    )
    if answer is None:
        return _unknown_customer_answer(options.customer)
    return wait_if_requested(client, options, answer)


def _contracts(text: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = yaml.safe_load(text)['contracts']
    return rows


def _without_digest(row: dict[str, Any]) -> dict[str, Any]:
    return {name: row[name] for name in row if name != 'token_sha256'}


def _unknown_customer_answer(customer: str) -> CommandAnswer:
    note = texts.UNKNOWN_CUSTOMER.format(customer=customer)
    return CommandAnswer(None, codes.UNKNOWN_CUSTOMER, (note,))


def _parse_assignment(text: str) -> tuple[tuple[str, ...], Any]:
    name, separator, value_text = text.partition('=')
    if not separator:
        raise AssignmentError(texts.ASSIGNMENT_EXPECTED.format(text=text))
    path = tuple(name.split('.'))
    known = path[0] in Contract.model_fields
    if len(path) > 1:
        known = known and path[1] in Amounts.model_fields
    if not known:
        raise AssignmentError(texts.UNKNOWN_FIELD.format(name=name))
    return path, yaml.safe_load(value_text)


def _apply_assignments(
    customer: str,
    changes: list[tuple[tuple[str, ...], Any]],
    document: Any,
) -> bool:
    for row in document['contracts']:
        if row['customer'] != customer:
            continue
        for path, new_value in changes:
            target = row
            for part in path[:-1]:
                target = target[part]
            target[path[-1]] = new_value
        return True
    return False
