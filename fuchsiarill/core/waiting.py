"""The waiting jobs: enter, leave, get blocked and become ready again."""

from fuchsiarill.core.accounts import Account, Group, Obstacle, group_key_of
from fuchsiarill.core.ordering import ordering_of
from fuchsiarill.core.quotas import account_of
from fuchsiarill.core.state import CoreState
from fuchsiarill.core.worker_view import WorkerView
from fuchsiarill.job import JobRecord
from fuchsiarill.resources import NOTHING, Resources


def enqueue(state: CoreState, job: JobRecord) -> None:
    """Let a job wait for placement; a repeated call changes nothing.

    A job without a task that waits is left out.
    """
    if not job.waiting:
        return
    if job.job_id in state.group_keys:
        return
    account = account_of(state, job.spec.customer)
    key = group_key_of(job.spec, bool(job.failed_on))
    group = account.groups.get(key)
    if group is None:
        group = Group(account.customer, job.spec)
        account.groups[key] = group
    state.group_keys[job.job_id] = key
    account.waiting_count += 1
    group.jobs[job.job_id] = job.order
    last_order = next(reversed(group.jobs.values()))
    if job.order < last_order or _is_older(group, job):
        group.jobs.move_to_end(job.job_id, last=False)
    if group.obstacle is None:
        account.ready[group] = None
    reorder(state, account)


def dequeue(state: CoreState, job: JobRecord) -> None:
    """Take a job out, if it waits."""
    key = state.group_keys.pop(job.job_id, None)
    if key is None:
        return
    account = state.accounts[job.spec.customer]
    group = account.groups[key]
    group.jobs.pop(job.job_id)
    account.waiting_count -= 1
    if not group.jobs:
        _clear_obstacle(state, group)
        account.ready.pop(group, None)
        account.groups.pop(key)
    reorder(state, account)


def block(
    state: CoreState,
    account: Account,
    group: Group,
    obstacle: Obstacle,
    size: Resources = NOTHING,
) -> None:
    """Set a group aside until `obstacle` may have gone."""
    group.obstacle = obstacle
    account.ready.pop(group, None)
    if obstacle is Obstacle.ROOM:
        group.blocked_size = size
        if group.is_gang:
            state.blocked_gangs[group] = None
        else:
            state.blocked.setdefault(size, {})[group] = None
    reorder(state, account)


def unblock(state: CoreState, account: Account, group: Group) -> None:
    """Make a blocked group ready again."""
    if group.obstacle is None:
        return
    _clear_obstacle(state, group)
    account.ready[group] = None
    reorder(state, account)


def unblock_all(state: CoreState) -> None:
    """Make every group ready again, as after a change of configuration."""
    state.no_room_for.clear()
    for account in state.accounts.values():
        for group in account.groups.values():
            unblock(state, account, group)
        reorder(state, account)


def unblock_account(state: CoreState, account: Account) -> None:
    """Make the groups ready that waited for the quota of their customer."""
    for group in account.groups.values():
        if group.obstacle is Obstacle.QUOTA:
            unblock(state, account, group)


def wake_for(state: CoreState, worker: WorkerView) -> None:
    """Make the groups ready that fit into what a worker has free."""
    free = worker.free
    state.no_room_for = [
        size for size in state.no_room_for if not size.fits_in(free)
    ]
    fitting = [size for size in state.blocked if size.fits_in(free)]
    for size in fitting:
        for group in tuple(state.blocked.get(size, ())):
            unblock(state, state.accounts[group.customer], group)


def reorder(state: CoreState, account: Account) -> None:
    """Give an account its rank among those with ready groups."""
    rank = None
    if account.ready:
        ordering = ordering_of(state)
        rank = ordering.rank(state, account, ordering.group(account))
    if rank == account.rank:
        return
    if account.rank is not None:
        state.order.remove((account.rank, account.customer))
    account.rank = rank
    if rank is not None:
        state.order.add((rank, account.customer))


def _clear_obstacle(state: CoreState, group: Group) -> None:
    group.obstacle = None
    state.blocked_gangs.pop(group, None)
    alike = state.blocked.get(group.blocked_size)
    if alike is None:
        return
    alike.pop(group, None)
    if not alike:
        state.blocked.pop(group.blocked_size)


def _is_older(group: Group, job: JobRecord) -> bool:
    return job.order < group.head_order()


def is_waiting(state: CoreState, job: JobRecord) -> bool:
    """Tell whether a job waits for placement."""
    return job.job_id in state.group_keys
