"""Starts processes for the demo and the tests, and ends just these.

Each process runs in a session of its own, so that Ctrl-C reaches only the
launcher, which then ends all of them by their ids. When the launcher itself
is killed, they end by themselves (`tools/attached.py`).
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

# Below the range from which the system takes ports of outgoing connections.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 32_000
_STOP_TIMEOUT_S: Final = 10
_POLL_INTERVAL_S: Final = 0.05
_ROOT: Final = Path(__file__).resolve().parent.parent


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nothing listens on."""
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
    what: str,
    timeout_s: float = 60,
) -> None:
    """Wait for a condition; raises `TimeoutError` that names `what`."""
    ends_at_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at_s:
            raise TimeoutError(f'after {timeout_s} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


def end_on_signals() -> None:
    """Let SIGTERM and SIGHUP end the launcher as Ctrl-C does.

    A launcher that was started in the background inherits an ignored SIGINT.
    """
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)


class Processes:
    """The processes of one launcher by name."""

    def __init__(
        self,
        log_folder: Path,
        stop_timeout_s: float = _STOP_TIMEOUT_S,
    ) -> None:
        """Write the output of each process to a file in the folder.

        A process that runs `stop_timeout_s` after SIGTERM is killed.
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
        """Return the ids of all processes."""
        return [process.pid for process in self._running.values()]

    def id_of(self, name: str) -> int:
        """Return the id of one process."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Tell whether a process was started and not ended here."""
        return name in self._running

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End one process by SIGKILL and wait for its end."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def has_ended(self, name: str) -> bool:
        """Tell whether a process has ended by itself."""
        return self._running[name].poll() is not None

    def exit_status(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        return self._running[name].wait(self._stop_timeout_s)

    def stop(self) -> None:
        """End all processes, in the reverse order of their start."""
        for process in reversed(self._running.values()):
            process.send_signal(signal.SIGCONT)
            process.terminate()
        ends_at_s = time.monotonic() + self._stop_timeout_s
        for process in self._running.values():
            try:
                process.wait(max(0, ends_at_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._running.clear()


class LaunchedCell:
    """A cell whose processes live as long as its context."""

    def __init__(self, processes: Processes) -> None:
        """Use `processes`, none of which has been started."""
        self.processes = processes

    def __enter__(self) -> Self:
        """Start everything and wait until jobs are accepted."""
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
        """End everything."""
        self.processes.stop()

    def _start(self) -> None:
        """Start all processes, and wait until they serve."""
        raise NotImplementedError
