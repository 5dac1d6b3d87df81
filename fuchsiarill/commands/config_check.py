"""The command that checks a configuration file without writing it.

The file is a cell configuration, or a configuration of the platform in JSON.
"""

import json
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Final

from returns.result import Failure

from fuchsiarill import codes, texts
from fuchsiarill.cell_changes import changes_between
from fuchsiarill.cell_config import parse_config
from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_commands import add_file
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.platform import config_check

_FINDING: Final = 'finding'
_CHANGE: Final = 'change'


def _check_arguments(parser: ArgumentParser) -> None:
    add_file(parser)
    parser.add_argument(
        '--against',
        type=Path,
        help='another version; list what callers notice of the change',
    )


@command(
    'config check',
    'Check a configuration file without writing it.',
    'fuchsiarill config check examples/frostwick.yaml',
    _check_arguments,
)
def check(options: Namespace, client: Client) -> CommandAnswer:
    """Check a file and report every problem with its line and field."""
    content = options.file.read_text()
    if _is_platform_text(content):
        return _check_platform(options, content)
    parsed = parse_config(content)
    if isinstance(parsed, Failure):
        return _invalid_answer(
            options.file, *(problem.text for problem in parsed.failure())
        )
    config = parsed.unwrap()
    note = texts.CONFIG_VALID.format(
        path=options.file, contracts=len(config.contracts)
    )
    if options.against is None:
        return CommandAnswer(None, notes=(note,))
    earlier = parse_config(options.against.read_text())
    if isinstance(earlier, Failure):
        return _invalid_answer(
            options.against, *(problem.text for problem in earlier.failure())
        )
    changes = changes_between(earlier.unwrap(), config)
    return CommandAnswer(_rows(_CHANGE, *changes), notes=(note,))


def _check_platform(options: Namespace, content: str) -> CommandAnswer:
    try:
        findings = config_check.find_problems(content.encode())
    except DocumentError as error:
        return _invalid_answer(options.file, str(error))
    rows = _rows(_FINDING, *findings)
    if options.against is not None:
        earlier = options.against.read_bytes()
        try:
            changes = config_check.find_changes(earlier, content.encode())
        except DocumentError as against_error:
            return _invalid_answer(options.against, str(against_error))
        rows.extend(_rows(_CHANGE, *changes))
    code = codes.CONFIG_CONTRADICTORY if findings else codes.DONE
    return CommandAnswer(rows or None, code)


def _is_platform_text(text: str) -> bool:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return False
    return config_check.is_platform_document(document)


def _rows(kind: str, *lines: str) -> list[dict[str, str]]:
    return [{'kind': kind, 'text': line} for line in lines]


def _invalid_answer(path: Path, *problems: str) -> CommandAnswer:
    notes = tuple(f'{path}: {problem}' for problem in problems)
    return CommandAnswer(None, codes.CONFIG_INVALID, notes)
