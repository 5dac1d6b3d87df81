"""Reading and changing the cell configuration through an entry process.

A change names the generation that it was made from. If another operator has
written a later generation, the answer of the command shows how it differs.
"""

import difflib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import yaml
from returns.result import Failure

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import parse_config
from fuchsiarill.commands.client import Client, ServerResponse
from fuchsiarill.commands.command import CommandAnswer

_POLL_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Document:
    """The configuration in force with its generation and author."""

    generation: int
    text: str
    author: str


def read_document(client: Client) -> Document | ServerResponse:
    """Return the document in force, or the refusal by the server."""
    response = client.request('GET', '/v1/config')
    if not response.succeeded:
        return response
    return Document(
        response.body['generation'],
        response.body['text'],
        response.body['author'],
    )


def refusal_answer(response: ServerResponse) -> CommandAnswer:
    """Return the command's answer for a response that refuses a request."""
    notes = tuple(response.body.get('problems', ()))
    text = response.body.get('text')
    if text and not notes:
        notes = (str(text),)
    return CommandAnswer(None, response.code, notes)


def check_text(text: str) -> tuple[str, ...]:
    """Return all problems of a document; none if the document is valid."""
    parsed = parse_config(text)
    if isinstance(parsed, Failure):
        return tuple(problem.text for problem in parsed.failure())
    return ()


def diff_lines(before: str, after: str) -> tuple[str, ...]:
    """Return a unified diff of two documents."""
    return tuple(
        difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            'in force',
            'new',
            lineterm='',
        ),
    )


def write_document(
    client: Client,
    base: Document,
    text: str,
    author: str,
) -> ServerResponse:
    """Write a new document as the successor of `base`."""
    return client.request(
        'PUT',
        '/v1/config',
        {
            'text': text,
            'expected_generation': base.generation,
            'author': author,
        },
    )


def write_result(
    response: ServerResponse,
    base: Document,
) -> CommandAnswer:
    """Return the command's answer for the response to a write."""
    if response.code == codes.CONFIG_CONFLICT:
        return _conflict_answer(response, base)
    if not response.succeeded:
        return refusal_answer(response)
    generation = response.body['generation']
    note = texts.CONFIG_APPLIED.format(generation=generation)
    return CommandAnswer({'generation': generation}, notes=(note,))


def edit(
    client: Client,
    author: str,
    change: Callable[[Any], bool],
) -> CommandAnswer | None:
    """Read the document in force, change it and write the result.

    `change` modifies the parsed document in place and returns whether it did;
    if it did not, nothing is written and `edit` returns `None`.
    """
    base = read_document(client)
    if isinstance(base, ServerResponse):
        return refusal_answer(base)
    document = yaml.safe_load(base.text)
    if not change(document):
        return None
    new_text = yaml.safe_dump(document, sort_keys=False)
    return write_result(write_document(client, base, new_text, author), base)


def wait_for_spread(
    client: Client,
    generation: int,
    wait_s: float,
) -> CommandAnswer:
    """Wait until every process reports at least `generation` in force.

    After `wait_s`, the answer names the processes that lack it.
    """
    ends_at_s = time.monotonic() + wait_s
    while True:
        response = client.request('GET', '/v1/config/spread')
        if not response.succeeded:
            return refusal_answer(response)
        processes = response.body['processes']
        lagging = [
            row['process']
            for row in processes
            if row['generation'] < generation
        ]
        if not lagging:
            note = texts.SPREAD_COMPLETE.format(
                generation=generation,
                count=len(processes),
            )
            return CommandAnswer(processes, notes=(note,))
        if time.monotonic() >= ends_at_s:
            note = texts.SPREAD_INCOMPLETE.format(
                generation=generation,
                processes=', '.join(lagging),
            )
            return CommandAnswer(processes, codes.WAIT_ENDED, (note,))
        time.sleep(_POLL_INTERVAL_S)


def _conflict_answer(response: ServerResponse, base: Document) -> CommandAnswer:
    current = response.body
    summary = texts.CONFIG_RACE.format(
        expected=base.generation,
        author=current.get('author', 'another operator'),
        present=current.get('generation', 'a later generation'),
    )
    lines = diff_lines(base.text, current.get('document', ''))
    return CommandAnswer(None, response.code, (summary, *lines))
