"""The state of a partition as plain values, for the dump of a process."""

from collections import Counter
from typing import Any

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.sizes import has_enough_samples
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.resources import Resources


def dump_state(state: CoreState) -> dict[str, Any]:
    """Describe the state; resources are lists in the order of `Resources`."""
    return {
        'partition': state.partition,
        'epoch': state.epoch,
        'restricted': state.restricted,
        'total_capacity': _list_amounts(state.total_capacity),
        'jobs': _count_by_state(job.state.value for job in state.jobs.values()),
        'attempts': _count_by_state(
            attempt.state.value for attempt in state.attempts.values()
        ),
        'accounts': [
            _describe_account(account) for account in state.accounts.values()
        ],
        'workers': [
            _describe_worker(worker) for worker in state.workers.values()
        ],
        'reservations': {
            job_id: {
                'starts_at_ms': reservation.starts_at_ms,
                'workers': dict(reservation.tasks_count_by_worker),
            }
            for job_id, reservation in state.reservations.items()
        },
        'estimates': {
            f'{customer}/{job_class}': {
                'size': _list_amounts(estimate.size),
                'run_time_ms': estimate.run_time_ms,
                'in_use': has_enough_samples(estimate),
            }
            for (customer, job_class), estimate in state.estimates.items()
        },
    }


def _count_by_state(states: Any) -> dict[str, int]:
    return dict(Counter(states))


def _list_amounts(amounts: Resources) -> list[int]:
    return list(amounts.as_tuple())


def _describe_account(account: Account) -> dict[str, Any]:
    return {
        'customer': account.customer,
        'has_contract': account.contract is not None,
        'held': _list_amounts(account.reserved),
        'quota': _list_amounts(account.quota),
        'guaranteed': _list_amounts(account.guaranteed),
        'waiting': account.waiting_count,
        'groups': [
            {
                'job_class': group.spec.job_class,
                'urgent': group.urgent,
                'jobs': len(group.jobs),
                'obstacle': group.obstacle and group.obstacle.value,
            }
            for group in account.groups.values()
        ],
    }


def _describe_worker(worker: WorkerView) -> dict[str, Any]:
    return {
        'worker': worker.worker_id,
        'state': worker.state.value,
        'reserved': _list_amounts(worker.reserved),
        'free': _list_amounts(worker.free),
        'attempts': len(worker.attempts),
        'held_for': list(worker.holds),
        'strikes': worker.attributed_failures_count,
    }
