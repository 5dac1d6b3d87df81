"""Log of the reasons for which steps wait."""

from typing import Any

from fuchsiarill import events, graph_events
from fuchsiarill.graphs.model import Step
from fuchsiarill.ids import JobId
from fuchsiarill.log_event import LogEvent
from tests.graph_owner import ADVISED, CAPACITY, SIZE, Owner

_BLOCKED_MS = 3000


class _Lines:
    """Collects the fields of the lines that would be logged."""

    def __init__(self) -> None:
        self.fields: list[dict[str, Any]] = []

    def emit(self, event: LogEvent, **fields: Any) -> None:
        if event is graph_events.STEP_BLOCKED:
            event.template.format(**fields)
            self.fields.append(fields)


def _collect_lines(monkeypatch: Any) -> _Lines:
    lines = _Lines()
    monkeypatch.setattr(events, 'emit', lines.emit)
    return lines


def test_step_without_an_answer_names_the_pending_request(
    monkeypatch: Any,
) -> None:
    """Guards against a long wait whose cause no log line tells."""
    lines = _collect_lines(monkeypatch)
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('a', Step(1, SIZE), queue=ADVISED)
    owner.decide()
    requested_ms = owner.now_ms
    owner.now_ms += _BLOCKED_MS
    owner.decide()
    owner.decide()
    assert len(lines.fields) == 1
    fields = lines.fields[0]
    assert fields['job'] == JobId('a')
    assert fields['ready'] == fields['unreserved'] == 1
    assert fields['ticketed'] == fields['denied'] == 0
    assert fields['advice_pending_ms'] == owner.now_ms - 10 - requested_ms


def test_step_whose_workers_are_full_is_reported_once_an_interval(
    monkeypatch: Any,
) -> None:
    """Guards against a line for each tick of a step that waits for room."""
    lines = _collect_lines(monkeypatch)
    owner = Owner('w0')
    owner.report('w0')
    owner.add_job('full', Step(1, CAPACITY))
    assert len(owner.starts()) == 1
    owner.add_job('a', Step(1, SIZE))
    for _ in range(12):
        owner.now_ms += _BLOCKED_MS // 5
        owner.decide()
    assert [fields['job'] for fields in lines.fields] == ['a', 'a']
    assert lines.fields[0]['with_room'] == 0


def test_started_step_is_not_reported(monkeypatch: Any) -> None:
    """Guards against a line for a step that got a worker in the meantime."""
    lines = _collect_lines(monkeypatch)
    owner = Owner('w0')
    owner.add_job('a', Step(1, SIZE))
    assert not owner.starts()
    owner.report('w0')
    assert len(owner.starts()) == 1
    owner.now_ms += _BLOCKED_MS
    owner.decide()
    assert not lines.fields
