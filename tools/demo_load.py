"""The mixed load of the demo: services, batch and gangs of two customers."""

import json
import random
from dataclasses import dataclass
from typing import Any, Final

_BATCH_COUNT: Final = 60
_AT_MOST_ONCE_COUNT: Final = 20
_URGENT_COUNT: Final = 12
_SERVICES_COUNT: Final = 5
_GANGS_COUNT: Final = 6
# More processors than any worker has, so that it is refused.
_OVERSIZED_MILLI: Final = 9_000_000


@dataclass(frozen=True, slots=True)
class Team:
    """Parameters of the jobs of one customer."""

    prefix: str
    accelerators_count: int
    seed: int


def make_jobs(team: Team) -> list[dict[str, Any]]:
    """Return the jobs in the order of their submission: services first."""
    random_source = random.Random(team.seed)
    jobs = [
        *(
            _batch(team, random_source, number)
            for number in range(_BATCH_COUNT)
        ),
        *(
            _at_most_once(team, random_source, number)
            for number in range(_AT_MOST_ONCE_COUNT)
        ),
        *(
            _urgent(team, random_source, number)
            for number in range(_URGENT_COUNT)
        ),
        *(_gang(team, random_source, number) for number in range(_GANGS_COUNT)),
    ]
    random_source.shuffle(jobs)
    services = [
        _service(team, random_source, number)
        for number in range(_SERVICES_COUNT)
    ]
    return [*services, _oversized(team), *jobs]


def _batch(
    team: Team, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(team, f'batch-{number}', random_source) | {
        'tasks_count': random_source.randint(1, 3),
        'run_time_ms': random_source.randint(300, 1500),
    }


def _at_most_once(
    team: Team, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(team, f'order-{number}', random_source) | {
        'execution': 'at_most_once',
        'run_time_ms': random_source.randint(300, 1000),
    }


def _urgent(
    team: Team, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(team, f'alert-{number}', random_source) | {
        'urgency': 'urgent',
        'run_time_ms': random_source.randint(100, 300),
    }


def _gang(
    team: Team, random_source: random.Random, number: int
) -> dict[str, Any]:
    accelerators_count = min(team.accelerators_count, 1)
    return _job(team, f'gang-{number}', random_source, accelerators_count) | {
        'workload': 'gang',
        'tasks_count': random_source.randint(3, 6),
        'run_time_ms': random_source.randint(800, 2000),
    }


def _service(
    team: Team, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(team, f'watch-{number}', random_source) | {
        'workload': 'service',
        'tasks_count': random_source.randint(1, 3),
    }


def _oversized(team: Team) -> dict[str, Any]:
    return _job(team, 'oversized-0', random.Random(0)) | {
        'task_size': {'processors_milli': _OVERSIZED_MILLI, 'memory_mb': 1},
    }


def _job(
    team: Team,
    name: str,
    random_source: random.Random,
    accelerators_count: int = 0,
) -> dict[str, Any]:
    size = {
        'processors_milli': random_source.choice((500, 1000, 2000, 3000)),
        'memory_mb': random_source.choice((512, 1024, 2048)),
        'accelerators_count': accelerators_count,
    }
    job_class = f'{team.prefix}-{name.partition("-")[0]}'
    return {
        'idempotency_key': f'{team.prefix}-{name}',
        'job_class': job_class,
        'task_size': size,
        'payload': json.dumps({'class': job_class, 'declared': size}),
    }
