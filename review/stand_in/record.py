"""What callers, workers and the operator have seen, in the order of time."""

import time
from dataclasses import dataclass, field
from pathlib import Path

_MS_PER_SECOND = 1000


@dataclass
class Start:
    """A run that a worker has begun on an order."""

    at_ms: int
    worker: str
    task: str
    attempt: int
    ended_ms: int | None = None
    how: str = ''
    acknowledged_ms: int | None = None
    # The worker's lease expired between the end and its acknowledgement.
    is_lapsed: bool = False

    @property
    def name(self) -> str:
        """Return task and attempt."""
        return f'{self.task} run {self.attempt} on {self.worker}'


@dataclass
class Record:
    """Lines for the file `record.txt`, and the runs on all workers."""

    lines: list[str] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    # What the workers have found wrong with single starts, by rule.
    breaks: dict[str, list[str]] = field(default_factory=dict)
    _begun_s: float = field(default_factory=time.monotonic)

    def now_ms(self) -> int:
        """Return the time since the begin of the case."""
        return int((time.monotonic() - self._begun_s) * _MS_PER_SECOND)

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f'{self.now_ms():7} ms  {text}')

    def note_break(self, rule: str, text: str) -> None:
        """Keep a start that breaks a rule."""
        self.breaks.setdefault(rule, []).append(
            f'at {self.now_ms()} ms: {text}'
        )

    def write(self, path: Path) -> None:
        """Write the lines to a file."""
        path.write_text('\n'.join((*self.lines, '')))

    def starts_of(self, job: str) -> list[Start]:
        """Return the runs of a job."""
        return [start for start in self.starts if start.task.startswith(job)]

    def running_count(self, job: str) -> int:
        """Return how many runs of a job are running now."""
        return sum(start.ended_ms is None for start in self.starts_of(job))

    def done_tasks(self, job: str) -> set[str]:
        """Return the tasks of a job of which a run has ended `done`."""
        return {
            start.task for start in self.starts_of(job) if start.how == 'done'
        }


def starts_after_done(starts: list[Start]) -> list[tuple[Start, Start]]:
    """Return the runs that break the rule TWICE, each with the earlier run.

    A run counts if it began after a run of its task had ended `done`, and that
    end was acknowledged, then or later, without a lapse of the worker's lease
    between the two.
    """
    done: dict[str, Start] = {}
    for start in starts:
        if _is_taken_note_of(start):
            done.setdefault(start.task, start)
    return [
        (done[later.task], later)
        for later in starts
        if later.task in done and _is_after(later, done[later.task])
    ]


def _is_taken_note_of(start: Start) -> bool:
    if start.how != 'done' or start.is_lapsed:
        return False
    return start.acknowledged_ms is not None


def _is_after(start: Start, earlier: Start) -> bool:
    if start is earlier or earlier.ended_ms is None:
        return False
    return start.at_ms > earlier.ended_ms
