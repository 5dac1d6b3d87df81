"""Sorts the log lines of one job and states the cause of its outcome."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill import graph_events, texts
from fuchsiarill.log_event import LogEvent

_OBJECT_START: Final = '{'
# Events of a task that is held by a start without an answer.
_HELD_EVENTS: Final = frozenset(
    (graph_events.START_UNANSWERED.number, graph_events.START_EXPIRED.number)
)


@dataclass(slots=True)
class JobHistory:
    """Log lines of a job by time.

    `unreadable_count` is the number of lines that contain the id of the job but
    no valid JSON.
    """

    lines: list[dict[str, Any]] = field(default_factory=list)
    unreadable_count: int = 0


def read_history(job: str, sources: Iterable[Iterable[str]]) -> JobHistory:
    """Collect the lines of a job from the logs of several processes.

    A line may have a prefix, such as a time and the name of a process.
    """
    history = JobHistory()
    for source in sources:
        for text in source:
            _add_line(history, job, text)
    history.lines.sort(key=lambda line: float(line['time']))
    return history


def summarize_outcome(history: JobHistory) -> str:
    """Return a sentence that states the outcome of the job and its cause."""
    by_event = {line['event']: line for line in history.lines}
    end_counts = Counter(
        line.get('kind')
        for line in history.lines
        if _has_event(line, graph_events.RUN_ENDED)
    )
    settled_line = by_event.get(graph_events.GRAPH_SETTLED.number)
    placed_line = _first_line(history, graph_events.RUN_PLACED)
    if settled_line is not None and settled_line['phase'] == 'failed':
        return _summarize_failure(
            by_event.get(graph_events.TASK_GIVEN_UP.number),
            end_counts['failed'],
        )
    if settled_line is not None:
        wait_ms = None if placed_line is None else placed_line['waited_ms']
        return texts.JOB_SETTLED.format(
            wait_ms=wait_ms,
            lost=_count_events(history, graph_events.RUN_LOST),
            failed=end_counts['failed'],
            stopped=end_counts['stopped'],
            **settled_line,
        )
    if graph_events.GRAPH_ACCEPTED.number not in by_event:
        return _summarize_refusal(by_event)
    if placed_line is None:
        return texts.JOB_NOT_PLACED
    unfinished = texts.JOB_UNFINISHED.format(
        placed=_count_events(history, graph_events.RUN_PLACED),
        ended=sum(end_counts.values()),
    )
    return ' '.join((unfinished, *_summarize_held_starts(history)))


def _summarize_held_starts(history: JobHistory) -> list[str]:
    """Tell of each task whose last line is of a start without an answer."""
    last_lines = {
        line['task']: line for line in history.lines if 'task' in line
    }
    return [
        texts.START_HELD.format(**line)
        for line in last_lines.values()
        if line['event'] in _HELD_EVENTS
    ]


def _summarize_refusal(by_event: dict[int, dict[str, Any]]) -> str:
    refused_line = by_event.get(graph_events.GRAPH_REFUSED.number)
    if refused_line is not None:
        return texts.JOB_REFUSED.format(**refused_line)
    refused_line = by_event.get(graph_events.SUBMISSION_REFUSED.number)
    if refused_line is not None:
        return texts.JOB_REFUSED_AT_ONCE.format(**refused_line)
    return texts.JOB_UNSEEN


def _summarize_failure(
    given_up_line: dict[str, Any] | None, failed_count: int
) -> str:
    if given_up_line is not None:
        return texts.JOB_CRASHED_WORKERS.format(**given_up_line)
    return texts.JOB_USED_UP_ATTEMPTS.format(failed=failed_count)


def _add_line(history: JobHistory, job: str, text: str) -> None:
    if job not in text:
        return
    try:
        line = json.loads(text[text.index(_OBJECT_START) :])
    except ValueError:
        history.unreadable_count += 1
        return
    if line.get('job') == job and 'time' in line and 'event' in line:
        history.lines.append(line)


def _has_event(line: dict[str, Any], event: LogEvent) -> bool:
    return bool(line['event'] == event.number)


def _count_events(history: JobHistory, event: LogEvent) -> int:
    return sum(_has_event(line, event) for line in history.lines)


def _first_line(history: JobHistory, event: LogEvent) -> dict[str, Any] | None:
    for line in history.lines:
        if _has_event(line, event):
            return line
    return None
