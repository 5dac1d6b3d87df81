"""One attempt on a worker stand-in: a timer with a size.

A payload may be a JSON object with `class`, which selects the factors of the
deviation, and `declared`, the size that its submitter declared. Without the
latter a task is small: its real size must not follow from the reserved one,
or an owner that learns sizes reserves more and more for what it reserved.
"""

import json
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fuchsiarill.ids import TaskId
from fuchsiarill.resources import Resources
from fuchsiarill.workers import StartCommand
from standins.worker_settings import Deviation

_JITTER = 0.1
_SMALL_PROCESSORS_MILLI = 250
_SMALL_MEMORY_MB = 128


class TaskState(Enum):
    """Life of an attempt on a worker."""

    OFFERED = 'offered'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    REFUSED = 'refused'


class TaskEvent(Enum):
    """What can happen to an attempt on a worker."""

    ADMITTED = 'admitted'
    TURNED_AWAY = 'turned_away'
    COMPLETED = 'completed'
    FAULTED = 'faulted'
    STOP_ASKED = 'stop_asked'
    LEASE_LAPSED = 'lease_lapsed'


@dataclass(slots=True)
class Task:
    """One attempt; a service has no `ends_at_ms`."""

    start: StartCommand
    real: Resources
    state: TaskState
    started_at_ms: int
    ends_at_ms: int | None
    lease_ends_at_ms: int
    ended_at_ms: int = 0
    fails: bool = False
    is_measured: bool = False

    @property
    def task_id(self) -> TaskId:
        """Return the task that the attempt belongs to."""
        return TaskId(self.start.attempt_id.rpartition('@')[0])

    @property
    def due_at_ms(self) -> int:
        """Return when the attempt ends next if nothing is heard of it."""
        if self.ends_at_ms is None:
            return self.lease_ends_at_ms
        return min(self.ends_at_ms, self.lease_ends_at_ms)

    def throttle(self, current_ms: int) -> None:
        """Hold the processors to the reserved ones; the rest takes longer."""
        reserved_milli = self.start.reserved.processors_milli
        if self.real.processors_milli <= reserved_milli:
            return
        stretch = self.real.processors_milli / reserved_milli
        if self.ends_at_ms is not None:
            left_ms = (self.ends_at_ms - current_ms) * stretch
            self.ends_at_ms = current_ms + int(left_ms)
        self.real = Resources(
            reserved_milli,
            self.real.memory_mb,
            self.real.accelerators_count,
            self.real.slots_count,
        )


@dataclass(frozen=True, slots=True)
class RealLoad:
    """What an attempt takes in truth; a service has a run time of zero."""

    size: Resources
    run_time_ms: int


def real_load(deviation: Deviation, start: StartCommand) -> RealLoad:
    """Return the real size and run time of an attempt."""
    payload = _read_payload(start.payload)
    declared = payload.get('declared', {})
    processors_milli = declared.get('processors_milli', _SMALL_PROCESSORS_MILLI)
    memory_mb = declared.get('memory_mb', _SMALL_MEMORY_MB)
    kind = f'{deviation.seed}/{payload.get("class", start.payload)}'
    of_class = random.Random(kind)
    of_attempt = random.Random(f'{kind}/{start.attempt_id}')
    size = _factor(deviation.size_factor_max, of_class, of_attempt)
    run_time = _factor(deviation.run_time_factor_max, of_class, of_attempt)
    return RealLoad(
        Resources(
            max(1, int(processors_milli * size)),
            max(1, int(memory_mb * size)),
            start.reserved.accelerators_count,
            start.reserved.slots_count,
        ),
        int(start.run_time_ms * run_time),
    )


def _factor(
    maximum: float,
    of_class: random.Random,
    of_attempt: random.Random,
) -> float:
    drawn: float = maximum ** of_class.uniform(-1, 1)
    if maximum > 1:
        drawn *= of_attempt.uniform(1 - _JITTER, 1 + _JITTER)
    return min(max(drawn, 1 / maximum), maximum)


def _read_payload(payload: str) -> dict[str, Any]:
    try:
        parsed = json.loads(payload)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
