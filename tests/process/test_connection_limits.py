"""No client ends or hangs a daemon, or uses up its memory or descriptors.

The tests check no times and no share of served requests; the time-outs are
bounds for a process that hangs.
"""

from http.client import HTTPConnection, HTTPException
import os
import resource
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.process.crowds import CROWDS, RunningCrowd
from tools.platform_cell import PlatformCell
from tools.processes import wait_until

_DAEMON: Final = 'p0'
_OK: Final = 200
_GONE: Final = 410
_CONNECTIONS_MAX_COUNT: Final = 100
# Resident memory of a daemon with an empty pool is about 52 MB.
_GROWTH_MAX_KB: Final = 16_000
# Descriptors beside the connections of callers: those in use when the crowd
# comes, and 40 for calls to outside systems.
_DESCRIPTORS_SPARE_COUNT: Final = 40
_SENDING_TIMEOUT_S: Final = 5
_HANG_TIMEOUT_S: Final = 10
_SETTINGS: Final = {
    'front': {'connections_max_count': _CONNECTIONS_MAX_COUNT},
    'connections': {
        'memory_max_bytes': 4_000_000,
        'descriptors_reserved_count': 16,
    },
}


@pytest.fixture(scope='module')
def shared_cell(tmp_path_factory: pytest.TempPathFactory) -> Iterator[object]:
    folder = tmp_path_factory.mktemp('limits')
    with PlatformCell(folder, 1, 1, settings=_SETTINGS) as cell:
        yield cell
        # They would wait for their clients before they end.
        cell.processes.kill(_DAEMON)
        cell.processes.kill('emulator')


@pytest.fixture
def cell(shared_cell: PlatformCell) -> PlatformCell:
    """Return the cell with a new daemon, since memory is not given back."""
    shared_cell.processes.kill(_DAEMON)
    shared_cell.start_daemon(_DAEMON)
    wait_until(
        lambda: shared_cell.is_ready(_DAEMON) and _is_answered(shared_cell),
        'the daemon does not answer',
    )
    return shared_cell


class Usage:
    """Memory and descriptors of a process, from `/proc`."""

    def __init__(self, process_id: int) -> None:
        self._process_id = process_id
        self._resident_kb = self._status_kb('VmRSS')
        self._descriptors_count = self.descriptors_count

    @property
    def descriptors_count(self) -> int:
        return len(os.listdir(f'/proc/{self._process_id}/fd'))

    def problems(self) -> list[str]:
        """Return which bounds are exceeded; memory counts at its peak."""
        found = []
        growth_kb = self._status_kb('VmHWM') - self._resident_kb
        if growth_kb > _GROWTH_MAX_KB:
            found.append(f'memory has grown by {growth_kb} kB')
        added_count = self.descriptors_count - self._descriptors_count
        if added_count > _CONNECTIONS_MAX_COUNT + _DESCRIPTORS_SPARE_COUNT:
            found.append(f'{added_count} more descriptors are open')
        return found

    def _status_kb(self, name: str) -> int:
        status = Path(f'/proc/{self._process_id}/status').read_text()
        return int(status.partition(f'{name}:')[2].split()[0])


def _is_answered(cell: PlatformCell) -> bool:
    """Send ordinary requests of a caller and of an operator."""
    daemon = cell.daemons[_DAEMON]
    return (
        _status(daemon.callers, '/quotes/ordinary') == _GONE
        and _status(daemon.metrics, '/metrics') == _OK
    )


def _status(port: int, path: str) -> int | None:
    """Send one request on a new connection."""
    connection = HTTPConnection('127.0.0.1', port, timeout=4)
    headers = {'Host': 'quotes.example', 'X-Deadline-Ms': '3000'}
    try:
        connection.request('GET', path, headers=headers)
        return connection.getresponse().status
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()


def _problems_after(cell: PlatformCell, usage: Usage) -> list[str]:
    """Return what is wrong while the connections of the crowd are open."""
    if cell.processes.has_ended(_DAEMON):
        return ['the process has ended']
    found = usage.problems()
    deadline_s = time.monotonic() + _HANG_TIMEOUT_S
    while not _is_answered(cell):
        if time.monotonic() > deadline_s:
            found.append('an ordinary request is not answered')
            break
    return found


@pytest.mark.parametrize('name', CROWDS)
def test_daemon_bears_a_crowd(cell: PlatformCell, name: str) -> None:
    """Guards against clients that end or hang a daemon or fill its memory."""
    usage = Usage(cell.processes.id_of(_DAEMON))
    with RunningCrowd(name, cell.daemons[_DAEMON]) as crowd:
        crowd.wait_sent(_SENDING_TIMEOUT_S)
        assert not _problems_after(cell, usage)


def test_connections_beyond_the_descriptors(cell: PlatformCell) -> None:
    """Guards against a daemon that hangs when it has no descriptor left."""
    process_id = cell.processes.id_of(_DAEMON)
    usage = Usage(process_id)
    limit_count = usage.descriptors_count + _CONNECTIONS_MAX_COUNT // 2
    former = resource.prlimit(process_id, resource.RLIMIT_NOFILE)
    lowered = (limit_count, former[1])
    resource.prlimit(process_id, resource.RLIMIT_NOFILE, lowered)
    daemon = cell.daemons[_DAEMON]
    with RunningCrowd('idle_connections', daemon) as idle:
        idle.wait_sent(_SENDING_TIMEOUT_S)
        with RunningCrowd('slow_heads', daemon) as slow:
            slow.wait_sent(_SENDING_TIMEOUT_S)
            assert not _problems_after(cell, usage)
