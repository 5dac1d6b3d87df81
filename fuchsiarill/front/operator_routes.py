"""Routes of operators: configuration, status, hosts and dumps."""

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Success

from fuchsiarill import codes, texts
from fuchsiarill.cluster.config_change import ChangeAnswer, ChangeRequest
from fuchsiarill.cluster.config_distribution import ChangeConfig, GetDocument
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.member_table import Member
from fuchsiarill.cluster.membership import GetView
from fuchsiarill.front.replies import (
    RETRY_AFTER_MS,
    HttpReply,
    refusal_reply,
)
from fuchsiarill.front.routes import Access, HttpRequest, route
from fuchsiarill.front.submissions import invalid_body_refusal
from fuchsiarill.ids import Generation, ProcessId
from fuchsiarill.process_messages import ForwardDump, GetHosts
from fuchsiarill.refusal import refuse

if TYPE_CHECKING:
    from fuchsiarill.front.http_front import HttpFront


_NAME_MAX_LENGTH: Final = 200


class _Change(BaseModel):
    """Body of a request to change the configuration."""

    model_config = ConfigDict(extra='forbid')

    text: str
    expected_generation: Annotated[int, Field(ge=0)]
    author: Annotated[str, Field(min_length=1, max_length=_NAME_MAX_LENGTH)]


@route('GET', '/v1/config', Access.OPERATOR)
def show_config(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the configuration document in force in this process."""
    document: ConfigDocument = front.ask(front.receivers.config, GetDocument)
    return HttpReply(
        HTTPStatus.OK,
        {
            'generation': document.generation,
            'author': document.author,
            'text': document.text,
        },
    )


@route('PUT', '/v1/config', Access.OPERATOR)
def change_config(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Write the next generation if the store still holds the expected one."""
    try:
        change = _Change.model_validate_json(request.body, strict=True)
    except ValidationError as invalid:
        return refusal_reply(invalid_body_refusal(invalid))
    change_request = ChangeRequest(
        change.text,
        Generation(change.expected_generation),
        change.author,
    )
    answer: ChangeAnswer = front.ask(
        front.receivers.config,
        lambda reply: ChangeConfig(change_request, reply),
    )
    return HttpReply(answer.code.http_status, _change_body(answer))


@route('GET', '/v1/config/spread', Access.OPERATOR)
def show_spread(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the generation in force in each process."""
    rows = [
        {
            'process': row['process'],
            'generation': row['generation'],
            'reachable': row['reachable'],
        }
        for row in _member_rows(front)
    ]
    return HttpReply(HTTPStatus.OK, {'processes': rows})


@route('GET', '/v1/status', Access.OPERATOR)
def show_status(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return one row for each process in the membership view."""
    return HttpReply(HTTPStatus.OK, {'processes': _member_rows(front)})


@route('GET', '/v1/hosts', Access.OPERATOR)
def show_hosts(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the host list as this process reads it now."""
    hosts = front.ask(front.receivers.process, GetHosts)
    if hosts is None:
        return refusal_reply(
            refuse(
                codes.STORE_UNAVAILABLE,
                texts.HOST_LIST_SILENT,
                retry_after_ms=RETRY_AFTER_MS,
            ),
        )
    return HttpReply(HTTPStatus.OK, {'hosts': hosts})


@route('GET', '/v1/dump', Access.OPERATOR, 'process')
def dump(front: 'HttpFront', request: HttpRequest) -> HttpReply:
    """Return the state of every actor of this or another process."""
    process_name = request.query.get('process')
    answer = front.ask(
        front.receivers.process,
        lambda reply: ForwardDump(
            None if process_name is None else ProcessId(process_name),
            reply,
        ),
    )
    match answer:
        case Success(state):
            return HttpReply(HTTPStatus.OK, json.loads(state))
        case Failure(refusal):
            return refusal_reply(refusal)
    raise AssertionError(texts.NO_RESULT)


def _change_body(answer: ChangeAnswer) -> dict[str, Any]:
    body: dict[str, Any] = {
        'code': answer.code.number,
        'name': answer.code.name,
    }
    if answer.document is not None:
        body['generation'] = answer.document.generation
        body['author'] = answer.document.author
    if answer.code is codes.CONFIG_CONFLICT and answer.document is not None:
        body['document'] = answer.document.text
    if answer.problems:
        first = answer.problems[0]
        body['text'] = first.text
        body['field'] = first.field
        body['retry_after_ms'] = first.retry_after_ms
        body['problems'] = [problem.text for problem in answer.problems]
    return body


def _member_rows(front: 'HttpFront') -> list[dict[str, Any]]:
    members = front.ask(front.receivers.membership, GetView)
    return [_member_row(member) for member in members]


def _member_row(member: Member) -> dict[str, Any]:
    detail = member.detail
    return {
        'process': detail.process,
        'region': detail.region,
        'failure_domain': detail.failure_domain,
        'state': detail.state.value,
        'reachable': member.reachable,
        'generation': member.beat.generation,
        'load_permille': member.beat.load_permille,
        'partitions': list(detail.partitions),
        'address': detail.address,
    }
