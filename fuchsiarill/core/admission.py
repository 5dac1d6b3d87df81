"""Admission of submissions.

Checks the contract, ownership, quota, size, queue length and rate. A job that
can never run is refused at once, with the field that exceeds its limit. The
sizes of the workers are known from the host list; until the list has been read,
no job is refused because no worker is large enough.
"""

from collections.abc import Callable, Iterator
from typing import Final

from fuchsiarill import codes, texts
from fuchsiarill.core.accounts import Account
from fuchsiarill.core.rate_limit import take_token
from fuchsiarill.core.sizes import total_copies_count
from fuchsiarill.core.state import CoreState
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.registry import Registry
from fuchsiarill.resources import Resources

AdmissionCheck = Callable[[CoreState, Account, JobSpec, int], Refusal | None]

# The checks run in this order. The rate comes last, so that only accepted
# submissions use up tokens.
_CHECKS_IN_ORDER: Final = (
    'ownership',
    'quota',
    'task_size',
    'gang_size',
    'queue',
    'rate',
)
ADMISSION_CHECKS: Final[Registry[str, AdmissionCheck]] = Registry(
    'admission checks'
)
_FIELDS: Final = (
    'processors_milli',
    'memory_mb',
    'accelerators_count',
    'slots_count',
)
# Delays after which a client may repeat a refused submission.
_QUEUE_RETRY_MS: Final = 2_000
_STORE_RETRY_MS: Final = 2_000


def admit(
    state: CoreState,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    """Return the refusal of a submission, or `None` if it is accepted.

    An accepted submission takes a token of the customer's rate limit.
    """
    account = state.accounts.get(spec.customer)
    if account is None or account.contract is None:
        return refuse(
            codes.UNKNOWN_CUSTOMER,
            texts.UNKNOWN_CUSTOMER,
            field='customer',
            customer=spec.customer,
        )
    for name in _CHECKS_IN_ORDER:
        refusal = ADMISSION_CHECKS.lookup(name)(state, account, spec, now_ms)
        if refusal is not None:
            return refusal
    return None


def may_start_while_restricted(state: CoreState, spec: JobSpec) -> bool:
    """Tell whether a job may start while ownership is not confirmed."""
    return (
        spec.urgency is Urgency.URGENT
        and spec.execution is Execution.IDEMPOTENT
    )


@ADMISSION_CHECKS.register('ownership')
def _check_ownership(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    if not state.restricted:
        return None
    contract = account.contract
    may_be_volatile = contract is not None and contract.volatile_accept
    if may_be_volatile and may_start_while_restricted(state, spec):
        return None
    return refuse(
        codes.STORE_UNAVAILABLE,
        texts.STORE_UNAVAILABLE,
        retry_after_ms=_STORE_RETRY_MS,
    )


@ADMISSION_CHECKS.register('quota')
def _check_quota(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    size_at_once = spec.task_size
    if spec.workload is not Workload.BATCH:
        size_at_once = size_at_once.times(spec.tasks_count)
    excess = first_excess(size_at_once, account.quota)
    if excess is None:
        return None
    return refuse(
        codes.NEVER_FITS,
        texts.QUOTA_NEVER_FITS,
        field=excess[0],
        wanted=excess[1],
        largest=excess[2],
    )


@ADMISSION_CHECKS.register('task_size')
def _check_task_size(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    if not state.hosts_read:
        return None
    size = spec.task_size
    if any(size.fits_in(capacity) for capacity in state.capacities):
        return None
    field, wanted, largest = _find_shortage(state, size)
    return refuse(
        codes.NEVER_FITS,
        texts.TASK_NEVER_FITS,
        field=field,
        partition=state.partition,
        wanted=wanted,
        largest=largest,
    )


@ADMISSION_CHECKS.register('gang_size')
def _check_gang_size(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    if not state.hosts_read or spec.workload is not Workload.GANG:
        return None
    copies_count = total_copies_count(state, spec.task_size)
    if copies_count >= spec.tasks_count:
        return None
    return refuse(
        codes.NEVER_FITS,
        texts.GANG_NEVER_FITS,
        field='tasks_count',
        partition=state.partition,
        wanted=spec.tasks_count,
        largest=copies_count,
    )


@ADMISSION_CHECKS.register('queue')
def _check_queue(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    contract = account.contract
    if contract is None:
        return None
    waiting_count = account.waiting_count + account.accepting_count
    if waiting_count < contract.waiting_jobs_max_count:
        return None
    return refuse(
        codes.QUEUE_FULL,
        texts.QUEUE_FULL,
        retry_after_ms=_QUEUE_RETRY_MS,
        customer=spec.customer,
        queued=waiting_count,
    )


@ADMISSION_CHECKS.register('rate')
def _check_rate(
    state: CoreState,
    account: Account,
    spec: JobSpec,
    now_ms: int,
) -> Refusal | None:
    return take_token(account, now_ms)


def first_excess(
    wanted: Resources,
    limit: Resources,
) -> tuple[str, int, int] | None:
    """Return the first field above its limit, the amount and the limit."""
    if wanted.fits_in(limit):
        return None
    return next(excesses(wanted, limit), None)


def excesses(
    wanted: Resources,
    limit: Resources,
) -> Iterator[tuple[str, int, int]]:
    """Yield every field above its limit, the amount and the limit."""
    rows = zip(_FIELDS, wanted.as_tuple(), limit.as_tuple(), strict=True)
    for field, amount, largest in rows:
        if amount > largest:
            yield field, amount, largest


def _find_shortage(state: CoreState, size: Resources) -> tuple[str, int, int]:
    """Return the field to name in a refusal, the amount and the limit.

    If an amount exceeds that of every worker, its field is named; otherwise a
    field that does not fit the worker on which the fewest fields do not fit.
    """
    largest = Resources(
        *(
            max(amounts, default=0)
            for amounts in zip(
                *(capacity.as_tuple() for capacity in state.capacities),
                strict=True,
            )
        ),
    )
    excess = first_excess(size, largest)
    if excess is not None:
        return excess
    # Each amount fits some worker, but no worker fits all of them.
    nearest_capacity = max(
        state.capacities,
        key=lambda capacity: -len(list(excesses(size, capacity))),
    )
    return next(excesses(size, nearest_capacity))
