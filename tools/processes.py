"""Starts processes for tests and tools, and ends only those.

Each process runs in a session of its own, so that Ctrl-C reaches only the
launcher, which then ends all processes by their ids. When the launcher itself
is killed, `tools/attached.py` ends each process.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Final, Self

# Below the ephemeral port range, so no outgoing connection takes them.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 32_000
_STOP_TIMEOUT_S: Final = 10
_POLL_INTERVAL_S: Final = 0.05
_ROOT: Final = Path(__file__).resolve().parent.parent


def free_ports(count: int) -> list[int]:
    """Return loopback ports that were free when probed."""
    ports: list[int] = []
    candidate = random.randrange(_FIRST_PORT, _LAST_PORT)
    while len(ports) < count:
        candidate += 1
        if candidate > _LAST_PORT:
            candidate = _FIRST_PORT
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


def wait_until(
    condition: Callable[[], bool],
    problem: str,
    timeout_s: float = 60,
) -> None:
    """Poll a condition; raises `TimeoutError` with `problem` in its text.

    `problem` states which condition was not met.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'after {timeout_s} s: {problem}')
        time.sleep(_POLL_INTERVAL_S)


def end_on_signals() -> None:
    """Make SIGTERM and SIGHUP end the launcher as Ctrl-C does.

    SIGINT is set as well: a launcher that was started in the background
    inherits it as ignored.
    """
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)


class Processes:
    """Subprocesses of one launcher, keyed by name."""

    def __init__(
        self,
        log_folder: Path,
        stop_timeout_s: float = _STOP_TIMEOUT_S,
    ) -> None:
        """Write the output of each process to a file in the folder.

        A process that still runs `stop_timeout_s` after SIGTERM is killed.
        """
        self._log_folder = log_folder
        self._stop_timeout_s = stop_timeout_s
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self,
        name: str,
        module: str,
        *options: object,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Run a module of this repository; `environment` adds variables."""
        with (self._log_folder / f'{name}.log').open('ab') as output:
            self._running[name] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tools.attached',
                    str(os.getpid()),
                    module,
                    *map(str, options),
                ],
                cwd=_ROOT,
                env=os.environ | (environment or {}),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def ids(self) -> list[int]:
        """Return the process ids in the order of their start."""
        return [process.pid for process in self._running.values()]

    def id_of(self, name: str) -> int:
        """Return a process id; raises `KeyError` for an unknown name."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Tell whether a process was started and not ended by `kill` or `stop`.

        Stays true when the process ends by itself or by another signal.
        """
        return name in self._running

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End one process with SIGKILL and wait until it has ended."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def has_ended(self, name: str) -> bool:
        """Tell whether a process has ended; `kill` must not have ended it."""
        return self._running[name].poll() is not None

    def exit_status(self, name: str) -> int:
        """Wait until a process has ended and return its exit status.

        Raises `subprocess.TimeoutExpired` after the stop timeout.
        """
        return self._running[name].wait(self._stop_timeout_s)

    def stop(self) -> None:
        """End all processes, in the reverse order of their start.

        A process that is paused gets SIGCONT first, to handle SIGTERM.
        """
        for process in reversed(self._running.values()):
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline_s = time.monotonic() + self._stop_timeout_s
        for process in self._running.values():
            try:
                process.wait(max(0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._running.clear()


class LaunchedCell:
    """A cell whose processes run until its context is left."""

    def __init__(self, processes: Processes) -> None:
        """Keep the launcher of the processes; nothing is started yet."""
        self.processes = processes

    def __enter__(self) -> Self:
        """Start all processes and wait until jobs are accepted."""
        try:
            self._start()
        except BaseException:
            self.processes.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        self.processes.stop()

    def _start(self) -> None:
        """Start all processes and wait until they serve requests."""
        raise NotImplementedError
