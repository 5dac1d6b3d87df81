"""Commands that check, show and change the cell configuration."""

import getpass
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Final

import yaml

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.commands import config_edit
from fuchsiarill.commands.client import Client, ServerResponse
from fuchsiarill.commands.command import CommandAnswer, command

_WAIT_DEFAULT_S: Final = 30.0


def add_file(parser: ArgumentParser) -> None:
    """Declare the argument for the configuration file."""
    parser.add_argument('file', type=Path, help='configuration in YAML')


def add_author(parser: ArgumentParser) -> None:
    """Declare the option for the author of a change."""
    parser.add_argument(
        '--author',
        default=getpass.getuser(),
        help='name shown to other operators (default: the login name)',
    )


def add_wait(parser: ArgumentParser) -> None:
    """Declare the options for waiting until a change is in force."""
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until the change is in force in every process',
    )
    parser.add_argument(
        '--wait-s',
        type=float,
        default=_WAIT_DEFAULT_S,
        help='longest wait in seconds (default: 30)',
    )


def _apply_arguments(parser: ArgumentParser) -> None:
    add_file(parser)
    add_author(parser)
    add_wait(parser)


def wait_if_requested(
    client: Client,
    options: Namespace,
    write_answer: CommandAnswer,
) -> CommandAnswer:
    """Wait until a written change is in force if `--wait` is given."""
    if write_answer.code != codes.DONE or not options.wait:
        return write_answer
    return config_edit.wait_for_spread(
        client,
        write_answer.content['generation'],
        options.wait_s,
    )


@command(
    'config show',
    'Show the configuration in force.',
    'fuchsiarill config show',
)
def show(options: Namespace, client: Client) -> CommandAnswer:
    """Print the document; the table format shows its text unchanged."""
    document = config_edit.read_document(client)
    if isinstance(document, ServerResponse):
        return config_edit.refusal_answer(document)
    note = f'generation {document.generation}, written by {document.author}'
    if options.output == 'table':
        return CommandAnswer(document.text.rstrip(), notes=(note,))
    return CommandAnswer(yaml.safe_load(document.text), notes=(note,))


@command(
    'config diff',
    'Show what a file would change.',
    'fuchsiarill config diff cell.yaml',
    add_file,
)
def diff(options: Namespace, client: Client) -> CommandAnswer:
    """Compare a file with the document in force."""
    document = config_edit.read_document(client)
    if isinstance(document, ServerResponse):
        return config_edit.refusal_answer(document)
    lines = config_edit.diff_lines(document.text, options.file.read_text())
    if lines:
        return CommandAnswer(list(lines))
    note = texts.CONFIG_SAME.format(generation=document.generation)
    return CommandAnswer(None, notes=(note,))


@command(
    'config apply',
    'Write a configuration file as the next generation.',
    'fuchsiarill config apply cell.yaml --wait',
    _apply_arguments,
)
def apply_file(options: Namespace, client: Client) -> CommandAnswer:
    """Check a file, write it and optionally wait until it is in force."""
    text = options.file.read_text()
    problems = config_edit.check_text(text)
    if problems:
        return CommandAnswer(None, codes.CONFIG_INVALID, problems)
    base = config_edit.read_document(client)
    if isinstance(base, ServerResponse):
        return config_edit.refusal_answer(base)
    response = config_edit.write_document(client, base, text, options.author)
    answer = config_edit.write_result(response, base)
    return wait_if_requested(client, options, answer)


@command(
    'config schema',
    'Print the JSON Schema of the cell configuration.',
    'fuchsiarill config schema --output json > cell.schema.json',
)
def schema(options: Namespace, client: Client) -> CommandAnswer:
    """Print the schema that configuration files are checked against."""
    return CommandAnswer(CellConfig.model_json_schema())


@command(
    'config spread',
    'Show the generation in force in each process.',
    'fuchsiarill config spread',
)
def spread(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each process, with the generation that it reports."""
    response = client.request('GET', '/v1/config/spread')
    if not response.succeeded:
        return config_edit.refusal_answer(response)
    return CommandAnswer(response.body['processes'])
