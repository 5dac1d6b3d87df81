"""Reading and changing the cell configuration through an entry process.

A change names the generation that it was made from; if another operator has
written a later one, the answer shows their changes.
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
from fuchsiarill.commands.client import Client, ServerAnswer
from fuchsiarill.commands.command import CommandAnswer

_POLL_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Document:
    """The configuration in force with its generation and author."""

    generation: int
    text: str
    author: str


def read_document(client: Client) -> Document | ServerAnswer:
    """Return the document in force, or the refusal by the server."""
    answer = client.request('GET', '/v1/config')
    if not answer.succeeded:
        return answer
    return Document(
        answer.body['generation'],
        answer.body['text'],
        answer.body['author'],
    )


def refused(answer: ServerAnswer) -> CommandAnswer:
    """Return the command's answer for a refusal by the server."""
    notes = tuple(answer.body.get('problems', ()))
    text = answer.body.get('text')
    if text and not notes:
        notes = (str(text),)
    return CommandAnswer(None, answer.code, notes)


def check_text(text: str) -> tuple[str, ...]:
    """Return all problems of a document, none when it is valid."""
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
) -> ServerAnswer:
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
    answer: ServerAnswer,
    base: Document,
) -> CommandAnswer:
    """Return the command's answer to a write."""
    if answer.code == codes.CONFIG_CONFLICT:
        return _conflict_answer(answer, base)
    if not answer.succeeded:
        return refused(answer)
    generation = answer.body['generation']
    note = texts.CONFIG_APPLIED.format(generation=generation)
    return CommandAnswer({'generation': generation}, notes=(note,))


def edit(
    client: Client,
    author: str,
    change: Callable[[Any], bool],
) -> CommandAnswer | None:
    """Change the parsed document in place and write it.

    Returns `None` when `change` returns `False`, since nothing has changed.
    """
    base = read_document(client)
    if isinstance(base, ServerAnswer):
        return refused(base)
    document = yaml.safe_load(base.text)
    if not change(document):
        return None
    text = yaml.safe_dump(document, sort_keys=False)
    return write_result(write_document(client, base, text, author), base)


def wait_for_spread(
    client: Client,
    generation: int,
    wait_s: float,
) -> CommandAnswer:
    """Wait until every process reports at least `generation` in force."""
    ends_at_s = time.monotonic() + wait_s
    while True:
        answer = client.request('GET', '/v1/config/spread')
        if not answer.succeeded:
            return refused(answer)
        processes = answer.body['processes']
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
        time.sleep(_POLL_S)


def _conflict_answer(answer: ServerAnswer, base: Document) -> CommandAnswer:
    present = answer.body
    head = texts.CONFIG_RACE.format(
        expected=base.generation,
        author=present.get('author', 'another operator'),
        present=present.get('generation', 'a later generation'),
    )
    lines = diff_lines(base.text, present.get('document', ''))
    return CommandAnswer(None, answer.code, (head, *lines))
