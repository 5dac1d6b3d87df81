"""The table that the demo prints, and its last line."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from fuchsiarill.ids import TaskId
from tools.caller import SubmittedJob
from tools.tally import Outcome, Run, Tally

_COLUMNS: Final = (
    Outcome.FINISHED,
    Outcome.CANCELLED,
    Outcome.REFUSED,
    Outcome.LOST,
    Outcome.UNANSWERED,
)


def job_rows(jobs: Iterable[SubmittedJob], counted: Tally) -> list[str]:
    """Return a header and, for each job class, the count of each outcome."""
    by_class: dict[str, Counter[Outcome]] = {}
    for job in jobs:
        outcome = counted.outcome_of[job.body['idempotency_key']]
        by_class.setdefault(job.body['job_class'], Counter())[outcome] += 1
    titles = ''.join(f'{outcome.value:>11}' for outcome in _COLUMNS)
    rows = [f'{"jobs":<24}{"submitted":>10}{titles}']
    for job_class in sorted(by_class):
        outcomes = by_class[job_class]
        counts = ''.join(f'{outcomes[outcome]:>11}' for outcome in _COLUMNS)
        rows.append(f'{job_class:<24}{outcomes.total():>10}{counts}')
    return rows


def wait_row(
    urgency: str,
    jobs: Iterable[SubmittedJob],
    runs: dict[TaskId, list[Run]],
) -> str:
    """Return a row with the times from submission to the first start.

    The row has their median and maximum.
    """
    waits = []
    for job in jobs:
        first = runs.get(TaskId(f'{job.job_id}/0'))
        if first and job.body.get('urgency', 'normal') == urgency:
            waits.append(max(0, first[0].started_at_ms - job.sent_at_ms))
    if not waits:
        return f'{urgency} jobs: none started'
    waits.sort()
    median = waits[len(waits) // 2]
    return (
        f'{urgency} jobs waited {median} ms (median), {waits[-1]} ms (maximum)'
    )


def takeover_ms(
    runs: dict[TaskId, list[Run]],
    killed_at_ms: int,
) -> int | None:
    """Return the time from the kill to the first start in a later epoch.

    Returns `None` when no later owner has started a task.
    """
    all_runs = [run for task_runs in runs.values() for run in task_runs]
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
    """Return a row on the time from the kill to the next start of a task."""
    pause_ms = takeover_ms(runs, killed_at_ms)
    if pause_ms is None:
        return 'nothing was placed after the owner was killed'
    return f'the next owner placed a task {pause_ms} ms after the kill'


def fault_rows(counted: Tally) -> list[str]:
    """Return a row on exceeded capacities, and one for each fault."""
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
        for key, outcome in counted.outcome_of.items()
        if outcome is Outcome.LOST
    )
    return rows


def last_line(counted: Tally) -> str:
    """Return the summary line that scripts parse."""
    outcomes = counted.outcomes
    return (
        f'demo: submitted={counted.submitted_count} '
        f'finished={outcomes[Outcome.FINISHED]} '
        f'cancelled={outcomes[Outcome.CANCELLED]} '
        f'refused={outcomes[Outcome.REFUSED]} '
        f'lost={outcomes[Outcome.LOST]} '
        f'doubled={len(counted.doubled)} '
        f'overcommitted={len(counted.overcommitted)}'
    )
