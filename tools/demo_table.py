"""The table that the demo prints, and its last line."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from fuchsiarill.ids import TaskId
from tools.caller import JobNote
from tools.tally import Fate, Run, Tally

_COLUMNS: Final = (
    Fate.FINISHED,
    Fate.CANCELLED,
    Fate.REFUSED,
    Fate.LOST,
    Fate.UNANSWERED,
)


def job_rows(notes: Iterable[JobNote], counted: Tally) -> list[str]:
    """Return one row for each class of jobs with its fates."""
    by_class: dict[str, Counter[Fate]] = {}
    for note in notes:
        fate = counted.fate_of[note.body['idempotency_key']]
        by_class.setdefault(note.body['job_class'], Counter())[fate] += 1
    titles = ''.join(f'{fate.value:>11}' for fate in _COLUMNS)
    rows = [f'{"jobs":<24}{"submitted":>10}{titles}']
    for job_class in sorted(by_class):
        fates = by_class[job_class]
        amounts = ''.join(f'{fates[fate]:>11}' for fate in _COLUMNS)
        rows.append(f'{job_class:<24}{fates.total():>10}{amounts}')
    return rows


def wait_row(
    urgency: str,
    notes: Iterable[JobNote],
    runs: dict[TaskId, list[Run]],
) -> str:
    """Return the times from sending a job to the start of its first task."""
    waits = []
    for note in notes:
        first = runs.get(TaskId(f'{note.job_id}/0'))
        if first and note.body.get('urgency', 'normal') == urgency:
            waits.append(max(0, first[0].started_at_ms - note.sent_at_ms))
    if not waits:
        return f'{urgency} jobs: none started'
    waits.sort()
    middle = waits[len(waits) // 2]
    return f'{urgency} jobs waited {middle} ms (median), {waits[-1]} ms (most)'


def takeover_ms(
    runs: dict[TaskId, list[Run]],
    killed_at_ms: int,
) -> int | None:
    """Return the time from the kill to the first start of a next owner."""
    all_runs = [run for of_task in runs.values() for run in of_task]
    last_epoch = max(
        (run.epoch for run in all_runs if run.started_at_ms <= killed_at_ms),
        default=0,
    )
    placed_at_ms = min(
        (run.started_at_ms for run in all_runs if run.epoch > last_epoch),
        default=None,
    )
    return None if placed_at_ms is None else placed_at_ms - killed_at_ms


def takeover_row(runs: dict[TaskId, list[Run]], killed_at_ms: int) -> str:
    """Return how long nothing was placed after the owner was killed."""
    pause_ms = takeover_ms(runs, killed_at_ms)
    if pause_ms is None:
        return 'nothing was placed after the owner was killed'
    return f'the next owner placed a task {pause_ms} ms after the kill'


def fault_rows(counted: Tally) -> list[str]:
    """Return what was done wrong, and real use beyond capacity."""
    rows = [
        f'workers whose real use went beyond capacity: '
        f'{len(counted.really_exceeded)}; by the sizes at the start of tasks: '
        f'{len(counted.first_reserved_exceeded)}',
    ]
    for title, found in (
        ('doubled task', counted.doubled),
        ('overcommitted worker', counted.overcommitted),
        ('refused job that ran', counted.ran_though_refused),
        ('cancelled job that runs', counted.running_though_cancelled),
    ):
        rows.extend(f'{title}: {name}' for name in found)
    rows.extend(
        f'lost job: {key}'
        for key, fate in counted.fate_of.items()
        if fate is Fate.LOST
    )
    return rows


def last_line(counted: Tally) -> str:
    """Return the line that scripts read."""
    fates = counted.fates
    return (
        f'demo: submitted={counted.submitted_count} '
        f'finished={fates[Fate.FINISHED]} '
        f'cancelled={fates[Fate.CANCELLED]} '
        f'refused={fates[Fate.REFUSED]} '
        f'lost={fates[Fate.LOST]} '
        f'doubled={len(counted.doubled)} '
        f'overcommitted={len(counted.overcommitted)}'
    )
