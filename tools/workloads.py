"""Cells and job mixes of the two deployments, for the benchmarks."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    JobClass,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.resources import NO_RESOURCES, Resources
from fuchsiarill.workers import HostEntry, HostState

_DOMAINS_COUNT: Final = 3
_UNUSED_TOKEN_SHA256: Final = '0' * 64
_SIZE_NOISE: Final = 0.1
_SERVICES_AT_MS: Final = 2_000


@dataclass(frozen=True, slots=True)
class Shape:
    """Capacity of one kind of workers, their number and number per rack."""

    count: int
    per_rack: int
    capacity: Resources


@dataclass(frozen=True, slots=True)
class JobKind:
    """One class of jobs: its mean real size, and its share of submissions.

    `share` is relative to the sum over all classes. The declared processors,
    memory and run time are those of `size` and `run_time_ms` times
    `declared_ratio`.
    """

    customer: str
    name: str
    share: float
    size: Resources
    run_time_ms: int
    declared_ratio: float
    urgency: Urgency = Urgency.NORMAL
    workload: Workload = Workload.BATCH
    execution: Execution = Execution.IDEMPOTENT
    tasks_count: int = 1

    def resource_time(self) -> Resources:
        """Return the resources of one job times its run time in ms."""
        return self.size.times(self.tasks_count * self.run_time_ms)


@dataclass(frozen=True, slots=True)
class Deployment:
    """A cell, its customers and their job classes.

    `customers` names one customer for each shape of workers; its contract
    guarantees it the capacity of these workers.
    """

    name: str
    placement: str
    shapes: tuple[Shape, ...]
    customers: tuple[str, ...]
    kinds: tuple[JobKind, ...]
    services: tuple[JobKind, ...]

    def capacity(self) -> Resources:
        """Return the total capacity of all workers."""
        return sum(
            (shape.capacity.times(shape.count) for shape in self.shapes),
            start=NO_RESOURCES,
        )

    def hosts(self) -> Iterator[HostEntry]:
        """Yield the host list entries; racks alternate between domains."""
        for shape_index, shape in enumerate(self.shapes):
            for number in range(shape.count):
                rack = f'k{shape_index}-{number // shape.per_rack}'
                domain = number // shape.per_rack % _DOMAINS_COUNT
                yield HostEntry(
                    WorkerId(f'w{shape_index}-{number}'),
                    'none',
                    RegionId('r'),
                    FailureDomain(f'd{domain}'),
                    RackId(rack),
                    shape.capacity,
                    64,
                    HostState.LIVE,
                )

    def arrivals_per_ms(self, load: float) -> float:
        """Return the submission rate at a load of the scarcest resource.

        `load` is a fraction of the capacity that services, which run all the
        time, leave to other jobs.
        """
        service_use = sum(
            (
                service.size.times(service.tasks_count)
                for service in self.services
            ),
            start=NO_RESOURCES,
        )
        capacity = (self.capacity() - service_use).as_tuple()
        total_share = sum(kind.share for kind in self.kinds)
        demand = sum(
            (_scaled(kind.resource_time(), kind.share) for kind in self.kinds),
            start=NO_RESOURCES,
        )
        return load * min(
            available * total_share / amount
            for available, amount in zip(
                capacity, demand.as_tuple(), strict=True
            )
            if amount
        )

    def config(self, policies: dict[str, Any], placement: str) -> CellConfig:
        """Return a configuration; all contracts have the same placement."""
        total = self.capacity()
        return CellConfig.model_validate(
            {
                'cell': self.name,
                'regions': [{'name': 'r'}],
                'policies': policies,
                'contracts': [
                    {
                        'customer': customer,
                        'region': 'r',
                        'quota': _amounts(total),
                        'guaranteed': _amounts(guaranteed),
                        'weight': guaranteed.dominant_share(total),
                        'submit_rate_per_s': 10**6,
                        'submit_burst_count': 10**6,
                        'waiting_jobs_max_count': 10**6,
                        'placement': placement,
                        'token_sha256': _UNUSED_TOKEN_SHA256,
                    }
                    for customer, guaranteed in self._guarantees()
                ],
                'operator_token_sha256': _UNUSED_TOKEN_SHA256,
            },
        )

    def _guarantees(self) -> Iterator[tuple[str, Resources]]:
        for customer, shape in zip(self.customers, self.shapes, strict=True):
            yield customer, shape.capacity.times(shape.count)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One submission, with its real size and run time."""

    at_ms: int
    spec: JobSpec
    size: Resources
    run_time_ms: int


def arrivals(
    deployment: Deployment,
    load: float,
    until_ms: int,
    seed: int,
) -> list[Arrival]:
    """Return the submissions: services first, then jobs at random times.

    Services are submitted at `_SERVICES_AT_MS`, when all workers are known.
    """
    random_source = random.Random(seed)
    scheduled = [
        _arrival(_SERVICES_AT_MS, kind, 0, random_source)
        for kind in deployment.services
    ]
    rate = deployment.arrivals_per_ms(load)
    shares = [kind.share for kind in deployment.kinds]
    at_ms = float(_SERVICES_AT_MS)
    while at_ms < until_ms:
        at_ms += random_source.expovariate(rate)
        kind = random_source.choices(deployment.kinds, shares)[0]
        scheduled.append(
            _arrival(int(at_ms), kind, len(scheduled), random_source)
        )
    return scheduled


def _arrival(
    at_ms: int,
    kind: JobKind,
    number: int,
    random_source: random.Random,
) -> Arrival:
    noise = random_source.uniform(1 - _SIZE_NOISE, 1 + _SIZE_NOISE)
    size = Resources(
        int(kind.size.processors_milli * noise),
        int(kind.size.memory_mb * noise),
        kind.size.accelerators_count,
        kind.size.slots_count,
    )
    declared = Resources(
        int(kind.size.processors_milli * kind.declared_ratio),
        int(kind.size.memory_mb * kind.declared_ratio),
        kind.size.accelerators_count,
        kind.size.slots_count,
    )
    run_time_ms = 0
    if kind.run_time_ms:
        run_time_ms = int(random_source.expovariate(1 / kind.run_time_ms)) + 1
    spec = JobSpec(
        CustomerId(kind.customer),
        f'{kind.name}-{number}',
        kind.workload,
        kind.execution,
        kind.urgency,
        JobClass(kind.name),
        kind.tasks_count,
        declared,
        int(kind.run_time_ms * kind.declared_ratio),
        '',
    )
    return Arrival(at_ms, spec, size, run_time_ms)


def _scaled(amounts: Resources, factor: float) -> Resources:
    return Resources(*(int(amount * factor) for amount in amounts.as_tuple()))


def _amounts(total: Resources) -> dict[str, int]:
    return {
        'processors_milli': total.processors_milli,
        'memory_mb': total.memory_mb,
        'accelerators_count': total.accelerators_count,
        'slots_count': total.slots_count,
    }


FROSTWICK: Final = Deployment(
    name='frostwick',
    placement='spread',
    shapes=(
        Shape(18, 5, Resources(32_000, 128_000, 0, 8)),
        Shape(7, 3, Resources(64_000, 128_000, 8, 8)),
    ),
    customers=('order-desk', 'design-studio'),
    kinds=(
        JobKind(
            'order-desk',
            'dealer-order',
            10,
            Resources(1_000, 2_000, 0, 1),
            1_500,
            0.5,
            urgency=Urgency.URGENT,
            execution=Execution.AT_MOST_ONCE,
        ),
        JobKind(
            'order-desk',
            'late-costing',
            4,
            Resources(4_000, 12_000, 0, 1),
            6_000,
            0.25,
            urgency=Urgency.URGENT,
        ),
        JobKind(
            'order-desk',
            'wax-costing',
            30,
            Resources(4_000, 14_000, 0, 1),
            12_000,
            4,
        ),
        JobKind(
            'design-studio',
            'label-art',
            6,
            Resources(6_000, 12_000, 1, 1),
            20_000,
            0.5,
        ),
        JobKind(
            'design-studio',
            'photo-check',
            1.5,
            Resources(4_000, 8_000, 1, 1),
            15_000,
            2,
            workload=Workload.GANG,
            tasks_count=4,
        ),
        JobKind(
            'design-studio',
            'preview',
            10,
            Resources(2_000, 4_000, 0, 1),
            4_000,
            1,
        ),
    ),
    services=(
        JobKind(
            'order-desk',
            'rack-watch',
            0,
            Resources(500, 1_000, 0, 1),
            0,
            1,
            workload=Workload.SERVICE,
            tasks_count=12,
        ),
    ),
)

COOPERATIVE: Final = Deployment(
    name='cooperative',
    placement='pack',
    shapes=(
        Shape(18, 5, Resources(16_000, 32_000, 0, 8)),
        Shape(7, 3, Resources(32_000, 64_000, 8, 8)),
    ),
    customers=('frame-planner', 'light-studio'),
    kinds=(
        JobKind(
            'frame-planner',
            'frost-alert',
            8,
            Resources(500, 500, 0, 1),
            1_000,
            1,
            urgency=Urgency.URGENT,
        ),
        JobKind(
            'frame-planner',
            'frame-plan',
            14,
            Resources(3_000, 5_000, 0, 1),
            20_000,
            0.25,
        ),
        JobKind(
            'frame-planner',
            'cut-list',
            8,
            Resources(1_000, 3_000, 0, 1),
            8_000,
            2,
            execution=Execution.AT_MOST_ONCE,
        ),
        JobKind(
            'frame-planner',
            'venting',
            10,
            Resources(2_500, 3_500, 0, 1),
            10_000,
            4,
        ),
        JobKind(
            'light-studio',
            'glazing',
            4,
            Resources(4_000, 8_000, 1, 1),
            40_000,
            0.5,
        ),
        JobKind(
            'light-studio',
            'shade-study',
            1,
            Resources(3_000, 6_000, 1, 1),
            30_000,
            1,
            workload=Workload.GANG,
            tasks_count=4,
        ),
    ),
    services=(
        JobKind(
            'frame-planner',
            'sensor-watch',
            0,
            Resources(250, 500, 0, 1),
            0,
            1,
            workload=Workload.SERVICE,
            tasks_count=10,
        ),
    ),
)

DEPLOYMENTS: Final = (FROSTWICK, COOPERATIVE)
