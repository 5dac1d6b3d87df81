"""The configuration spreads to all processes and never reverts."""

import asyncio
import re
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.clock import PausedLoop, now_ms, run_paused, sleep_ms
from fuchsiarill.cluster.config_change import ChangeAnswer, ChangeRequest
from fuchsiarill.cluster.config_distribution import ChangeConfig, ConfigOffered
from fuchsiarill.cluster.config_document import (
    CONFIG_KEY,
    ConfigDocument,
    read_document,
)
from fuchsiarill.ids import Generation
from tests.cluster_fakes import FakeCell, FakeProcess

_CELL = Path(__file__).with_name('cases').joinpath('cell.yaml').read_text()
_Outcome = TypeVar('_Outcome')
_DOMAINS = ('pour-hall', 'cure-room', 'pack-shed')
_NAMES = tuple(f'p{index}' for index in range(6))
_CONVERGENCE_MS = 60_000


def _stored_document(cell: FakeCell) -> ConfigDocument:
    return read_document(cell.read(CONFIG_KEY).value).unwrap()


def _marked_text(mark: str) -> str:
    return f'{_CELL}# {mark}\n'


async def _request_change(
    process: FakeProcess,
    expected: int,
    mark: str,
    text: str | None = None,
) -> ChangeAnswer:
    reply: Reply[ChangeAnswer] = Reply()
    request = ChangeRequest(
        text or _marked_text(mark), Generation(expected), mark
    )
    process.config.mailbox.send(ChangeConfig(request, reply))
    return await reply.wait(60_000)


def _create_process(
    cell: FakeCell, name: str, incarnation: int = 1
) -> FakeProcess:
    domain = _DOMAINS[_NAMES.index(name) % 3]
    return FakeProcess(cell, name, domain, incarnation)


async def _create_reply() -> Reply[Any]:
    return Reply()


async def _start_cell(cell: FakeCell) -> list[FakeProcess]:
    processes = [_create_process(cell, name) for name in _NAMES]
    for process in processes:
        process.start()
    await sleep_ms(5_000)
    answer = await _request_change(processes[0], 0, 'first')
    assert answer.code is codes.DONE
    await sleep_ms(5_000)
    return processes


class ConfigurationSpread(RuleBasedStateMachine):
    """Concurrent changes, lost replies, restarts and failed links.

    Guards against a process that reverts to a lower generation, and against a
    generation that two operators were told they wrote.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = PausedLoop()
        self.cell = FakeCell()
        self.runs: list[FakeProcess] = []
        self.accepted: dict[int, str] = {}
        self.changes_count = 0
        self.documents: dict[Generation, ConfigDocument] = {}

    @initialize()
    def begin(self) -> None:
        self.runs = self._run(_start_cell(self.cell))
        self.accepted[1] = 'first'

    @rule(
        names=st.lists(st.sampled_from(_NAMES), min_size=1, max_size=3),
        stale=st.booleans(),
    )
    def operators_change(self, names: list[str], stale: bool) -> None:
        expected = _stored_document(self.cell).generation - int(stale)
        self._run(self._race_changes(names, expected))

    @rule()
    def lose_a_reply(self) -> None:
        self.cell.replies_to_lose += 1

    @rule(name=st.sampled_from(_NAMES))
    def cut_or_restore_store(self, name: str) -> None:
        self.cell.cut_from_store ^= {name}

    @rule(one=st.sampled_from(_NAMES), other=st.sampled_from(_NAMES))
    def cut_or_restore_link(self, one: str, other: str) -> None:
        self.cell.cut_links ^= {frozenset((one, other))}

    @rule(name=st.sampled_from(_NAMES), generation=st.integers(1, 3))
    def deliver_late_offer(self, name: str, generation: int) -> None:
        document = self.documents.get(Generation(generation))
        process = self.cell.running.get(name)
        if document is None or process is None:
            return
        reply: Reply[Generation] = self._run(_create_reply())
        process.config.mailbox.send(ConfigOffered(document, reply))
        self._run(sleep_ms(1))

    @rule(name=st.sampled_from(_NAMES))
    def kill_or_start(self, name: str) -> None:
        running = self.cell.running.get(name)
        if running is not None:
            self._run(running.stop())
            return
        self.runs.append(self._run(self._start_process(name)))

    @rule(wait_ms=st.sampled_from((30, 700, 4_000, 40_000)))
    def wait(self, wait_ms: int) -> None:
        self._run(sleep_ms(wait_ms))

    @invariant()
    def never_reverts(self) -> None:
        stored = _stored_document(self.cell)
        self.documents[stored.generation] = stored
        for process in self.runs:
            generations = process.recorder.generations
            assert generations == sorted(set(generations))
            document = process.config.document
            author = self.accepted.get(document.generation)
            assert author is None or author == document.author
        assert _stored_document(self.cell).generation >= max(
            self.accepted, default=0
        )

    def teardown(self) -> None:
        self.cell.cut_from_store.clear()
        self.cell.cut_links.clear()
        self.cell.replies_to_lose = 0
        self._run(sleep_ms(_CONVERGENCE_MS))
        stored = _stored_document(self.cell)
        for process in self.cell.running.values():
            assert process.config.document == stored
        self.never_reverts()
        for process in tuple(self.cell.running.values()):
            self._run(process.stop())
        self.loop.close()

    async def _race_changes(self, names: list[str], expected: int) -> None:
        running = [name for name in names if name in self.cell.running]
        changes = []
        for name in running:
            self.changes_count += 1
            mark = f'author {self.changes_count}'
            process = self.cell.running[name]
            changes.append(_request_change(process, expected, mark))
        first = self.changes_count - len(running)
        answers = await asyncio.gather(*changes)
        for position, answer in enumerate(answers, first + 1):
            if answer.code is not codes.DONE:
                continue
            # Fails if two operators were told that they wrote this generation.
            assert expected + 1 not in self.accepted
            self.accepted[expected + 1] = f'author {position}'

    async def _start_process(self, name: str) -> FakeProcess:
        process = _create_process(self.cell, name, len(self.runs))
        process.start()
        return process

    def _run(self, main: Coroutine[Any, Any, _Outcome]) -> _Outcome:
        return self.loop.run_until_complete(main)


ConfigurationSpread.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=20,
)
TestConfigurationSpread = ConfigurationSpread.TestCase


def test_change_reaches_all_processes_in_a_second() -> None:
    """Guards against a change that other processes get only by a poll."""

    async def main() -> None:
        cell = FakeCell()
        processes = await _start_cell(cell)
        began_ms = now_ms()
        await _request_change(processes[4], 1, 'second')
        # Digests of tokens are part of the document, not of a dump.
        assert 'sha256' not in str(processes[4].config.snapshot())
        while {peer.config.document.generation for peer in processes} != {2}:
            await sleep_ms(1)
        assert now_ms() - began_ms < 1_000

    run_paused(main())


def test_starting_process_without_store_asks_peers() -> None:
    """Guards against a process that is never ready during a store outage."""

    async def main() -> None:
        cell = FakeCell()
        await _start_cell(cell)
        cell.cut_from_store.update((*_NAMES, 'new'))
        new_process = FakeProcess(cell, 'new', _DOMAINS[0], 1)
        new_process.start()
        await sleep_ms(10_000)
        # The process knows no peer: nothing is in force, requests are refused.
        assert new_process.config.document.generation == 0
        cell.cut_from_store.discard('new')
        cell.stored.pop(CONFIG_KEY)
        await sleep_ms(10_000)
        assert new_process.config.document.generation == 1

    run_paused(main())


@pytest.mark.parametrize(
    ('expected', 'text', 'code', 'problem'),
    [
        (1, 'cell: [', codes.CONFIG_INVALID, 'line 2: did not find'),
        (
            1,
            _CELL.replace('partitions_count: 2', 'partitions_count: 3'),
            codes.CONFIG_INVALID,
            'line 5: regions.1.partitions_count: the number of partitions was',
        ),
        (0, None, codes.CONFIG_CONFLICT, "generation 1 by 'first' is in for"),
        (2, None, codes.CONFIG_CONFLICT, "generation 1 by 'first' is in for"),
    ],
)
def test_change_is_refused(
    expected: int,
    text: str | None,
    code: codes.ResultCode,
    problem: str,
) -> None:
    """Guards against an invalid or outdated change that is written."""

    async def main() -> None:
        cell = FakeCell()
        processes = await _start_cell(cell)
        answer = await _request_change(processes[0], expected, 'second', text)
        assert answer.code is code
        assert answer.problems[0].text.startswith(problem)
        assert _stored_document(cell).author == 'first'

    run_paused(main())


def test_lost_reply_followed_by_another_change() -> None:
    """Guards against a conflict reported for a change that was written."""

    async def main() -> None:
        cell = FakeCell()
        processes = await _start_cell(cell)
        cell.replies_to_lose = 1
        slow_change = asyncio.ensure_future(
            _request_change(processes[0], 1, 'second')
        )
        await sleep_ms(500)
        assert (
            await _request_change(processes[1], 2, 'third')
        ).code is codes.DONE
        answer = await slow_change
        assert answer.code is codes.DONE
        assert answer.document is not None
        assert answer.document.generation == 2
        assert re.search('third', _stored_document(cell).author)

    run_paused(main())


def test_invalid_document_is_not_put_in_force() -> None:
    """Guards against a process that drops its document for an invalid one.

    An older release may be unable to parse the document of a newer release.
    """

    async def main() -> None:
        cell = FakeCell()
        processes = await _start_cell(cell)
        document = _stored_document(cell).successor(
            'cell: []', 'other', 'token'
        )
        cell.revision += 1
        stored = cell.read(CONFIG_KEY)
        cell.stored[CONFIG_KEY] = type(stored)(
            CONFIG_KEY,
            document.model_dump_json(),
            stored.revision + 1,  # type: ignore[arg-type]
        )
        await sleep_ms(5_000)
        for process in processes:
            assert process.config.document.generation == 1

    run_paused(main())
