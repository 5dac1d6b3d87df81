"""An attempt on a worker stand-in, simulated by a timer and a size.

A payload may be a JSON object with `class`, which selects the factors of the
deviation, and `declared`, the processors and memory that its submitter
declared; both have small defaults. The real processors and memory must not
depend on the reserved ones: otherwise an owner that learns sizes would keep
raising its reservations. Accelerators and slots are used as reserved.
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
    """State of an attempt on a worker."""

    OFFERED = 'offered'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    REFUSED = 'refused'


class TaskEvent(Enum):
    """Event in the life cycle of an attempt on a worker."""

    ADMITTED = 'admitted'
    TURNED_AWAY = 'turned_away'
    COMPLETED = 'completed'
    FAULTED = 'faulted'
    STOP_ASKED = 'stop_asked'
    LEASE_LAPSED = 'lease_lapsed'


@dataclass(slots=True)
class Task:
    """One attempt; `ends_at_ms` is `None` for a service.

    `real` is the size that it uses, `is_measured` whether this size has been
    reported while it runs.
    """

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
        """Return when the attempt ends unless its lease is renewed."""
        if self.ends_at_ms is None:
            return self.lease_ends_at_ms
        return min(self.ends_at_ms, self.lease_ends_at_ms)

    def renew(self, lease_ends_at_ms: int) -> None:
        """Extend the lease; a late renewal does not shorten it."""
        self.lease_ends_at_ms = max(self.lease_ends_at_ms, lease_ends_at_ms)

    def throttle(self, current_ms: int) -> None:
        """Limit the processors to the reserved ones.

        The remaining run time grows in proportion.
        """
        reserved_milli = self.start.reserved.processors_milli
        if self.real.processors_milli <= reserved_milli:
            return
        slowdown = self.real.processors_milli / reserved_milli
        if self.ends_at_ms is not None:
            remaining_ms = (self.ends_at_ms - current_ms) * slowdown
            self.ends_at_ms = current_ms + int(remaining_ms)
        self.real = Resources(
            reserved_milli,
            self.real.memory_mb,
            self.real.accelerators_count,
            self.real.slots_count,
        )


@dataclass(frozen=True, slots=True)
class RealLoad:
    """Real size and run time of an attempt; a service has run time 0."""

    size: Resources
    run_time_ms: int


def real_load(deviation: Deviation, start: StartCommand) -> RealLoad:
    """Return the real load of an attempt.

    Its factors are reproducible: they are drawn from the seed, the class and
    the attempt id.
    """
    payload = _read_payload(start.payload)
    declared = payload.get('declared', {})
    processors_milli = declared.get('processors_milli', _SMALL_PROCESSORS_MILLI)
    memory_mb = declared.get('memory_mb', _SMALL_MEMORY_MB)
    class_seed = f'{deviation.seed}/{payload.get("class", start.payload)}'
    class_random = random.Random(class_seed)
    attempt_random = random.Random(f'{class_seed}/{start.attempt_id}')
    size = _factor(deviation.size_factor_max, class_random, attempt_random)
    run_time = _factor(
        deviation.run_time_factor_max, class_random, attempt_random
    )
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
    class_random: random.Random,
    attempt_random: random.Random,
) -> float:
    factor: float = maximum ** class_random.uniform(-1, 1)
    if maximum > 1:
        factor *= attempt_random.uniform(1 - _JITTER, 1 + _JITTER)
    return min(max(factor, 1 / maximum), maximum)


def _read_payload(payload: str) -> dict[str, Any]:
    try:
        parsed = json.loads(payload)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
