"""Builders of configurations, submissions and host entries for tests."""

from fuchsiarill.cell_config import Amounts, CellConfig, Contract, Region
from fuchsiarill.ids import (
    CustomerId,
    FailureDomain,
    JobClass,
    RackId,
    RegionId,
    WorkerId,
)
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.resources import Resources
from fuchsiarill.workers import HostEntry, HostState

CUSTOMER = CustomerId('desk')
REGION = RegionId('r')
SIZE = Resources(1000, 1000, 0, 1)
_PLENTY = Amounts(
    processors_milli=10_000_000,
    memory_mb=10_000_000,
    slots_count=10_000,
)


def cell(*, volatile: bool = False, task_lease_ms: int = 15_000) -> CellConfig:
    contract = Contract(
        customer=CUSTOMER,
        region=REGION,
        quota=_PLENTY,
        guaranteed=_PLENTY,
        submit_rate_per_s=100_000,
        submit_burst_count=100_000,
        volatile_accept=volatile,
        token_sha256='0' * 64,
    )
    return CellConfig.model_validate(
        {
            'cell': 'test',
            'regions': (Region(name=REGION),),
            'contracts': (contract,),
            'policies': {'task_lease_ms': task_lease_ms},
            'operator_token_sha256': '0' * 64,
        },
    )


def spec(
    key: str,
    execution: Execution = Execution.IDEMPOTENT,
    *,
    tasks_count: int = 1,
    urgency: Urgency = Urgency.NORMAL,
    run_time_ms: int = 60_000,
    payload: str = '',
) -> JobSpec:
    return JobSpec(
        customer=CUSTOMER,
        idempotency_key=key,
        workload=Workload.BATCH,
        execution=execution,
        urgency=urgency,
        job_class=JobClass('default'),
        tasks_count=tasks_count,
        task_size=SIZE,
        run_time_ms=run_time_ms,
        payload=payload or key,
    )


def host(name: str, state: HostState = HostState.LIVE) -> HostEntry:
    return HostEntry(
        worker_id=WorkerId(name),
        address=name,
        region=REGION,
        failure_domain=FailureDomain('d'),
        rack=RackId('rack'),
        capacity=Resources(32_000, 128_000, 0, 8),
        connections_count=64,
        state=state,
    )
