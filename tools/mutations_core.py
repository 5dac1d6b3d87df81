"""Mutations that disable decisions of `fuchsiarill/core/`."""

from typing import Any, Final
from unittest import mock

from fuchsiarill.core import (
    admission,
    hosts,
    leases,
    ledger,
    ordering,
    partition,
    preemption,
    probation,
    sizes,
    starting,
)
from fuchsiarill.resources import Resources
from fuchsiarill.workers import HostState
from tools.mutation import Patch, mutation

_ORIGINAL_EXPIRE_LEASES: Final = leases.expire_leases
_ORIGINAL_SUBMIT: Final = partition.PartitionCore.submit


@mutation(
    'waiting for the task lease of a lost host',
    'i2_costing_run_waits_for_the_lease_of_a_lost_host',
)
def _no_lease_wait() -> tuple[Patch, ...]:
    return (mock.patch.object(partition, 'expire_leases', _expire_at_once),)


@mutation(
    'intent before start',
    'owner_crash_and_host_failure_repeat_no_order',
)
def _no_intent() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            starting,
            '_start_when_allowed',
            lambda state, job, attempt, now_ms: starting._start(
                state,
                attempt,
                now_ms,
            ),
        ),
    )


@mutation('reservation of size', 'i1_burst_never_overcommits_a_host')
def _no_size() -> tuple[Patch, ...]:
    tiny = Resources(1, 1, 0, 1)
    return (mock.patch.object(sizes, 'size_of', lambda *_: tiny),)


@mutation('retiring of hosts', 'i6_retiring_host_gets_no_work')
def _no_retiring() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            hosts,
            'HostState',
            mock.Mock(LIVE=HostState.LIVE, LEAVING=None),
        ),
    )


@mutation('probation', 'worker_fails_all_and_wrong_declarations')
def _no_probation() -> tuple[Patch, ...]:
    return (mock.patch.object(probation, '_attribute_failure', _do_nothing),)


@mutation('urgent first', 'frostwick_urgent_costing_starts_in_a_full_cell')
def _no_urgency() -> tuple[Patch, ...]:
    return (
        mock.patch.object(ordering, 'is_owed_urgently', _return_false),
        mock.patch.object(
            ordering,
            '_urgent_then_oldest',
            ordering._oldest,
        ),
    )


@mutation('preemption', 'frostwick_guarantee_holds_in_a_full_cell')
def _no_preemption() -> tuple[Patch, ...]:
    return (mock.patch.object(preemption, '_victims', _no_victims),)


@mutation('refusal of what can never fit', 'i4_refused_job_never_ran')
def _no_never_fits() -> tuple[Patch, ...]:
    return (mock.patch.object(admission, '_CHECKS_IN_ORDER', ('rate',)),)


@mutation(
    'waiting for task leases after a takeover',
    'takeover_waits_for_leases_of_unreachable_hosts',
)
def _no_takeover_wait() -> tuple[Patch, ...]:
    return (mock.patch.object(ledger, 'lapse_bound_ms', lambda _: 0),)


@mutation('deduplication by key', 'repeated_submission_is_the_same_job')
def _no_deduplication() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            partition.PartitionCore,
            'submit',
            lambda core, spec, now_ms: (
                core.state.job_by_key.clear(),
                _ORIGINAL_SUBMIT(core, spec, now_ms),
            )[1],
        ),
    )


def _return_false(*_arguments: object) -> bool:
    return False


def _do_nothing(*_arguments: object) -> None:
    """Takes the place of a function whose effect is disabled."""


def _no_victims(*_arguments: object) -> tuple[()]:
    return ()


def _expire_at_once(state: Any, now_ms: int) -> None:
    for attempt_id in tuple(state.unrenewed):
        state.attempts[attempt_id].lease_ends_at_ms = now_ms
    _ORIGINAL_EXPIRE_LEASES(state, now_ms)
