"""Starts on workers that are gone for good."""

from typing import Any

import pytest

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.effects import StartRun
from fuchsiarill.graphs.model import Step
from fuchsiarill.log_event import LogEvent
from fuchsiarill.ports.agents import AgentFailure
from tests.advised_owner import W0, advice_requests, grant
from tests.graph_owner import ADVISED, SIZE, Owner

_TIMEOUT_MS = 350
_VALID_MS = 2000
_TICK_MS = 200


def _advised_start() -> tuple[Owner, StartRun]:
    """Return an owner and the start that it has sent with a ticket."""
    owner = Owner('w0', 'w1')
    owner.report('w0')
    owner.report('w1')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    advice_requests(owner)
    grant(owner, valid_ms=_VALID_MS)
    starts = owner.starts()
    assert [start.worker for start in starts] == [W0]
    return owner, starts[0]


def _time_out(owner: Owner, start: StartRun) -> None:
    owner.now_ms += _TIMEOUT_MS
    owner.core.start_answered(
        start.worker,
        start.task,
        start.attempt,
        AgentFailure.UNKNOWN,
        owner.now_ms,
    )


def _pass_time(owner: Owner, duration_ms: int) -> None:
    """Let the other worker report and the owner decide meanwhile."""
    until_ms = owner.now_ms + duration_ms
    while owner.now_ms < until_ms:
        owner.now_ms += _TICK_MS
        owner.report('w1')
        owner.decide()


def test_log_names_the_bound_of_an_expired_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that is held with no log line that tells why."""
    lines: list[tuple[LogEvent, dict[str, Any]]] = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    owner, start = _advised_start()
    _time_out(owner, start)
    _pass_time(owner, 30_000)
    by_event = {event: fields for event, fields in lines}
    unanswered = by_event[graph_events.START_UNANSWERED]
    expired = by_event[graph_events.START_EXPIRED]
    assert unanswered['executable_ms'] < expired['held_ms']
    assert expired['held_ms'] < unanswered['held_ms']
    assert graph_events.RUN_LOST in by_event
    assert [fields['job'] for fields in (unanswered, expired)] == ['a', 'a']
