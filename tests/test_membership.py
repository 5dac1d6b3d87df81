"""Processes find each other, detect failures and ignore outdated gossip."""

from collections.abc import Iterable

from fuchsiarill.actor import Reply
from fuchsiarill.clock import run_paused, sleep_ms
from fuchsiarill.cluster.directory import members_key
from fuchsiarill.cluster.membership import LeaveCluster, PartitionsOwned
from fuchsiarill.ids import FailureDomain, PartitionId
from fuchsiarill.settings import MembershipSettings
from tests.cluster_fakes import FakeCell, FakeProcess

_DOMAINS = ('pour-hall', 'cure-room', 'pack-shed')
_REMOVED_AFTER_MS = MembershipSettings().remove_after_ms


def _start_processes(cell: FakeCell, count: int) -> list[FakeProcess]:
    processes = [
        FakeProcess(cell, f'p{index:03}', _DOMAINS[index % 3], 1)
        for index in range(count)
    ]
    for process in processes:
        process.start()
    return processes


def _ids_in_view(process: FakeProcess, reachable: bool = True) -> list[str]:
    return [
        member.detail.process
        for member in process.membership.table.members()
        if member.reachable is reachable
    ]


def _process_ids(processes: Iterable[FakeProcess]) -> list[str]:
    return [process.process for process in processes]


def test_all_find_each_other_and_detect_a_failure() -> None:
    """Guards against a view that misses a process or keeps a failed one."""

    async def main() -> None:
        cell = FakeCell()
        processes = _start_processes(cell, 8)
        await sleep_ms(5_000)
        for process in processes:
            assert _ids_in_view(process) == _process_ids(processes)
        killed = processes.pop(3)
        await killed.stop()
        await sleep_ms(9_000)
        for process in processes:
            assert _ids_in_view(process, reachable=False) == [killed.process]
        await sleep_ms(2 * _REMOVED_AFTER_MS)
        for process in processes:
            assert len(process.membership.table.members()) == 7
        restarted = FakeProcess(cell, killed.process, _DOMAINS[0], 2)
        restarted.start()
        await sleep_ms(5_000)
        assert _ids_in_view(processes[0]) == _process_ids(
            sorted(
                [*processes, restarted], key=lambda process: process.process
            ),
        )

    run_paused(main())


def test_restart_with_an_earlier_clock_is_seen() -> None:
    """Guards against a process that is ignored after its clock is set back."""

    async def main() -> None:
        cell = FakeCell()
        processes = _start_processes(cell, 3)
        await sleep_ms(5_000)
        await processes[1].stop()
        restarted = FakeProcess(cell, processes[1].process, _DOMAINS[1], 0)
        restarted.start()
        owned = PartitionsOwned((PartitionId('rajkot.0'),))
        restarted.membership.mailbox.send(owned)
        await sleep_ms(5_000)
        detail = processes[0].membership.table.members()[1].detail
        assert (detail.incarnation, detail.partitions) == (2, owned.partitions)

    run_paused(main())


def test_split_is_healed_when_links_recover() -> None:
    """Guards against a network split that lasts after its links recover."""

    async def main() -> None:
        cell = FakeCell()
        processes = _start_processes(cell, 6)
        await sleep_ms(5_000)
        cell.cut_links = {
            frozenset((one.process, other.process))
            for one in processes[:3]
            for other in processes[3:]
        }
        await sleep_ms(3 * _REMOVED_AFTER_MS)
        assert _ids_in_view(processes[0]) == _process_ids(processes[:3])
        cell.cut_links.clear()
        await sleep_ms(2 * _REMOVED_AFTER_MS)
        for process in processes:
            assert _ids_in_view(process) == _process_ids(processes)

    run_paused(main())


def test_directory_changes_on_join_and_leave_only() -> None:
    """Guards against heartbeats that write to the store."""

    async def main() -> None:
        cell = FakeCell()
        processes = _start_processes(cell, 6)
        await sleep_ms(5_000)
        joined_count = cell.swaps_count
        await sleep_ms(600_000)
        assert cell.swaps_count == joined_count
        reply: Reply[None] = Reply()
        processes[0].membership.mailbox.send(LeaveCluster(reply))
        await reply.wait(5_000)
        entries = cell.read(members_key(FailureDomain(_DOMAINS[0]))).value
        assert entries is not None
        assert 'p000' not in entries
        assert 'p003' in entries
        assert cell.swaps_count == joined_count + 1

    run_paused(main())


def test_lost_reply_of_join_is_recognised() -> None:
    """Guards against a second entry, or a join that is never confirmed."""

    async def main() -> None:
        cell = FakeCell(replies_to_lose=1)
        process = _start_processes(cell, 1)[0]
        await sleep_ms(5_000)
        assert process.membership.snapshot()['joined']
        assert cell.swaps_count == 2

    run_paused(main())
