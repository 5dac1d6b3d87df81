"""Reserves workers with accelerators for the jobs that need them.

While such a job waits, other jobs use these workers only within the guarantee
of their customer, urgent jobs also within its weighted share: each slot that
they occupy may leave an accelerator without a slot.
"""

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.quotas import is_guaranteed, is_owed_urgently
from fuchsiarill.core.state import CoreState
from fuchsiarill.resources import Resources


def accelerator_jobs_wait(state: CoreState) -> bool:
    """Tell whether a job that needs accelerators waits for capacity."""
    if any(size.accelerators_count for size in state.unplaceable_sizes):
        return True
    return any(
        group.spec.task_size.accelerators_count for group in state.blocked_gangs
    )


def may_use_accelerated(
    state: CoreState,
    account: Account,
    size: Resources,
    urgent: bool,
) -> bool:
    """Tell whether a task may use a worker with accelerators now."""
    if size.accelerators_count or not accelerator_jobs_wait(state):
        return True
    if urgent and is_owed_urgently(state, account, size):
        return True
    return is_guaranteed(account, size)
