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
# More processors than any worker has, so that the job is refused.
_OVERSIZED_MILLI: Final = 9_000_000


@dataclass(frozen=True, slots=True)
class DemoCustomer:
    """Parameters of the jobs of one customer."""

    prefix: str
    accelerators_count: int
    seed: int


def make_jobs(customer: DemoCustomer) -> list[dict[str, Any]]:
    """Return the jobs in the order of their submission: services first."""
    random_source = random.Random(customer.seed)
    jobs = [
        *(
            _batch(customer, random_source, number)
            for number in range(_BATCH_COUNT)
        ),
        *(
            _at_most_once(customer, random_source, number)
            for number in range(_AT_MOST_ONCE_COUNT)
        ),
        *(
            _urgent(customer, random_source, number)
            for number in range(_URGENT_COUNT)
        ),
        *(
            _gang(customer, random_source, number)
            for number in range(_GANGS_COUNT)
        ),
    ]
    random_source.shuffle(jobs)
    services = [
        _service(customer, random_source, number)
        for number in range(_SERVICES_COUNT)
    ]
    return [*services, _oversized(customer), *jobs]


def _batch(
    customer: DemoCustomer, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(customer, f'batch-{number}', random_source) | {
        'tasks_count': random_source.randint(1, 3),
        'run_time_ms': random_source.randint(300, 1500),
    }


def _at_most_once(
    customer: DemoCustomer, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(customer, f'order-{number}', random_source) | {
        'execution': 'at_most_once',
        'run_time_ms': random_source.randint(300, 1000),
    }


def _urgent(
    customer: DemoCustomer, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(customer, f'alert-{number}', random_source) | {
        'urgency': 'urgent',
        'run_time_ms': random_source.randint(100, 300),
    }


def _gang(
    customer: DemoCustomer, random_source: random.Random, number: int
) -> dict[str, Any]:
    accelerators_count = min(customer.accelerators_count, 1)
    return _job(
        customer, f'gang-{number}', random_source, accelerators_count
    ) | {
        'workload': 'gang',
        'tasks_count': random_source.randint(3, 6),
        'run_time_ms': random_source.randint(800, 2000),
    }


def _service(
    customer: DemoCustomer, random_source: random.Random, number: int
) -> dict[str, Any]:
    return _job(customer, f'watch-{number}', random_source) | {
        'workload': 'service',
        'tasks_count': random_source.randint(1, 3),
    }


def _oversized(customer: DemoCustomer) -> dict[str, Any]:
    return _job(customer, 'oversized-0', random.Random(0)) | {
        'task_size': {'processors_milli': _OVERSIZED_MILLI, 'memory_mb': 1},
    }


def _job(
    customer: DemoCustomer,
    name: str,
    random_source: random.Random,
    accelerators_count: int = 0,
) -> dict[str, Any]:
    size = {
        'processors_milli': random_source.choice((500, 1000, 2000, 3000)),
        'memory_mb': random_source.choice((512, 1024, 2048)),
        'accelerators_count': accelerators_count,
    }
    job_class = f'{customer.prefix}-{name.partition("-")[0]}'
    return {
        'idempotency_key': f'{customer.prefix}-{name}',
        'job_class': job_class,
        'task_size': size,
        'payload': json.dumps({'class': job_class, 'declared': size}),
    }
