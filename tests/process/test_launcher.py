"""Tests that a launcher ends all processes that it started."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tools.processes import Processes, free_ports, wait_until


def test_stopped_processes_are_gone(tmp_path: Path) -> None:
    """Guards against processes that survive a stop, even when paused."""
    processes = Processes(tmp_path)
    for name, port in zip(('one', 'two'), free_ports(2), strict=True):
        processes.start(name, 'standins.store', '--port', port)
    ids = processes.ids()
    processes.send_signal('one', signal.SIGSTOP)
    processes.stop()
    for process_id in ids:
        with pytest.raises(ProcessLookupError):
            os.kill(process_id, 0)


@pytest.fixture
def launcher(tmp_path: Path) -> Iterator[Processes]:
    """End the processes of a failed test; SIGTERM lets a launcher clean up."""
    started = Processes(tmp_path, stop_timeout_s=60)
    yield started
    started.stop()


def test_interrupted_cell_is_gone(tmp_path: Path, launcher: Processes) -> None:
    """Guards against processes or files that survive Ctrl-C."""
    launcher.start('cell', 'tools.run_cell')
    output = tmp_path / 'cell.log'
    wait_until(
        lambda: 'Ctrl-C' in output.read_text() or launcher.has_ended('cell'),
        'the cell has not started',
    )
    folder = Path(output.read_text().rpartition('logs: ')[2].split(';')[0])
    launcher.send_signal('cell', signal.SIGINT)
    wait_until(lambda: launcher.has_ended('cell'), 'the cell is still running')
    assert launcher.exit_status('cell') == 0
    assert not folder.exists()
    assert not _processes_using(str(folder))


def _processes_using(text: str) -> list[str]:
    found = []
    for path in Path('/proc').glob('[0-9]*/cmdline'):
        try:
            command = path.read_bytes().decode(errors='replace')
        except OSError:
            continue
        if text in command:
            found.append(command)
    return found


_LAUNCHER = """
import sys, time
from pathlib import Path
from tools.processes import Processes, end_on_signals

end_on_signals()
started = Processes(Path(sys.argv[1]))
try:
    started.start('one', 'http.server', '0')
    print(started.id_of('one'), flush=True)
    time.sleep(60)
finally:
    started.stop()
"""


@pytest.mark.parametrize(
    'number',
    [signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGKILL],
)
def test_launcher_leaves_nothing_behind(
    tmp_path: Path,
    number: signal.Signals,
) -> None:
    """Guards against processes that outlive their launcher."""
    with subprocess.Popen(
        [sys.executable, '-c', _LAUNCHER, str(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as launcher:
        assert launcher.stdout is not None
        child = int(launcher.stdout.readline())
        # The child must have started its module before its launcher ends.
        time.sleep(1)
        launcher.send_signal(number)
    wait_until(
        lambda: _has_ended(child),
        f'process {child} is still running',
        15,
    )


def _has_ended(process_id: int) -> bool:
    """Tell whether a process is gone or a zombie."""
    try:
        state = Path(f'/proc/{process_id}/stat').read_text()
    except FileNotFoundError:
        return True
    return state.rpartition(')')[2].split()[0] == 'Z'
