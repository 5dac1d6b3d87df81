"""Waiting time and packing of both deployments, in virtual time.

Three sets of policies run with the same arrivals: fair ordering with learned
sizes, fair ordering at declared sizes, and the baseline, first come, first fit
at declared sizes.
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
class PolicySet:
    """Policies to compare; `placement` defaults to the deployment's."""

    name: str
    policies: dict[str, Any]
    placement: str | None = None


_POLICY_SETS: Final = (
    PolicySet('fair', {'ordering': 'fair', 'learn_sizes': True}),
    PolicySet('fair, not learned', {'learn_sizes': False}),
    PolicySet(
        _BASELINE,
        {'ordering': 'first_come', 'learn_sizes': False},
        'first_fit',
    ),
)


@dataclass(frozen=True, slots=True)
class RunMeasures:
    """Measures of one run, from the end of the warm-up on."""

    wait_p50_ms: float
    wait_p99_ms: float
    urgent_wait_p99_ms: float
    packing_ratio: float
    overcommitted_count: int
    stopped_count: int


def simulate(
    deployment: Deployment,
    load: float,
    policy_set: PolicySet,
) -> RunMeasures:
    """Simulate one set of policies at one load."""
    placement = policy_set.placement or deployment.placement
    config = deployment.config(policy_set.policies, placement)
    loop = CellLoop(deployment, config, (_WARM_UP_MS, _UNTIL_MS))
    tally = loop.run(arrivals(deployment, load, _UNTIL_MS, _SEED))
    waits = loop.waits_in_window()
    return RunMeasures(
        wait_p50_ms=percentile(waits, 0.5),
        wait_p99_ms=percentile(waits, 0.99),
        urgent_wait_p99_ms=percentile(loop.waits_in_window(urgent=True), 0.99),
        packing_ratio=_packing_ratio(deployment, tally.used),
        overcommitted_count=len(tally.overcommitted),
        stopped_count=tally.stopped_count,
    )


def run() -> Iterator[Measure]:
    """Compare the policies for each deployment and load."""
    for deployment in DEPLOYMENTS:
        for load in _LOADS:
            measures_by_policy = {
                policy_set.name: simulate(deployment, load, policy_set)
                for policy_set in _POLICY_SETS
            }
            yield from _waits(deployment, load, measures_by_policy)
            if deployment is COOPERATIVE and load > 1:
                yield from _packing(deployment, measures_by_policy)


def _waits(
    deployment: Deployment,
    load: float,
    measures_by_policy: dict[str, RunMeasures],
) -> Iterator[Measure]:
    baseline = measures_by_policy[_BASELINE]
    for name, measures in measures_by_policy.items():
        if name == _BASELINE:
            continue
        measured_deployment = f'{deployment.name}, load {load}, {name}'
        half_ms = baseline.wait_p99_ms / 2
        yield Measure(
            'wait_p50_ms',
            measures.wait_p50_ms,
            'ms',
            baseline.wait_p50_ms,
            None,
            measured_deployment,
        )
        yield Measure(
            'wait_p99_ms',
            measures.wait_p99_ms,
            'ms',
            baseline.wait_p99_ms,
            f'<= {half_ms}' if load == _LOADS[1] else None,
            measured_deployment,
        )
        yield Measure(
            'urgent_wait_p99_ms',
            measures.urgent_wait_p99_ms,
            'ms',
            baseline.urgent_wait_p99_ms,
            '< 1100',
            measured_deployment,
        )
        yield Measure(
            'overcommitted_hosts',
            measures.overcommitted_count,
            'hosts',
            baseline.overcommitted_count,
            '== 0',
            measured_deployment,
        )


def _packing(
    deployment: Deployment,
    measures_by_policy: dict[str, RunMeasures],
) -> Iterator[Measure]:
    for name, measures in measures_by_policy.items():
        if name == _BASELINE:
            continue
        yield Measure(
            'packing_ratio',
            round(measures.packing_ratio, 4),
            'of the fluid bound',
            round(measures_by_policy[_BASELINE].packing_ratio, 4),
            '>= 0.90',
            f'{deployment.name}, load {_LOADS[-1]}, {name}',
        )


def _packing_ratio(deployment: Deployment, used: list[float]) -> float:
    """Return the used part of the scarcest resource.

    It is 1 for work that can be divided without limit, as a fluid can.
    """
    duration_ms = _UNTIL_MS - _WARM_UP_MS
    total = deployment.capacity().as_tuple()
    return max(
        amount / (capacity * duration_ms)
        for amount, capacity in zip(used, total, strict=True)
    )


def main() -> None:
    """Print every measure as one JSON line."""
    for measured in run():
        print(measured.as_line(), flush=True)


if __name__ == '__main__':
    main()
