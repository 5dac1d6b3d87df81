"""Snapshots of learned run times, and what the next owner does with them."""

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from fuchsiarill.actor import Reply
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.graphs import keys, run_time_records
from fuchsiarill.graphs.model import ImageId, QueueId, Step
from fuchsiarill.graphs.pool_loading import PoolLoader
from fuchsiarill.graphs.process import GetDump
from fuchsiarill.graphs.runs import NEVER_MS
from fuchsiarill.graphs.states import JobPhase
from fuchsiarill.ids import CustomerId, ProcessId, Revision, StoreKey, WorkerId
from fuchsiarill.ports.key_value import KvFailure, KvItem
from fuchsiarill.resources import Resources
from fuchsiarill.run_times.run_times import HIGH_SHARE, EndedRun, RunTimes
from fuchsiarill.run_times.snapshot import (
    MAX_BYTES,
    decode_run_times,
    encode_run_times,
)
from standins.store_model import StoreModel, StorePath
from tests.graph_cell import (
    P0,
    POOL,
    QUEUE,
    GraphCell,
    owner_of,
    run_scenario,
)
from tests.graph_owner import Owner
from tools.run_time_trace import KINDS, Trace

_NOW_MS = 600_000
_UNIX_MS = 1_800_000_000_000
_TIMEOUT_MS = 500


def _taught(ends_count: int = 200) -> tuple[RunTimes, Trace]:
    run_times = RunTimes()
    trace = Trace(KINDS[1], 3)
    for _ in range(ends_count):
        run_times.add_success(
            replace(trace.next_task().run, is_remote=ends_count % 2 == 0),
            trace.now_ms,
        )
    return run_times, trace


def _decoded(document: Any) -> RunTimes:
    content = json.dumps(document).encode()
    return decode_run_times(content, _NOW_MS, _UNIX_MS).unwrap()


def test_restored_run_times_expect_the_same() -> None:
    """Guards against a new owner that expects other run times than the last."""
    run_times, trace = _taught()
    content = encode_run_times(run_times, trace.now_ms, _UNIX_MS)
    restored = decode_run_times(content, 0, _UNIX_MS).unwrap()
    for _ in range(50):
        run = trace.sample().run
        for share in (0.5, HIGH_SHARE):
            expected_ms = run_times.quantile_ms(
                share, run.queue, run.step, run.customer
            )
            restored_ms = restored.quantile_ms(
                share, run.queue, run.step, run.customer
            )
            assert restored_ms == pytest.approx(expected_ms, rel=0.03)
        slowness = run_times.slowness(run.worker)
        assert restored.slowness(run.worker) == pytest.approx(
            slowness, rel=0.01
        )


def test_snapshot_is_bounded_in_size() -> None:
    """Guards against a record that grows until the store refuses it."""
    run_times = RunTimes()
    for number in range(2000):
        name = f'a rather long name of one of the many workers {number}'
        step = Step(1, Resources(1, 1), 1000, image=ImageId(f'image {name}'))
        run = EndedRun(
            QueueId(name), step, WorkerId(name), 1000 + number, CustomerId(name)
        )
        for _ in range(5):
            run_times.add_success(replace(run, is_remote=True), number)
    content = encode_run_times(run_times, _NOW_MS, _UNIX_MS)
    assert MAX_BYTES // 2 < len(content) <= MAX_BYTES
    restored = decode_run_times(content, _NOW_MS, _UNIX_MS).unwrap()
    assert restored.is_learned(QueueId(name))


def test_fields_of_other_versions_do_not_matter() -> None:
    """Guards against an upgrade that loses what was learned, or an owner."""
    run_times, trace = _taught()
    document = json.loads(encode_run_times(run_times, trace.now_ms, _UNIX_MS))
    document['new'] = {'nested': [1]}
    for row in document['models']:
        row['new'] = 'x'
        row.pop('estimates_mean')
        row.pop('first')
    document['workers'][0] = {'other': 1}
    document.pop('remote')
    restored = _decoded(document)
    assert restored.is_learned(QueueId(KINDS[1].name))
    assert len(restored.workers.rows) == len(run_times.workers.rows) - 1


_VALUES = st.one_of(st.none(), st.floats(), st.integers(), st.text())
_FIELDS = st.sampled_from(
    'unix_ms models workers remote group origin weight shares first'.split()
)


def _nested(inner: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.one_of(st.lists(inner), st.dictionaries(_FIELDS, inner))


@given(st.recursive(_VALUES, _nested))
def test_damaged_snapshot_raises_nothing(document: Any) -> None:
    """Guards against an owner that fails at its start, each time anew."""
    content = json.dumps(document).encode()
    decoded = decode_run_times(content, _NOW_MS, _UNIX_MS)
    if isinstance(decoded, Success):
        step = Step(1, Resources(1, 1), 1000)
        decoded.unwrap().add(QueueId('q'), step, WorkerId('w'), 1000)


@pytest.mark.parametrize('content', [b'', b'\xff', b'[]', b'{}', b'[' * 9999])
def test_unreadable_snapshot_is_left_out(content: bytes) -> None:
    """Guards against an owner that can't start because of the record."""
    state = Owner('w0').core.state
    item = KvItem(keys.run_times_key(POOL), content, Revision(1))
    run_time_records.restore_run_times(state, item, _NOW_MS)
    assert not state.run_times.models


def test_damaged_numbers_keep_times_in_bounds() -> None:
    """Guards against a run that counts as one that never ends by itself."""
    run_times, trace = _taught()
    document = json.loads(encode_run_times(run_times, trace.now_ms, _UNIX_MS))
    for row in document['models']:
        row.update(origin=40, estimates_mean=-40, time_variance=40)
    run = trace.sample().run
    restored = _decoded(document)
    assert restored.is_learned(run.queue)
    expected_ms = restored.expected_ms(run.queue, run.step, run.customer)
    assert expected_ms < NEVER_MS


def test_snapshot_is_written_seldom_and_only_if_changed() -> None:
    """Guards against a store that is used up by snapshots."""
    state = Owner('w0').core.state
    snapshots = run_time_records.RunTimeSnapshots(state, 0)
    assert not snapshots.take_due(60_000)
    state.run_times.add(QUEUE, Step(1, Resources(1, 1)), WorkerId('w0'), 1000)
    assert snapshots.take_due(60_000)
    assert not snapshots.take_due(70_000)
    state.run_times.add(QUEUE, Step(1, Resources(1, 1)), WorkerId('w0'), 1000)
    assert not snapshots.take_due(64_900)
    assert snapshots.take_due(65_000)


class _WithoutRunTimes(StorePath):
    """A path on which the reads of learned run times fail or take long."""

    def __init__(self, model: StoreModel, duration_ms: int) -> None:
        super().__init__(model)
        self._duration_ms = duration_ms

    async def get(
        self, key: StoreKey, timeout_ms: int
    ) -> Result[KvItem, KvFailure]:
        """Read a key, but for the learned run times."""
        if key != keys.run_times_key(POOL):
            return await super().get(key, timeout_ms)
        await sleep_ms(self._duration_ms)
        return Failure(KvFailure.UNKNOWN)


@pytest.mark.parametrize('duration_ms', [0, 5000])
def test_takeover_does_not_wait_for_run_times(duration_ms: int) -> None:
    """Guards against a takeover that a less important read delays."""

    async def main() -> None:
        path = _WithoutRunTimes(StoreModel(), duration_ms)
        loader = PoolLoader(path, POOL, ProcessId('own'), _TIMEOUT_MS, 1900)
        async with asyncio.timeout(0.2):
            loaded = await loader.load()
        assert loaded.run_times is None
        assert keys.run_times_key(POOL) not in loaded.revisions

    run_paused(main())


def _dumped_queue(dump: Any) -> dict[str, Any]:
    """Return the row of the only queue in the dump of an owner."""
    for actor in dump['actors']:
        if 'core' in actor:
            row: dict[str, Any] = actor['core']['run_times'][0]
            return row
    raise AssertionError('no owner in the dump')


def test_next_owner_knows_the_run_times() -> None:
    """Guards against run times that are learned anew after each takeover."""

    async def scenario(cell: GraphCell) -> None:
        steps = (Step(8, Resources(1000, 1000), 500),)
        await cell.submit(P0, 'a', steps, duration_ms=2000)
        await cell.wait_phase('a', JobPhase.SUCCEEDED, 9000)
        await sleep_ms(6000)
        await cell.kill(owner_of(cell))
        await sleep_ms(4000)
        reply: Reply[dict[str, Any]] = Reply()
        cell.processes[owner_of(cell)].mailbox.send(GetDump(reply))
        row = _dumped_queue(await reply.wait(_TIMEOUT_MS))
        assert row['group'] == f'queue/{QUEUE}'
        assert row['runs_count'] == 8
        assert 1800 < row['expected_ms'] < 2400
        assert b'run_time_error_ratio_count' in cell.metrics.render()

    run_scenario(scenario)
