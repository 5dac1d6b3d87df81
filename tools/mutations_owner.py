"""Mutations of ownership, journal, worker exchanges and configuration."""

from dataclasses import replace
from typing import Any, Final
from unittest import mock

from fuchsiarill.cluster import config_distribution
from fuchsiarill.cluster.config_change import ConfigChange
from fuchsiarill.cluster.config_document import read_document
from fuchsiarill.cluster.store_evidence import StoreEvidence
from fuchsiarill.owner import store_calls, worker_links
from fuchsiarill.owner.campaign import Campaign
from fuchsiarill.ports.store import SwapResult, Versioned
from fuchsiarill.replay.fake_store import FakeStore, StoreCall
from fuchsiarill.replay.fake_workers import FakeWorker
from fuchsiarill.states import ConfigurationEvent
from tools.mutation import Patch, mutation

_ORIGINAL_RENEW: Final = FakeWorker._renew
_ORIGINAL_READ_KEY: Final = store_calls.read_key
_ORIGINAL_SET_DEADLINE: Final = Campaign.set_deadline
_ORIGINAL_SWAP: Final = FakeStore._swap
_ORIGINAL_WRITE_OVER: Final = ConfigChange._write_over
_DEADLINE_EXTENSION_MS: Final = 60_000
_NO_END_MS: Final = 2**62


@mutation("the worker's epoch check", 'workers_refuse_a_stale_owner')
def _no_epoch_check() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeWorker, '_is_stale', _return_false),)


@mutation('start_before', 'owner_paused_and_worker_cut_off')
def _no_start_before() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeWorker, '_is_late', _return_false),)


@mutation('ownership deadline', 'owner_paused_and_worker_cut_off')
def _no_deadline() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            Campaign,
            'set_deadline',
            lambda campaign, requested_at_ms: _ORIGINAL_SET_DEADLINE(
                campaign,
                requested_at_ms + _DEADLINE_EXTENSION_MS,
            ),
        ),
    )


@mutation(
    'evidence of a store outage before renewals go on',
    'isolated_owner_renews_no_lease_for_ever',
)
def _no_evidence() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            StoreEvidence,
            'outage_until_ms',
            lambda evidence: _NO_END_MS,
        ),
    )


@mutation(
    'fence of the log (expected revisions)',
    'log_refuses_a_write_that_was_held',
)
def _no_fence() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeStore, '_swap', _swap_always),)


@mutation(
    'token of a write whose reply was lost',
    'lost_store_reply_repeats_no_write',
)
def _no_token() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            store_calls,
            'read_key',
            _read_without_value,
        ),
    )


@mutation(
    'generations only rise',
    'i8_config_is_in_force_everywhere_and_never_reverts',
)
def _no_generation() -> tuple[Patch, ...]:
    newer = ConfigurationEvent.NEWER_OFFERED
    return (
        mock.patch.object(
            config_distribution,
            'ConfigurationEvent',
            mock.Mock(NEWER_OFFERED=newer, OLDER_OFFERED=newer),
        ),
    )


@mutation(
    "an operator's expected generation", 'racing_operators_get_a_conflict'
)
def _no_expected_generation() -> tuple[Patch, ...]:
    return (mock.patch.object(ConfigChange, '_write_over', _write_over_any),)


@mutation('renewal of task leases', 'store_down_keeps_running_tasks_alive')
def _no_renewals() -> tuple[Patch, ...]:
    return (mock.patch.object(FakeWorker, '_renew', _renew_first_only),)


@mutation('hosts of other partitions', 'i1_two_partitions_share_no_host')
def _no_partition_of_hosts() -> tuple[Patch, ...]:
    return (
        mock.patch.object(
            worker_links, 'partition_of_rack', lambda *_: mock.ANY
        ),
    )


def _return_false(*_arguments: object) -> bool:
    return False


def _swap_always(store: FakeStore, call: StoreCall) -> SwapResult:
    """Swap log keys regardless of the revision that the writer expects."""
    swap = call.argument
    if '/log/' in swap.key:
        swap = replace(swap, expected=store.read(swap.key).revision)
    return _ORIGINAL_SWAP(store, replace(call, argument=swap))


async def _read_without_value(*arguments: Any) -> Versioned | None:
    stored = await _ORIGINAL_READ_KEY(*arguments)
    return None if stored is None else replace(stored, value='')


async def _write_over_any(change: Any, stored: Versioned, config: Any) -> Any:
    """Overwrite the document regardless of its current generation."""
    current = read_document(stored.value).unwrap()
    change._request = replace(
        change._request,
        expected_generation=current.generation,
    )
    return await _ORIGINAL_WRITE_OVER(change, stored, config)


def _renew_first_only(worker: Any, attempt_id: Any, lease_ms: float) -> None:
    """Grant the first lease of a task and ignore renewals."""
    task = worker._attempts.get(attempt_id)
    if task is not None and not task.lease_ends_at_ms:
        _ORIGINAL_RENEW(worker, attempt_id, lease_ms)
