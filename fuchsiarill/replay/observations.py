"""Log of the events that fakes and callers observe in a replay."""

import hashlib
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fuchsiarill.clock import now_ms


class ObservationKind(Enum):
    """Kinds of events that fakes and callers record."""

    TASK_STARTED = 'task_started'
    START_REFUSED = 'start_refused'
    TASK_ENDED = 'task_ended'
    TASK_COMMANDED = 'task_commanded'
    TASK_RESIZED = 'task_resized'
    HOST_LEAVING = 'host_leaving'
    HOST_BACK = 'host_back'
    STORE_CALLED = 'store_called'
    HOSTS_FETCHED = 'hosts_fetched'
    CONFIG_WRITTEN = 'config_written'
    CONFIG_REFUSED = 'config_refused'
    CONFIG_IN_FORCE = 'config_in_force'
    PROCESS_STARTED = 'process_started'
    PROCESS_ENDED = 'process_ended'
    SHUTDOWN_ASKED = 'shutdown_asked'
    FAULT_BEGAN = 'fault_began'
    FAULT_ENDED = 'fault_ended'
    SUBMITTED = 'submitted'
    ANSWERED = 'answered'
    CALL_FAILED = 'call_failed'
    JOB_ENDED = 'job_ended'
    CANCEL_ASKED = 'cancel_asked'
    ACTOR_FAILED = 'actor_failed'


@dataclass(frozen=True, slots=True)
class Observation:
    """An event; `who` observed or caused it, `details` depend on `kind`."""

    time_ms: int
    kind: ObservationKind
    who: str
    details: dict[str, Any]

    def __str__(self) -> str:
        parts = ' '.join(
            f'{name}={self.details[name]}' for name in sorted(self.details)
        )
        return f'{self.time_ms} ms {self.kind.value} {self.who} {parts}'


class ObservationLog:
    """The observed events of one replay, in order of time."""

    def __init__(self) -> None:
        """Create an empty log that accepts events."""
        self.entries: list[Observation] = []
        self._is_open = True

    def record(self, kind: ObservationKind, who: str, **details: Any) -> None:
        """Add an event at the current time; ignored once closed."""
        if self._is_open:
            self.entries.append(Observation(now_ms(), kind, who, details))

    def close(self) -> None:
        """Ignore further events: only the end of the replay causes them."""
        self._is_open = False

    def of(self, *kinds: ObservationKind) -> list[Observation]:
        """Return the events of the given kinds in order."""
        return [entry for entry in self.entries if entry.kind in kinds]

    def digest(self) -> str:
        """Return a SHA-256 digest of all events, in hexadecimal."""
        lines = [
            json.dumps(
                [entry.time_ms, entry.kind.value, entry.who, entry.details],
                sort_keys=True,
            )
            for entry in self.entries
        ]
        return hashlib.sha256('\n'.join(lines).encode()).hexdigest()
