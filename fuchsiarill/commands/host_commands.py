"""Commands that list, drain and undrain workers.

The command line calls a worker a host.
"""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from functools import partial
from typing import Any

from fuchsiarill import texts
from fuchsiarill.commands import config_edit
from fuchsiarill.commands.client import Client
from fuchsiarill.commands.command import CommandAnswer, command
from fuchsiarill.commands.config_commands import (
    add_author,
    add_wait,
    wait_if_requested,
)

_DRAINING_FIELD = 'draining_workers'


def _worker_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('worker', help='id of the worker')
    add_author(parser)
    add_wait(parser)


@command(
    'host list',
    'List the workers with their state, free resources and tasks.',
    'fuchsiarill host list',
)
def list_hosts(options: Namespace, client: Client) -> CommandAnswer:
    """Print one row for each worker."""
    response = client.request('GET', '/v1/hosts')
    if not response.succeeded:
        return config_edit.refusal_answer(response)
    return CommandAnswer(response.body['hosts'])


@command(
    'host drain',
    'Start no new tasks on a worker and move its services to other workers.',
    'fuchsiarill host drain pour-hall-r1-w3 --wait',
    _worker_arguments,
)
def drain(options: Namespace, client: Client) -> CommandAnswer:
    """Add the worker to the draining workers of the configuration."""
    return _edit_draining(options, client, _add_draining, texts.HOST_DRAINS)


@command(
    'host undrain',
    'Allow new tasks on a drained worker again.',
    'fuchsiarill host undrain pour-hall-r1-w3',
    _worker_arguments,
)
def undrain(options: Namespace, client: Client) -> CommandAnswer:
    """Remove the worker from the draining workers of the configuration."""
    return _edit_draining(options, client, _remove_draining, texts.HOST_RETURNS)


def _edit_draining(
    options: Namespace,
    client: Client,
    change: Callable[[str, Any], bool],
    template: str,
) -> CommandAnswer:
    answer = config_edit.edit(
        client,
        options.author,
        partial(change, options.worker),
    )
    if answer is None:
        note = texts.HOST_UNCHANGED.format(worker=options.worker)
        return CommandAnswer(None, notes=(note,))
    # Without content, a request was refused and the notes say why.
    if answer.content is not None:
        note = template.format(
            worker=options.worker,
            generation=answer.content['generation'],
        )
        answer = CommandAnswer(answer.content, answer.code, (note,))
    return wait_if_requested(client, options, answer)


def _add_draining(worker: str, document: Any) -> bool:
    """Add a worker; return `False` if it is already draining."""
    draining = document.setdefault(_DRAINING_FIELD, [])
    if worker in draining:
        return False
    draining.append(worker)
    return True


def _remove_draining(worker: str, document: Any) -> bool:
    """Remove a worker; return `False` if it is not draining."""
    draining = document.get(_DRAINING_FIELD, [])
    if worker not in draining:
        return False
    draining.remove(worker)
    return True
