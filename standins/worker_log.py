"""Log of a worker stand-in: a file of JSON lines.

Times are those of the system's monotonic clock, which all processes of the
machine share, so that the logs of several workers can be compared.
"""

from enum import Enum
from pathlib import Path

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from fuchsiarill.ids import AttemptId, WorkerId
from fuchsiarill.resources import NO_RESOURCES, Resources


class LogKind(Enum):
    """Kind of the event that a line reports."""

    READY = 'ready'
    START = 'start'
    MEASURED = 'measured'
    END = 'end'
    REFUSED = 'refused'
    COMMAND = 'command'


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of the log.

    A `READY` line has the capacity in `reserved`. A `MEASURED` line marks the
    first report of real usage to an owner. `detail` is the outcome or `lease
    lapsed` in an `END` line, the reason in a `REFUSED` line and the kind of
    command in a `COMMAND` line.
    """

    time_ms: int
    worker: WorkerId
    kind: LogKind
    attempt: AttemptId = AttemptId('')
    reserved: Resources = NO_RESOURCES
    real: Resources = NO_RESOURCES
    detail: str = ''


_LINES = TypeAdapter(LogLine)


class WorkerLog:
    """Appends lines unbuffered: a line is in the file before the reply."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self._file = path.open('ab', buffering=0)

    def write(self, line: LogLine) -> None:
        """Append one line to the file."""
        self._file.write(b'%s\n' % _LINES.dump_json(line))


def read_log(path: Path) -> list[LogLine]:
    """Return the lines of a log, without an incomplete last one."""
    content = path.read_bytes()
    complete = content[: content.rfind(b'\n') + 1]
    return [_LINES.validate_json(line) for line in complete.splitlines()]
