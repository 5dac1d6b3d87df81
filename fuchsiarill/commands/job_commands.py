"""Commands that submit, list, show, wait for, cancel and explain jobs."""

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
from fuchsiarill.commands.config_edit import refusal_answer

_REQUEST_WAIT_MAX_MS: Final = 5000
_WAIT_DEFAULT_S: Final = 3600.0


def _job_argument(parser: ArgumentParser) -> None:
    parser.add_argument('job', help='id of the job')
    _customer_option(parser)


def _customer_option(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--customer',
        help='customer to act for; only with the operator token',
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
    parser.add_argument('--wait-s', type=float, default=_WAIT_DEFAULT_S)


@command(
    'job submit',
    'Submit the jobs in a file.',
    'fuchsiarill job submit jobs.yaml',
    _submit_arguments,
)
def submit(options: Namespace, client: Client) -> CommandAnswer:
    """Submit a batch; the exit status is that of the first refused job."""
    text = _read_text(options.file)
    content = yaml.safe_load(text)
    if isinstance(content, dict) and 'jobs' in content:
        content = content['jobs']
    jobs = content if isinstance(content, list) else [content]
    response = client.request(
        'POST', _path_with_query('/v1/jobs', options), {'jobs': jobs}
    )
    if not response.succeeded:
        return refusal_answer(response)
    rows = response.body['answers']
    return CommandAnswer(rows, _batch_code(rows))


@command(
    'job list',
    'List jobs.',
    'fuchsiarill job list --state queued',
    _list_arguments,
)
def list_jobs(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each job."""
    path = _path_with_query(
        '/v1/jobs', options, state=options.state, limit=options.limit
    )
    response = client.request('GET', path)
    if not response.succeeded:
        return refusal_answer(response)
    return CommandAnswer(response.body['jobs'])


@command(
    'job show',
    'Show the state and the results of a job.',
    'fuchsiarill job show rajkot.0-4f1c',
    _job_argument,
)
def show(options: Namespace, client: Client) -> CommandAnswer:
    """Print one job; the exit status does not depend on its outcome."""
    response = client.request(
        'GET', _path_with_query(f'/v1/jobs/{options.job}', options)
    )
    if 'state' in response.body:
        return CommandAnswer(response.body)
    return refusal_answer(response)


@command(
    'job wait',
    'Wait for the end of a job.',
    'fuchsiarill job wait rajkot.0-4f1c --wait-s 60',
    _wait_arguments,
)
def wait(options: Namespace, client: Client) -> CommandAnswer:
    """Wait in requests of limited length; the exit status tells the outcome."""
    ends_at_s = time.monotonic() + options.wait_s
    while True:
        remaining_ms = int((ends_at_s - time.monotonic()) * 1000)
        wait_ms = max(0, min(_REQUEST_WAIT_MAX_MS, remaining_ms))
        path = _path_with_query(
            f'/v1/jobs/{options.job}', options, wait_ms=wait_ms
        )
        response = client.request('GET', path)
        if response.code != codes.NOT_FINISHED:
            if 'state' in response.body:
                return CommandAnswer(response.body, response.code)
            return refusal_answer(response)
        if remaining_ms <= 0:
            return CommandAnswer(response.body, codes.WAIT_ENDED)


@command(
    'job cancel',
    'Cancel a job.',
    'fuchsiarill job cancel rajkot.0-4f1c',
    _job_argument,
)
def cancel(options: Namespace, client: Client) -> CommandAnswer:
    """Cancel a job; its tasks are stopped in the background."""
    response = client.request(
        'DELETE', _path_with_query(f'/v1/jobs/{options.job}', options)
    )
    if not response.succeeded:
        return refusal_answer(response)
    return CommandAnswer(response.body)


@command(
    'job why',
    'Show what a job waits for.',
    'fuchsiarill job why rajkot.0-4f1c',
    _job_argument,
)
def explain(options: Namespace, client: Client) -> CommandAnswer:
    """Print why a job waits, and how many jobs and customers precede it."""
    response = client.request(
        'GET', _path_with_query(f'/v1/jobs/{options.job}/why', options)
    )
    if not response.succeeded:
        return refusal_answer(response)
    return CommandAnswer(response.body['why'])


def _read_text(name: str) -> str:
    return sys.stdin.read() if name == '-' else Path(name).read_text()


def _path_with_query(path: str, options: Namespace, **query: object) -> str:
    query['customer'] = options.customer
    query_values = {
        name: value for name, value in query.items() if value is not None
    }
    return f'{path}?{urlencode(query_values)}' if query_values else path


def _batch_code(rows: list[dict[str, Any]]) -> codes.ResultCode:
    for row in rows:
        code = codes.by_number(row['code'])
        if code.exit_status is not codes.ExitStatus.SUCCESS:
            return code
    return codes.DONE
