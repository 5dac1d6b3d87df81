"""What the fakes and the callers saw: an ordered list of events with time."""

import hashlib
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fuchsiarill.clock import now_ms


class SeenKind(Enum):
    """What a fake or a caller can see."""

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
class Seen:
    """One event; `who` saw it or caused it, `details` depend on the kind."""

    time_ms: int
    kind: SeenKind
    who: str
    details: dict[str, Any]

    def __str__(self) -> str:
        parts = ' '.join(
            f'{name}={self.details[name]}' for name in sorted(self.details)
        )
        return f'{self.time_ms} ms {self.kind.value} {self.who} {parts}'


class SeenLog:
    """The events of one replay in their order."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.entries: list[Seen] = []
        self._is_open = True

    def note(self, kind: SeenKind, who: str, **details: Any) -> None:
        """Add an event at the present time; ignored once closed."""
        if self._is_open:
            self.entries.append(Seen(now_ms(), kind, who, details))

    def close(self) -> None:
        """Ignore what the end of the replay itself causes."""
        self._is_open = False

    def of(self, *kinds: SeenKind) -> list[Seen]:
        """Return the events of some kinds."""
        return [entry for entry in self.entries if entry.kind in kinds]

    def digest(self) -> str:
        """Return a digest that is equal for equal logs."""
        lines = [
            json.dumps(
                [one.time_ms, one.kind.value, one.who, one.details],
                sort_keys=True,
            )
            for one in self.entries
        ]
        return hashlib.sha256('\n'.join(lines).encode()).hexdigest()
