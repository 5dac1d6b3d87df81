"""Registry of the measurements to which `tools.slopes` fits lines."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from fuchsiarill.registry import Registry


@dataclass(frozen=True, slots=True)
class Measurement:
    """A cost in `unit` as a function of a size; `per` names the size."""

    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


MEASUREMENTS: Final[Registry[str, Measurement]] = Registry('measurements')


def measurement(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """Register the decorated function, to be called with each size."""

    def decorator(measure: Callable[[int], float]) -> Callable[[int], float]:
        entry = Measurement(unit, per, sizes, measure)
        MEASUREMENTS.register(name)(entry)
        return measure

    return decorator


def processor_ms(work: Callable[[], object], repeats: int) -> float:
    """Return the minimum processor time of `work` in milliseconds.

    The minimum of several calls is least disturbed by other load.
    """
    best = float('inf')
    for _ in range(repeats):
        began_ns = time.process_time_ns()
        work()
        best = min(best, time.process_time_ns() - began_ns)
    return best / 1_000_000
