"""Waiting time and packing of both deployments, in virtual time.

Three sets of policies run the same arrivals: those of the deployment, the
same without learning, and first come with first fit at declared sizes.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from tools.cell_loop import CellLoop
from tools.measures import Measure, percentile
from tools.workloads import COOPERATIVE, DEPLOYMENTS, Deployment, arrivals

_LOADS: Final = (0.7, 0.95, 1.3)
_WARM_UP_MS: Final = 120_000
_UNTIL_MS: Final = 600_000
_SEED: Final = 20261204
_BASELINE: Final = 'first come, first fit'


@dataclass(frozen=True, slots=True)
class Contender:
    """A set of policies; no `placement` means that of the deployment."""

    name: str
    policies: dict[str, Any]
    placement: str | None = None


_CONTENDERS: Final = (
    Contender('fair', {'ordering': 'fair', 'learn_sizes': True}),
    Contender('fair, not learned', {'learn_sizes': False}),
    Contender(
        _BASELINE,
        {'ordering': 'first_come', 'learn_sizes': False},
        'first_fit',
    ),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run has shown."""

    wait_p50_ms: float
    wait_p99_ms: float
    urgent_wait_p99_ms: float
    packing_ratio: float
    overcommitted_count: int
    stopped_count: int


def outcome_of(
    deployment: Deployment,
    load: float,
    contender: Contender,
) -> Outcome:
    """Run one set of policies at one load."""
    placement = contender.placement or deployment.placement
    config = deployment.config(contender.policies, placement)
    loop = CellLoop(deployment, config, (_WARM_UP_MS, _UNTIL_MS))
    tally = loop.run(arrivals(deployment, load, _UNTIL_MS, _SEED))
    waits = loop.waits_in_window()
    return Outcome(
        wait_p50_ms=percentile(waits, 0.5),
        wait_p99_ms=percentile(waits, 0.99),
        urgent_wait_p99_ms=percentile(loop.waits_in_window(urgent=True), 0.99),
        packing_ratio=_packing_ratio(deployment, tally.used),
        overcommitted_count=len(tally.overcommitted),
        stopped_count=tally.stopped_count,
    )


def run() -> Iterator[Measure]:
    """Measure both deployments at all loads."""
    for deployment in DEPLOYMENTS:
        for load in _LOADS:
            found = {
                contender.name: outcome_of(deployment, load, contender)
                for contender in _CONTENDERS
            }
            yield from _waits(deployment, load, found)
            if deployment is COOPERATIVE and load > 1:
                yield from _packing(deployment, found)


def _waits(
    deployment: Deployment,
    load: float,
    found: dict[str, Outcome],
) -> Iterator[Measure]:
    baseline = found[_BASELINE]
    for name, outcome in found.items():
        if name == _BASELINE:
            continue
        where = f'{deployment.name}, load {load}, {name}'
        half_ms = baseline.wait_p99_ms / 2
        yield Measure(
            'wait_p50_ms',
            outcome.wait_p50_ms,
            'ms',
            baseline.wait_p50_ms,
            None,
            where,
        )
        yield Measure(
            'wait_p99_ms',
            outcome.wait_p99_ms,
            'ms',
            baseline.wait_p99_ms,
            f'<= {half_ms}' if load == _LOADS[1] else None,
            where,
        )
        yield Measure(
            'urgent_wait_p99_ms',
            outcome.urgent_wait_p99_ms,
            'ms',
            baseline.urgent_wait_p99_ms,
            '< 1100',
            where,
        )
        yield Measure(
            'overcommitted_hosts',
            outcome.overcommitted_count,
            'hosts',
            baseline.overcommitted_count,
            '== 0',
            where,
        )


def _packing(
    deployment: Deployment,
    found: dict[str, Outcome],
) -> Iterator[Measure]:
    for name, outcome in found.items():
        if name == _BASELINE:
            continue
        yield Measure(
            'packing_ratio',
            round(outcome.packing_ratio, 4),
            'of the fluid bound',
            round(found[_BASELINE].packing_ratio, 4),
            '>= 0.90',
            f'{deployment.name}, load {_LOADS[-1]}, {name}',
        )


def _packing_ratio(deployment: Deployment, used: list[float]) -> float:
    """Return the use of the scarcest resource; a fluid would use it whole."""
    duration_ms = _UNTIL_MS - _WARM_UP_MS
    whole = deployment.capacity().as_tuple()
    return max(
        amount / (capacity * duration_ms)
        for amount, capacity in zip(used, whole, strict=True)
    )


def main() -> None:
    """Print every measure."""
    for found in run():
        print(found.as_line(), flush=True)


if __name__ == '__main__':
    main()
