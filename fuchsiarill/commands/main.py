"""Entry point of the command line `fuchsiarill`.

Imports the command modules, which fill the registry of commands, builds the
parsers from it, runs one command and exits with the status of its result code.
"""

import os
import sys
from argparse import (
    ArgumentParser,
    Namespace,
    RawDescriptionHelpFormatter,
)
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from fuchsiarill import codes, texts
from fuchsiarill.commands import (  # noqa: F401
    config_check,
    config_commands,
    contract_commands,
    explain_command,
    host_commands,
    job_commands,
    replay_command,
    status_commands,
)
from fuchsiarill.commands.client import (
    Client,
    ClientSettings,
    ServersUnreachableError,
)
from fuchsiarill.commands.command import COMMANDS, Command, CommandAnswer
from fuchsiarill.commands.output import FORMATTERS

_SERVERS_VARIABLE: Final = 'FUCHSIARILL_SERVERS'
_TOKEN_FILE_VARIABLE: Final = 'FUCHSIARILL_TOKEN_FILE'
_DEFAULT_SERVER: Final = 'http://127.0.0.1:8080'


def run() -> None:
    """Run the command in `sys.argv` and exit."""
    sys.exit(main(sys.argv[1:]).value)


def main(words: Sequence[str]) -> codes.ExitStatus:
    """Run one command; returns its exit status."""
    options = build_parser().parse_args(words)
    try:
        answer = _run_command(options)
    except ServersUnreachableError as error:
        return _report_error(
            texts.NO_SERVER.format(faults=error),
            codes.ExitStatus.UNAVAILABLE,
        )
    except OSError as error:
        return _report_error(str(error), codes.ExitStatus.BAD_REQUEST)
    except KeyboardInterrupt:
        return _report_error(texts.INTERRUPTED, codes.ExitStatus.UNAVAILABLE)
    _print_answer(answer, options)
    return answer.exit_status


def _run_command(options: Namespace) -> CommandAnswer:
    chosen: Command = options.chosen
    return chosen.run(options, _create_client(options))


def build_parser() -> ArgumentParser:
    """Return the parser with every registered command."""
    parser = ArgumentParser(
        prog='fuchsiarill',
        description='Command line of the cluster scheduler fuchsiarill.',
    )
    groups: dict[tuple[str, ...], Any] = {
        (): parser.add_subparsers(metavar='COMMAND', required=True),
    }
    for words in COMMANDS:
        group = words[:-1]
        if group not in groups:
            subparser = groups[()].add_parser(
                group[0], help=f'{group[0]} commands'
            )
            groups[group] = subparser.add_subparsers(
                metavar='SUBCOMMAND',
                required=True,
            )
        _add_command(groups[group], COMMANDS.lookup(words))
    return parser


def _add_command(group: Any, chosen: Command) -> None:
    subparser = group.add_parser(
        chosen.words[-1],
        help=chosen.summary,
        description=chosen.summary,
        epilog=f'example:\n  {chosen.example}',
        formatter_class=RawDescriptionHelpFormatter,
    )
    subparser.add_argument(
        '--server',
        action='append',
        metavar='URL',
        help='entry process; may be repeated, tried in order '
        f'(default: ${_SERVERS_VARIABLE} or {_DEFAULT_SERVER})',
    )
    subparser.add_argument(
        '--token-file',
        type=Path,
        metavar='FILE',
        help=f'file with the bearer token (default: ${_TOKEN_FILE_VARIABLE})',
    )
    subparser.add_argument(
        '--output',
        choices=tuple(FORMATTERS),
        default='table',
        help='format of the answer (default: table)',
    )
    chosen.arguments(subparser)
    subparser.set_defaults(chosen=chosen)


def _create_client(options: Namespace) -> Client:
    default_urls = os.environ.get(_SERVERS_VARIABLE, _DEFAULT_SERVER).split(',')
    server_urls = options.server or default_urls
    token_path = options.token_file or os.environ.get(_TOKEN_FILE_VARIABLE)
    token = Path(token_path).read_text().strip() if token_path else ''
    trimmed_urls = tuple(url.strip().rstrip('/') for url in server_urls)
    return Client(ClientSettings(trimmed_urls, token))


def _print_answer(answer: CommandAnswer, options: Namespace) -> None:
    if answer.content is not None:
        print(FORMATTERS.lookup(options.output)(answer.content))
    for note in answer.notes:
        print(note, file=sys.stderr)
    if answer.code.exit_status is not codes.ExitStatus.SUCCESS:
        code = answer.code
        if code not in {codes.JOB_FAILED, codes.JOB_CANCELLED}:
            line = f'error {code.number} {code.name}: {code.meaning}'
            print(line, file=sys.stderr)


def _report_error(text: str, status: codes.ExitStatus) -> codes.ExitStatus:
    print(f'fuchsiarill: {text}', file=sys.stderr)
    return status


if __name__ == '__main__':
    run()
