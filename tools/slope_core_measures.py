"""Measurements of core, journal and gossip as functions of a size."""

import gc
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Final

from fuchsiarill.cell_config import CellConfig
from fuchsiarill.cluster.cluster_encoding import gossip_fields
from fuchsiarill.cluster.job_encoding import SCHEMA
from fuchsiarill.cluster.member_table import (
    Beat,
    Gossip,
    MemberDetail,
    MemberTable,
)
from fuchsiarill.core.partition import PartitionCore, job_id_of
from fuchsiarill.ids import (
    CustomerId,
    Epoch,
    FailureDomain,
    Generation,
    JobClass,
    PartitionId,
    ProcessId,
    RegionId,
    WorkerId,
)
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.owner.journal_format import (
    encode,
    entry_value,
    parse_entry,
)
from fuchsiarill.records import JobAccepted, JobEnded, Record, TaskFinished
from fuchsiarill.resources import Resources
from fuchsiarill.settings import MembershipSettings
from fuchsiarill.states import JobState
from tools.bench_decisions import FullCell
from tools.measurement import measurement, processor_ms

_WORKERS_COUNTS: Final = (100, 200, 400, 800)
_JOBS_COUNTS: Final = (500, 1_000, 2_000, 4_000)
_MEMBERS_COUNTS: Final = (8, 25, 50, 100, 200)
_PARTITION: Final = PartitionId('region-1.0')
_REPEATS: Final = 3


def _allocated_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    built = [build()]
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    built.clear()
    return size


def _spec(number: int) -> JobSpec:
    return JobSpec(
        CustomerId('team-17'),
        f'order-2026-12-04-{number:08}',
        Workload.BATCH,
        Execution.IDEMPOTENT,
        Urgency.NORMAL,
        JobClass('costing'),
        tasks_count=1,
        task_size=Resources(1_000, 2_000, 0, 1),
        run_time_ms=60_000,
        payload='order 4711: 120 pillar candles, lime wax, 8 h cure',
    )


def _records(jobs_count: int) -> list[Record]:
    records: list[Record] = []
    for number in range(jobs_count):
        spec = _spec(number)
        job_id = job_id_of(_PARTITION, spec)
        records.append(JobAccepted(job_id, spec))
        records.append(TaskFinished(job_id, 0, 'costed'))
        records.append(JobEnded(job_id, JobState.SUCCEEDED))
    return records


def _cell_with_queue(jobs_count: int) -> FullCell:
    cell = FullCell(25)
    cell.fill_queue(jobs_count)
    return cell


@measurement('owner_memory_by_worker', 'bytes', 'full worker', _WORKERS_COUNTS)
def owner_memory_by_worker(workers_count: int) -> float:
    """Return the bytes allocated for workers and their four tasks each."""
    return _allocated_bytes(partial(FullCell, workers_count))


@measurement('owner_memory_by_job', 'bytes', 'waiting job', _JOBS_COUNTS)
def owner_memory_by_job(jobs_count: int) -> float:
    """Return the bytes allocated for waiting jobs of one task each."""
    return _allocated_bytes(partial(_cell_with_queue, jobs_count))


@measurement('report_ms', 'ms', 'workers that report', _WORKERS_COUNTS)
def report_ms(workers_count: int) -> float:
    """Return the core's time for an unchanged report of every worker."""
    cell = FullCell(workers_count)
    workers = tuple(cell.core.state.workers)
    cell.now_ms += 1_000

    return processor_ms(partial(_report_all, cell, workers), _REPEATS)


def _report_all(cell: FullCell, workers: tuple[WorkerId, ...]) -> None:
    for worker_id in workers:
        cell.report(worker_id, {})


@measurement('journal_bytes', 'bytes', 'job', _JOBS_COUNTS)
def journal_bytes(jobs_count: int) -> float:
    """Return the bytes that finished jobs add to the journal."""
    return sum(
        len(encode(sequence, record).text)
        for sequence, record in enumerate(_records(jobs_count))
    )


@measurement('restore_ms', 'ms', 'job', _JOBS_COUNTS)
def restore_ms(jobs_count: int) -> float:
    """Return the time to decode and apply the records of finished jobs."""
    texts = [
        encode(sequence, record).text
        for sequence, record in enumerate(_records(jobs_count))
    ]
    config = FullCell(1).core.state.config
    value = entry_value('token', 1, texts)
    return processor_ms(partial(_restore, config, value), _REPEATS)


def _restore(config: CellConfig, value: str) -> None:
    core = PartitionCore(_PARTITION, Epoch(2), config)
    core.restore(parse_entry(value).unwrap().records, 0)


def _beats(members_count: int) -> Gossip:
    return Gossip(
        tuple(
            Beat(number * 7919, 10_000 + number, Generation(4_000), 250)
            for number in range(members_count)
        ),
    )


@measurement('gossip_bytes', 'bytes', 'member', _MEMBERS_COUNTS)
def gossip_bytes(members_count: int) -> float:
    """Return the capnp bytes, not packed, of one gossip message of beats."""
    encoded = SCHEMA.Gossip.new_message(**gossip_fields(_beats(members_count)))
    return len(encoded.to_bytes())


@measurement('gossip_merge_ms', 'ms', 'member', _MEMBERS_COUNTS)
def gossip_merge_ms(members_count: int) -> float:
    """Return the time to merge the beats and the details of all members."""
    details = tuple(
        MemberDetail(
            ProcessId(f'process-{number}'),
            RegionId('region-1'),
            FailureDomain('domain-1'),
            f'127.0.0.1:{number}',
            incarnation=1,
        )
        for number in range(members_count)
    )
    beats = tuple(Beat(detail.key, 2, Generation(1), 0) for detail in details)
    table = MemberTable(MembershipSettings(), details[0], 0)
    message = Gossip(beats, details)
    return processor_ms(partial(table.merge, message, 1), _REPEATS)
