"""The state of a partition as plain values, for a dump."""

from collections import Counter
from typing import Any

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.sizes import has_evidence
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.resources import Resources


def snapshot(state: CoreState) -> dict[str, Any]:
    """Describe the state; amounts are vectors in the order of `Resources`."""
    return {
        'partition': state.partition,
        'epoch': state.epoch,
        'restricted': state.restricted,
        'total_capacity': _vector(state.total_capacity),
        'jobs': _counts(job.state.value for job in state.jobs.values()),
        'attempts': _counts(
            attempt.state.value for attempt in state.attempts.values()
        ),
        'accounts': [_account(row) for row in state.accounts.values()],
        'workers': [_worker(row) for row in state.workers.values()],
        'reservations': {
            job_id: {
                'starts_at_ms': reservation.starts_at_ms,
                'workers': dict(reservation.counts),
            }
            for job_id, reservation in state.reservations.items()
        },
        'estimates': {
            f'{customer}/{job_class}': {
                'size': _vector(estimate.size),
                'run_time_ms': estimate.run_time_ms,
                'in_use': has_evidence(estimate),
            }
            for (customer, job_class), estimate in state.estimates.items()
        },
    }


def _counts(names: Any) -> dict[str, int]:
    return dict(Counter(names))


def _vector(amounts: Resources) -> list[int]:
    return list(amounts.as_tuple())


def _account(account: Account) -> dict[str, Any]:
    return {
        'customer': account.customer,
        'has_contract': account.contract is not None,
        'held': _vector(account.held),
        'quota': _vector(account.quota),
        'guaranteed': _vector(account.guaranteed),
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


def _worker(worker: WorkerView) -> dict[str, Any]:
    return {
        'worker': worker.worker_id,
        'state': worker.state.value,
        'reserved': _vector(worker.reserved),
        'free': _vector(worker.free),
        'attempts': len(worker.attempts),
        'held_for': list(worker.holds),
        'strikes': worker.strikes_count,
    }
