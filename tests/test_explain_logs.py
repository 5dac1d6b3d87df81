"""Explanations of the outcome of jobs from logs."""

import json
from pathlib import Path
from typing import Any

import pytest

from fuchsiarill.codes import ExitStatus
from fuchsiarill.commands.main import main
from fuchsiarill.explain_logs import read_history, summarize_outcome

JOB = '5c0e7a21d94b36f8'
ACCEPTED = {'event': 701, 'queue': 'q', 'revision': 3, 'took_ms': 20}
REFUSED = {
    'event': 702,
    'verb': 'submit',
    'code': 'store_unavailable',
    'took_ms': 700,
    'reason': '6 calls of the store failed',
}
REFUSED_AT_ONCE = {
    'event': 762,
    'code': 'overloaded',
    'cause': 'wait',
    'least_wait_ms': 9000,
    'allowed_wait_ms': 7000,
}
PLACED = {'event': 711, 'waited_ms': 45}
FAILED = {'event': 712, 'kind': 'failed'}
GIVEN_UP = {'event': 726, 'task': '0.0.1', 'crashes': 2}
UNANSWERED = {
    'event': 754,
    'task': '0.0.1',
    'worker': 'w3',
    'held_ms': 8700,
}
EXPIRED = {'event': 757, 'task': '0.0.1', 'worker': 'w3', 'held_ms': 6500}
LOST = {'event': 713, 'task': '0.0.1', 'worker': 'w3'}
SETTLED = {
    'event': 704,
    'phase': 'succeeded',
    'age_ms': 900,
    'objective_ms': 800,
}


def line(number: int, fields: dict[str, Any]) -> str:
    """Return a log line as a process writes it."""
    common = {'time': number, 'level': 'INFO', 'job': JOB, 'text': 't'}
    return json.dumps(common | fields)


@pytest.mark.parametrize(
    ('log_fields', 'words'),
    [
        ([REFUSED], 'refused with store_unavailable after 700 ms'),
        ([REFUSED_AT_ONCE], 'refused with overloaded because of wait'),
        ([ACCEPTED], 'no run was placed'),
        ([ACCEPTED, PLACED], '1 runs were placed and 0 have ended'),
        (
            [ACCEPTED, PLACED, UNANSWERED],
            'Task 0.0.1 has a start without an answer on w3; at 2 it was held '
            'for another 8700 ms',
        ),
        (
            [ACCEPTED, PLACED, UNANSWERED, EXPIRED],
            'at 3 it was held for another 6500 ms',
        ),
        (
            [ACCEPTED, PLACED, FAILED, SETTLED],
            'succeeded after 900 ms, objective 800 ms; its first run started '
            'after 45 ms; runs lost with their worker: 0, failed: 1',
        ),
        (
            [ACCEPTED, PLACED, FAILED, SETTLED | {'phase': 'failed'}],
            '1 runs ended as failed',
        ),
        (
            [ACCEPTED, PLACED, GIVEN_UP, SETTLED | {'phase': 'failed'}],
            'task 0.0.1 was given up, since workers crashed in 2 of its',
        ),
    ],
)
def test_conclusion(log_fields: list[dict[str, Any]], words: str) -> None:
    """Guards against an explanation that names the wrong cause."""
    lines = [line(number, fields) for number, fields in enumerate(log_fields)]
    # Lines of several processes arrive in any order and with prefixes.
    sources = [[f'  1.2 entry-1 {text}'] for text in reversed(lines)]
    history = read_history(JOB, sources)
    assert [entry['time'] for entry in history.lines] == list(
        range(len(log_fields))
    )
    assert words in summarize_outcome(history)


def test_held_start_of_a_lost_run_is_not_named() -> None:
    """Guards against a bound that is named after it has ended."""
    fields: list[dict[str, Any]] = [PLACED, UNANSWERED, EXPIRED, LOST]
    lines = [line(number, row) for number, row in enumerate(fields)]
    assert 'held' not in summarize_outcome(read_history(JOB, [lines]))


def test_command(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an unreadable line that hides all others.

    Also guards against success for a job or a file that does not exist.
    """
    log = tmp_path / 'log'
    log.write_text('\n'.join((line(1, ACCEPTED), f'{{"job": "{JOB}"')))
    assert main(['explain', JOB, str(log)]) is ExitStatus.SUCCESS
    printed = capsys.readouterr()
    assert '701' in printed.out
    assert '1 log lines that name the job cannot be read' in printed.err
    assert main(['explain', 'other', str(log)]) is not ExitStatus.SUCCESS
    missing = str(tmp_path / 'none')
    assert main(['explain', JOB, missing]) is ExitStatus.BAD_REQUEST
    assert 'none' in capsys.readouterr().err
