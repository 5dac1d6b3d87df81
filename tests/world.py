"""Several processes of one partition, on fake ports and simulated time."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from fuchsiarill import codes
from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.answers import JobAnswer, JobCancel, JobQuery
from fuchsiarill.cell_config import CellConfig
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.core.ledger import task_of
from fuchsiarill.ids import (
    FailureDomain,
    JobId,
    PartitionId,
    ProcessId,
    TaskId,
    task_id,
)
from fuchsiarill.job import Execution, JobRecord, JobSpec
from fuchsiarill.owner import messages
from fuchsiarill.owner.campaign import Campaign
from fuchsiarill.owner.partition_service import Ports
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.settings import (
    HostListSettings,
    HttpSettings,
    PeerSettings,
    ProcessSettings,
    StoreSettings,
    WorkerSettings,
)
from fuchsiarill.states import PartitionState
from tests.builders import CUSTOMER, REGION, cell, host
from tests.fakes import (
    FakeHostList,
    FakeStore,
    FakeWorker,
    FakeWorkers,
    NetworkLink,
    StoreState,
)

PARTITION = PartitionId('r.0')
REPLY_TIMEOUT_MS = 12_000
_CLOCKS_AHEAD_MS = (5_000, 70_000)


def settings_of(process: str) -> ProcessSettings:
    return ProcessSettings(
        process=ProcessId(process),
        region=REGION,
        failure_domain=FailureDomain('d'),
        http=HttpSettings(port=1),
        peers=PeerSettings(port=1),
        store=StoreSettings(url=''),
        host_list=HostListSettings(url=''),
        workers=WorkerSettings(),
    )


@dataclass
class Process:
    """One process: its campaign and its link to the store and workers."""

    name: str
    link: NetworkLink
    campaign: Campaign

    def owner_mailbox(self) -> Mailbox | None:
        """Return the mailbox of this process as owner, `None` if it is not."""
        service = self.campaign.children.service
        return None if service is None else service.owner.mailbox

    def at_most_once_jobs(self) -> list[JobId]:
        """Return the at-most-once jobs that the process knows as owner."""
        return [
            job.job_id
            for job in self.jobs()
            if job.spec.execution is Execution.AT_MOST_ONCE
        ]

    def jobs(self) -> list[JobRecord]:
        """Return the jobs that the process knows as owner."""
        service = self.campaign.children.service
        if service is None:
            return []
        return list(service.owner.core.state.jobs.values())

    def owns(self) -> bool:
        """Return whether the process may act as owner now."""
        if self.campaign.state is not PartitionState.OWNING:
            return False
        return now_ms() < self.campaign.lease.deadline_ms


class World:
    """Store, workers and processes of one partition.

    All processes reach other workers than the fake ones by `worker_port`. The
    fake workers are keyed by address, the host list in `hosts` by worker id.
    """

    def __init__(
        self,
        config: CellConfig | None = None,
        worker_port: WorkerPort | None = None,
    ) -> None:
        self.config = config or cell()
        self.store = StoreState()
        self.workers = {
            name: FakeWorker(name, ahead_ms)
            for name, ahead_ms in zip(
                ('w1', 'w2'),
                _CLOCKS_AHEAD_MS,
                strict=True,
            )
        }
        self.hosts = {name: host(name) for name in self.workers}
        self.processes: list[Process] = []
        self._worker_port = worker_port
        self._started_count = 0

    def start(self) -> Process:
        """Start another process."""
        self._started_count += 1
        name = f'p{self._started_count}'
        link = NetworkLink()
        ports = Ports(
            FakeStore(self.store, link),
            FakeHostList(self.hosts),
            self._worker_port or FakeWorkers(self.workers, link),
        )
        campaign = Campaign(
            settings_of(name),
            PARTITION,
            self.config,
            ports,
            Mailbox(),
        )
        process = Process(name, link, campaign)
        self.processes.append(process)
        campaign.start()
        return process

    async def kill(self, process: Process) -> None:
        """Stop a process at once, without a handover."""
        self.processes.remove(process)
        await process.campaign.stop()

    async def until_owned(self, limit_ms: int = 10_000) -> Process:
        """Return the process that owns the partition, once there is one.

        Fails after `limit_ms`.
        """
        ends_at_ms = now_ms() + limit_ms
        while now_ms() < ends_at_ms:
            for process in self.processes:
                if process.owns():
                    return process
            await sleep_ms(10)
        raise AssertionError('no process owns the partition')

    async def submit(
        self,
        process: Process,
        *specs: JobSpec,
    ) -> tuple[JobAnswer, ...]:
        """Submit jobs to a process that regards itself as the owner."""
        mailbox = process.owner_mailbox()
        assert mailbox is not None
        reply: Reply[tuple[JobAnswer, ...]] = Reply()
        mailbox.send(messages.SubmitJobs(specs, reply))
        return await reply.wait(REPLY_TIMEOUT_MS)

    async def submit_one(self, process: Process, job: JobSpec) -> JobAnswer:
        """Submit a single job."""
        answers = await self.submit(process, job)
        return answers[0]

    async def query(
        self,
        process: Process,
        job_id: JobId,
        wait_ms: int = 0,
    ) -> JobAnswer:
        """Query a job."""
        mailbox = process.owner_mailbox()
        assert mailbox is not None
        reply: Reply[JobAnswer] = Reply()
        job_query = JobQuery(CUSTOMER, job_id, wait_ms)
        mailbox.send(messages.QueryJob(job_query, reply))
        return await reply.wait(wait_ms + REPLY_TIMEOUT_MS)

    async def cancel(self, process: Process, job_id: JobId) -> JobAnswer:
        """Cancel a job."""
        mailbox = process.owner_mailbox()
        assert mailbox is not None
        reply: Reply[JobAnswer] = Reply()
        mailbox.send(messages.CancelJob(JobCancel(CUSTOMER, job_id), reply))
        return await reply.wait(REPLY_TIMEOUT_MS)

    async def hand_over(self, process: Process) -> bool:
        """Let a process release its partition; returns whether it finished."""
        reply: Reply[bool] = Reply()
        process.campaign.mailbox.send(messages.HandOver(reply))
        return await reply.wait(REPLY_TIMEOUT_MS)

    async def stop(self) -> None:
        """Stop all processes."""
        await asyncio.gather(
            *(process.campaign.stop() for process in self.processes),
        )

    def accepted_starts(self) -> Counter[TaskId]:
        """Return how often workers accepted a start of each task."""
        return Counter(
            task_of(attempt_id)
            for worker in self.workers.values()
            for attempt_id, _epoch in worker.accepted
        )

    def starts_of(self, answer: JobAnswer) -> int:
        """Return how often workers accepted a start of a job's first task."""
        return self.accepted_starts()[task_id(job_id_of(answer), 0)]

    def running_copies(self) -> Counter[TaskId]:
        """Return the number of copies of each task that are running."""
        return Counter(
            task_of(attempt_id)
            for worker in self.workers.values()
            for attempt_id in worker.running()
        )


def is_accepted(answer: JobAnswer) -> bool:
    """Return whether an answer confirms that the job is durable."""
    return answer.code is codes.ACCEPTED


def job_id_of(answer: JobAnswer) -> JobId:
    """Return the job that an answer is about."""
    assert answer.job_id is not None
    return answer.job_id
