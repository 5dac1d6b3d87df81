"""Workers with accelerators are kept for the work that needs them.

While such work waits, other work uses them only within what its customer is
owed: each slot that it takes may leave an accelerator without one.
"""

from fuchsiarill.core.accounts import Account
from fuchsiarill.core.quotas import is_guaranteed, is_owed_urgently
from fuchsiarill.core.state import CoreState
from fuchsiarill.resources import Resources


def accelerators_wait(state: CoreState) -> bool:
    """Tell whether a job that needs accelerators waits for room."""
    if any(size.accelerators_count for size in state.roomless_sizes):
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
    if size.accelerators_count or not accelerators_wait(state):
        return True
    if urgent and is_owed_urgently(state, account, size):
        return True
    return is_guaranteed(account, size)
