"""Switches off one mechanism at a time and shows which trace notices.

A mutation patches the loaded code in memory; the trace that is meant for the
mechanism must then have an unmet outcome that it meets otherwise.
"""

import sys
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from unittest import mock

from loguru import logger

from fuchsiarill.core import (
    admission,
    deciding,
    hosts,
    leases,
    ordering,
    partition,
    probation,
    reclaim,
    starting,
)
from fuchsiarill.registry import Registry
from fuchsiarill.replay.fake_workers import FakeWorker
from fuchsiarill.replay.runner import replay
from fuchsiarill.replay.trace import load_trace
from fuchsiarill.resources import Resources
from fuchsiarill.workers import HostState

_TRACES: Final = Path(__file__).parents[1] / 'traces'

Patch = AbstractContextManager[Any]


@dataclass(frozen=True, slots=True)
class Mutation:
    """Patches that switch a mechanism off, and the trace meant for it."""

    trace: str
    patches: Callable[[], tuple[Patch, ...]]


MUTATIONS: Final[Registry[str, Mutation]] = Registry('mutations')


def mutation(
    name: str,
    trace: str,
) -> Callable[
    [Callable[[], tuple[Patch, ...]]],
    Callable[[], tuple[Patch, ...]],
]:
    """Register the patches of a mutation."""

    def decorator(
        patches: Callable[[], tuple[Patch, ...]],
    ) -> Callable[[], tuple[Patch, ...]]:
        MUTATIONS.register(name)(Mutation(trace, patches))
        return patches

    return decorator


@mutation("the worker's epoch check", 'owner_cut_off_from_the_store')
def _no_epoch_check() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeWorker, '_is_stale', _never),)


@mutation('start_before', 'owner_paused_and_worker_cut_off')
def _no_start_before() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeWorker, '_is_late', _never),)


@mutation(
    'waiting for the task lease of a lost host',
    'i2_costing_run_waits_for_the_lease_of_a_lost_host',
)
def _no_lease_wait() -> tuple[Patch, ...]:
    return (mock.patch.object(partition, 'lapse', _lapse_at_once),)


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
    return (mock.patch.object(deciding, 'size_of', lambda *_: tiny),)


@mutation('retiring of hosts', 'i6_retiring_host_gets_no_work')
def _no_retiring() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            hosts,
            'HostState',
            mock.Mock(LIVE=HostState.LIVE, LEAVING=None),
        ),
    )


@mutation('probation', 'worker_that_fails_everything_is_put_on_probation')
def _no_probation() -> tuple[Patch, ...]:
    return (mock.patch.object(probation, '_strike', _nothing),)


@mutation('urgent first', 'frostwick_urgent_costing_starts_in_a_full_cell')
def _no_urgency() -> tuple[Patch, ...]:
    return (
        mock.patch.object(ordering, 'is_owed_urgently', _never),
        mock.patch.object(
            ordering,
            '_urgent_then_oldest',
            ordering._oldest,
        ),
    )


@mutation('preemption', 'frostwick_guarantee_holds_in_a_full_cell')
def _no_preemption() -> tuple[Patch, ...]:
    return (mock.patch.object(reclaim, '_victims', _no_victims),)


@mutation('refusal of what can never fit', 'i4_refused_job_never_ran')
def _no_never_fits() -> tuple[Patch, ...]:
    return (mock.patch.object(admission, '_CHECKS_IN_ORDER', ('rate',)),)


def _never(*_arguments: object) -> bool:
    return False


def _nothing(*_arguments: object) -> None:
    """Does nothing."""


def _no_victims(*_arguments: object) -> tuple[()]:
    return ()


def _lapse_at_once(state: Any, now_ms: int) -> None:
    for attempt_id in tuple(state.unrenewed):
        state.attempts[attempt_id].lease_ends_at_ms = now_ms
    _LAPSE(state, now_ms)


_LAPSE: Final = leases.lapse


def main() -> int:
    """Print the table; returns 1 if a mutation goes unnoticed."""
    logger.remove()
    is_unnoticed = False
    for name in MUTATIONS:
        mutated = MUTATIONS.lookup(name)
        trace = load_trace(_TRACES / f'{mutated.trace}.yaml').unwrap()
        before = {found.outcome for found in replay(trace).unmet}
        with ExitStack() as stack:
            for patch in mutated.patches():
                stack.enter_context(patch)
            after = {found.outcome for found in replay(trace).unmet}
        noticed = sorted(after - before)
        is_unnoticed = is_unnoticed or not noticed
        verdict = f'red: {", ".join(noticed)}' if noticed else 'not red'
        print(f'{name} | {mutated.trace} | {verdict}')
    return int(is_unnoticed)


if __name__ == '__main__':
    sys.exit(main())
