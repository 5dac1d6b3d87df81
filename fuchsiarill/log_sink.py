"""Writes log lines as JSON without ever blocking the caller.

A thread writes the lines of a bounded queue. When the output does not keep
up, lines are dropped, and a line of its own reports their count.
"""

import json
import sys
import threading
from collections import deque
from typing import Any, Final, TextIO

from fuchsiarill.events import LOG_LINES_DROPPED

_QUEUED_LINES_MAX_COUNT: Final = 5000
_FLUSH_INTERVAL_S: Final = 0.2
_MS_PER_SECOND: Final = 1000


class JsonLineSink:
    """A sink for loguru; one JSON object a line."""

    def __init__(self, stream: TextIO = sys.stdout) -> None:
        """Start the thread that writes."""
        self._stream = stream
        self._lines: deque[dict[str, Any]] = deque()
        self._dropped_count = 0
        self._has_lines = threading.Event()
        threading.Thread(target=self._write_forever, daemon=True).start()

    def __call__(self, message: Any) -> None:
        """Queue a message of loguru; drops it when the queue is full."""
        if len(self._lines) >= _QUEUED_LINES_MAX_COUNT:
            self._dropped_count += 1
            return
        record = message.record
        line = {
            'time': round(record['time'].timestamp(), 3),
            'level': record['level'].name,
            **record['extra'],
            'text': record['message'],
        }
        self._lines.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Write all queued lines and the count of dropped lines."""
        chunk: list[str] = []
        while self._lines:
            chunk.append(json.dumps(self._lines.popleft(), default=str))
        if self._dropped_count:
            line = {
                'level': LOG_LINES_DROPPED.level.value,
                'event': LOG_LINES_DROPPED.number,
                'count': self._dropped_count,
            }
            self._dropped_count = 0
            chunk.append(json.dumps(line))
        if chunk:
            self._stream.write('\n'.join((*chunk, '')))
            self._stream.flush()

    def _write_forever(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self.flush()
            # Lines are batched, so that a busy process makes few system calls.
            threading.Event().wait(_FLUSH_INTERVAL_S)
