"""Measured values that the benchmarks print, one JSON line each."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Measure:
    """One measured value next to its baseline and its target.

    `target` is a relation and a bound, for example `< 5`. `deployment` names
    the cell that was measured.
    """

    measure: str
    value: float
    unit: str
    baseline: float | None
    target: str | None
    deployment: str

    def as_line(self) -> str:
        """Return the JSON object to print."""
        return json.dumps(asdict(self))


def percentile(samples: Sequence[float], fraction: float) -> float:
    """Return the sample below which `fraction` of all samples lie."""
    ordered = sorted(samples)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
