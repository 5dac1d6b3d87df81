"""Lifecycle of a process: configuration, drain in order, end on an error."""

import asyncio
import sys
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure

from fuchsiarill import daemon
from fuchsiarill.actor import Actor, handles
from fuchsiarill.cell_config import CellConfig, parse_config
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.cluster.membership import LeaveCluster, StateChanged
from fuchsiarill.front.front_actor import StopFront
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner.campaign_messages import CandidatesUpdated
from fuchsiarill.owner.messages import ConfigChanged, HandOver
from fuchsiarill.ports.store import StoreFailure
from fuchsiarill.process import Process, ProcessContext
from fuchsiarill.process_messages import DrainRequested
from fuchsiarill.settings import load_settings
from fuchsiarill.states import ProcessState
from tests.cluster_fakes import FakeCell, FakePeers

_CASES = Path(__file__).with_name('cases')
_CELL = (_CASES / 'cell.yaml').read_text()


class _Recorder(Actor):
    """Replaces all other actors and the host list.

    Records the time at which the first message of each kind arrives.
    """

    def __init__(self, answering: bool = True) -> None:
        super().__init__('recorder')
        self.received_ms: dict[str, int] = {}
        self._answering = answering

    @handles(HandOver)
    async def on_hand_over(self, message: HandOver) -> None:
        self._record_request(message)

    @handles(StopFront)
    async def on_stop(self, message: StopFront) -> None:
        self._record_request(message)

    @handles(LeaveCluster)
    async def on_leave(self, message: LeaveCluster) -> None:
        self._record_request(message)

    @handles(StateChanged)
    async def on_state(self, message: StateChanged) -> None:
        self._record(message.state.value)

    @handles(ConfigChanged)
    async def on_config(self, message: ConfigChanged) -> None:
        self._record('ConfigChanged')

    @handles(CandidatesUpdated)
    async def on_candidates(self, message: CandidatesUpdated) -> None:
        self._record('CandidatesUpdated')

    async def fetch(self) -> Failure[StoreFailure]:
        return Failure(StoreFailure.UNREACHABLE)

    def _record_request(self, message: Any) -> None:
        self._record(type(message).__name__)
        if self._answering:
            message.reply.answer(True)

    def _record(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        self.received_ms.setdefault(name, round(1000 * loop.time()))


def _process(recorder: _Recorder, opened: list[PartitionId]) -> Process:
    settings = load_settings(_CASES / 'settings.yaml').unwrap()

    def open_campaign(partition: PartitionId, config: CellConfig) -> Any:
        opened.append(partition)
        return recorder

    context = ProcessContext(
        recorder.mailbox,
        (recorder,),
        FakePeers(FakeCell(), 'entry-1'),
        recorder,
    )
    process = Process(settings, context, open_campaign)
    process.front = recorder
    return process


def _config() -> ConfigChanged:
    return ConfigChanged(parse_config(_CELL).unwrap())


@pytest.mark.parametrize('answering', [True, False])
def test_drain_takes_its_steps_in_order(answering: bool) -> None:
    """Guards against a drain that never ends, or closes before handing over.

    Without answers each step takes its whole time limit in the settings.
    """

    async def main() -> None:
        recorder = _Recorder(answering)
        opened: list[PartitionId] = []
        process = _process(recorder, opened)
        recorder.start()
        process.start()
        process.mailbox.send(_config())
        await sleep_ms(10)
        assert process.state is ProcessState.SERVING
        process.mailbox.send(DrainRequested())
        process.mailbox.send(DrainRequested())
        await process.ended.wait()
        await sleep_ms(10)
        assert opened == ['rajkot.0']
        assert not process.has_failed
        times = recorder.received_ms
        assert list(times) == [
            'CandidatesUpdated',
            'serving',
            'draining',
            'HandOver',
            'StopFront',
            'LeaveCluster',
            'stopped',
        ]
        assert times['HandOver'] - times['draining'] >= 2_000
        assert times['stopped'] - times['draining'] <= 30_000

    run_paused(main())


def test_new_partition_starts_a_campaign() -> None:
    """Guards against a new partition that has no campaign until a restart."""

    async def main() -> None:
        recorder = _Recorder()
        opened: list[PartitionId] = []
        process = _process(recorder, opened)
        recorder.start()
        process.start()
        moved_cell = _CELL.replace('name: rajkot', 'name: jamnagar', 1)
        moved_cell = moved_cell.replace('region: rajkot', 'region: jamnagar')
        process.mailbox.send(ConfigChanged(parse_config(moved_cell).unwrap()))
        await sleep_ms(10)
        assert not opened
        process.mailbox.send(_config())
        await sleep_ms(10)
        assert opened == ['rajkot.0']

    run_paused(main())


def test_dead_actor_ends_the_process() -> None:
    """Guards against a process that keeps serving without one of its actors."""

    async def main() -> None:
        recorder = _Recorder()
        process = _process(recorder, [])
        recorder.start()
        process.start()
        recorder.mailbox.send('a message without handler')
        async with asyncio.timeout(10):
            await process.ended.wait()
        assert process.has_failed

    run_paused(main())


@pytest.mark.parametrize(
    ('line', 'status'),
    [('log_format: json', None), ('log_format: xml', 2)],
)
def test_check_of_settings(
    line: str,
    status: int | None,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against invalid settings that are accepted, or not reported."""
    path = tmp_path / 'settings.yaml'
    text = (_CASES / 'settings.yaml').read_text()
    path.write_text(text.replace('log_format: json', line))
    argv = ['fuchsiarilld', '--config', str(path), '--check']
    monkeypatch.setattr(sys, 'argv', argv)
    if status is None:
        daemon.run()
        return
    with pytest.raises(SystemExit) as ended:
        daemon.run()
    assert ended.value.code == status
    assert f'{path}: line 8: log_format: ' in capsys.readouterr().err
