"""What a worker stand-in saw, as JSON lines in a file.

Times are of the system's monotonic clock, which all processes of the machine
share, so that logs of several workers can be compared.
"""

from enum import Enum
from pathlib import Path

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.resources import NOTHING, Resources


class LogKind(Enum):
    """What a line reports."""

    READY = 'ready'
    START = 'start'
    MEASURED = 'measured'
    END = 'end'
    REFUSED = 'refused'
    COMMAND = 'command'


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line.

    A `READY` line has the capacity as `reserved`. `MEASURED` is the first
    report of real usage to an owner. `detail` is the outcome of an `END`, the
    reason of a `REFUSED` and the kind of a `COMMAND`.
    """

    time_ms: int
    worker: WorkerId
    kind: LogKind
    attempt: AttemptId = AttemptId('')
    reserved: Resources = NOTHING
    real: Resources = NOTHING
    detail: str = ''


_LINES = TypeAdapter(LogLine)


class WorkerLog:
    """Appends lines; each is written before the worker answers."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self._file = path.open('ab', buffering=0)

    def write(self, line: LogLine) -> None:
        """Append one line."""
        self._file.write(b'%s\n' % _LINES.dump_json(line))


def read_log(path: Path) -> list[LogLine]:
    """Return the complete lines of a log."""
    content = path.read_bytes()
    complete = content[: content.rfind(b'\n') + 1]
    return [_LINES.validate_json(line) for line in complete.splitlines()]
