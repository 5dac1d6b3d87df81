"""Commands that show the processes of the system."""

from argparse import ArgumentParser, Namespace

from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_edit import refusal_answer


def _process_argument(parser: ArgumentParser) -> None:
    parser.add_argument('process', help='id of the process')


@command(
    'status',
    'Show every process, its partitions, generation and load.',
    'fuchsiarill status',
)
def status(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each process; a note lists unreachable processes."""
    response = client.request('GET', '/v1/status')
    if not response.succeeded:
        return refusal_answer(response)
    rows = response.body['processes']
    unreachable = [row['process'] for row in rows if not row['reachable']]
    notes = (f'unreachable: {", ".join(unreachable)}',) if unreachable else ()
    return CommandAnswer(rows, notes=notes)


@command(
    'dump',
    'Print the full state of a process.',
    'fuchsiarill dump pour-hall-1 --output yaml',
    _process_argument,
)
def dump(options: Namespace, client: Client) -> CommandAnswer:
    """Print the state of every actor of a process."""
    response = client.request('GET', f'/v1/dump?process={options.process}')
    if not response.succeeded:
        return refusal_answer(response)
    return CommandAnswer(response.body)
