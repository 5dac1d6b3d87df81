"""The command that explains a job from logs; it needs no running process."""

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

from fuchsiarill import codes, texts
from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.explain_logs import read_history, summarize_outcome


def _explain_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('job', help='id of the job')
    parser.add_argument(
        'logs',
        nargs='*',
        type=Path,
        help='log file of a process (default: standard input)',
    )


@command(
    'explain',
    'Explain from logs the outcome of a job and its cause.',
    'fuchsiarill explain 5c0e7a21d94b36f8 logs/*.jsonl',
    _explain_arguments,
)
def explain(options: Namespace, client: Client) -> CommandAnswer:
    """Print the log lines of a job by time, and its outcome as a note.

    Raises `OSError` for a file that can't be read.
    """
    sources = [path.read_text().splitlines() for path in options.logs]
    history = read_history(options.job, sources or [sys.stdin])
    notes = []
    if history.unreadable_count:
        notes.append(texts.LINES_UNREADABLE.format(history.unreadable_count))
    if not history.lines:
        notes.append(texts.JOB_UNSEEN)
        return CommandAnswer(None, codes.UNKNOWN_JOB, tuple(notes))
    notes.append(summarize_outcome(history))
    rows = [
        {
            'time': line['time'],
            'event': line['event'],
            'level': line['level'],
            'text': line['text'],
        }
        for line in history.lines
    ]
    return CommandAnswer(rows, notes=tuple(notes))
