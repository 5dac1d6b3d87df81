"""Commands on jobs."""

import sys
import time
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlencode

import yaml

from fuchsiarill import codes
from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_edit import refused

_REQUEST_WAIT_MS: Final = 5000
_DEFAULT_WAIT_S: Final = 3600.0


def _job_argument(parser: ArgumentParser) -> None:
    parser.add_argument('job', help='id of the job')
    _customer_option(parser)


def _customer_option(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--customer',
        help='customer to act for; with the operator token only',
    )


def _submit_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        'file',
        help='YAML or JSON with one job or a list of jobs; - reads stdin',
    )
    _customer_option(parser)


def _list_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('--state', help='only jobs in this state')
    parser.add_argument('--limit', type=int, default=100)
    _customer_option(parser)


def _wait_arguments(parser: ArgumentParser) -> None:
    _job_argument(parser)
    parser.add_argument('--wait-s', type=float, default=_DEFAULT_WAIT_S)


@command(
    'job submit',
    'Submit the jobs in a file.',
    'fuchsiarill job submit jobs.yaml',
    _submit_arguments,
)
def submit(options: Namespace, client: Client) -> CommandAnswer:
    """Submit a batch; the result is the first code that is not success."""
    text = _read(options.file)
    loaded = yaml.safe_load(text)
    if isinstance(loaded, dict) and 'jobs' in loaded:
        loaded = loaded['jobs']
    jobs = loaded if isinstance(loaded, list) else [loaded]
    answer = client.request('POST', _path('/v1/jobs', options), {'jobs': jobs})
    if not answer.succeeded:
        return refused(answer)
    rows = answer.body['answers']
    return CommandAnswer(rows, _first_failure(rows))


@command(
    'job list',
    'List jobs.',
    'fuchsiarill job list --state queued',
    _list_arguments,
)
def list_jobs(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each job."""
    path = _path('/v1/jobs', options, state=options.state, limit=options.limit)
    answer = client.request('GET', path)
    if not answer.succeeded:
        return refused(answer)
    return CommandAnswer(answer.body['jobs'])


@command(
    'job show',
    'Show the state and the results of a job.',
    'fuchsiarill job show rajkot.0-4f1c',
    _job_argument,
)
def show(options: Namespace, client: Client) -> CommandAnswer:
    """Print one job; the exit status does not depend on its outcome."""
    answer = client.request('GET', _path(f'/v1/jobs/{options.job}', options))
    if 'state' in answer.body:
        return CommandAnswer(answer.body)
    return refused(answer)


@command(
    'job wait',
    'Wait for the end of a job.',
    'fuchsiarill job wait rajkot.0-4f1c --wait-s 60',
    _wait_arguments,
)
def wait(options: Namespace, client: Client) -> CommandAnswer:
    """Wait in bounded requests; the exit status depends on the outcome."""
    ends_at_s = time.monotonic() + options.wait_s
    while True:
        left_ms = int((ends_at_s - time.monotonic()) * 1000)
        wait_ms = max(0, min(_REQUEST_WAIT_MS, left_ms))
        path = _path(f'/v1/jobs/{options.job}', options, wait_ms=wait_ms)
        answer = client.request('GET', path)
        if answer.code != codes.NOT_FINISHED:
            if 'state' in answer.body:
                return CommandAnswer(answer.body, answer.code)
            return refused(answer)
        if left_ms <= 0:
            return CommandAnswer(answer.body, codes.WAIT_ENDED)


@command(
    'job cancel',
    'Cancel a job.',
    'fuchsiarill job cancel rajkot.0-4f1c',
    _job_argument,
)
def cancel(options: Namespace, client: Client) -> CommandAnswer:
    """Cancel a job; its tasks are stopped in the background."""
    answer = client.request('DELETE', _path(f'/v1/jobs/{options.job}', options))
    if not answer.succeeded:
        return refused(answer)
    return CommandAnswer(answer.body)


@command(
    'job why',
    'Tell what a job waits for.',
    'fuchsiarill job why rajkot.0-4f1c',
    _job_argument,
)
def explain(options: Namespace, client: Client) -> CommandAnswer:
    """Print the limit or resource that delays a job, and its position."""
    answer = client.request(
        'GET', _path(f'/v1/jobs/{options.job}/why', options)
    )
    if not answer.succeeded:
        return refused(answer)
    return CommandAnswer(answer.body['why'])


def _read(name: str) -> str:
    return sys.stdin.read() if name == '-' else Path(name).read_text()


def _path(path: str, options: Namespace, **query: object) -> str:
    query['customer'] = options.customer
    given = {name: part for name, part in query.items() if part is not None}
    return f'{path}?{urlencode(given)}' if given else path


def _first_failure(rows: list[dict[str, Any]]) -> codes.ResultCode:
    for row in rows:
        found = codes.by_number(row['code'])
        if found.exit_status is not codes.ExitStatus.SUCCESS:
            return found
    return codes.DONE
