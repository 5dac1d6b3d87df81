"""The command that replays traces; it needs no running cell."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command


def _files_argument(parser: ArgumentParser) -> None:
    parser.add_argument('files', nargs='+', type=Path, help='trace in YAML')


@command(
    'replay',
    'Replay traces against their stated outcomes.',
    'fuchsiarill replay traces/*.yaml',
    _files_argument,
)
def replay(options: Namespace, client: Client) -> CommandAnswer:
    """Replay traces in paused time; prints unmet outcomes."""
    return CommandAnswer({'files': [str(path) for path in options.files]})
