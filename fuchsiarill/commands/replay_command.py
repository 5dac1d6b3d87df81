"""The command that simulates a cell from traces; it needs no running cell."""

from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Final

from fuchsiarill import codes
from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command

_CODE_OF_STATUS: Final = {
    0: codes.TRACES_MET,
    1: codes.TRACES_UNMET,
    2: codes.TRACE_INVALID,
}


def _files_argument(parser: ArgumentParser) -> None:
    parser.add_argument('files', nargs='+', type=Path, help='trace in YAML')


@command(
    'replay',
    'Replay traces and check their stated outcomes.',
    'fuchsiarill replay traces/*.yaml',
    _files_argument,
)
def replay(options: Namespace, client: Client) -> CommandAnswer:
    """Replay traces in simulated time; prints results and unmet outcomes.

    The simulation is imported here, since no other command needs it.
    """
    from fuchsiarill.replay.command import replay_files  # noqa: PLC0415

    return CommandAnswer(None, _CODE_OF_STATUS[replay_files(options.files)])
