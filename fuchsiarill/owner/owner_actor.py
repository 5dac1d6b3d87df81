"""The actor that owns a partition: feeds the core, carries out its effects."""

from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.answers import JobAnswer, refused
from fuchsiarill.clock import now_ms
from fuchsiarill.core.effects import (
    CommandTask,
    JobSettled,
    PersistRecord,
    StartTask,
)
from fuchsiarill.core.partition import PartitionCore
from fuchsiarill.ids import JobId, WorkerId
from fuchsiarill.job import JobRecord
from fuchsiarill.owner import messages
from fuchsiarill.owner.journal import JournalActor
from fuchsiarill.owner.worker_link import WorkerLink
from fuchsiarill.ports.workers import WorkerPort
from fuchsiarill.refusal import refuse
from fuchsiarill.registry import Registry
from fuchsiarill.states import JobState

EffectHandler = Callable[['OwnerActor', Any], None]

EFFECT_HANDLERS: Final[Registry[type, EffectHandler]] = Registry('effects')
FINAL_STATES: Final = frozenset(
    (
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    ),
)


class OwnerActor(Actor):
    """Owns the core, the journal and the worker links of a partition."""

    def __init__(
        self,
        core: PartitionCore,
        journal: JournalActor,
        worker_port: WorkerPort,
        deadline_ms: int,
    ) -> None:
        """Create the owner; `deadline_ms` ends its first ownership lease."""
        super().__init__(f'owner {core.state.partition}')
        self.core = core
        self.journal = journal
        self.deadline_ms = deadline_ms
        self.links: dict[WorkerId, WorkerLink] = {}
        self._worker_port = worker_port
        self._accepting: dict[int, list[Callable[[], None]]] = {}
        self._waiting: dict[JobId, list[Reply[JobAnswer]]] = {}
        journal.owner = self.mailbox

    @handles(messages.SubmitJobs)
    async def on_submit(self, message: messages.SubmitJobs) -> None:
        """Admit a batch and answer once all of it is durable."""
        answers = []
        for spec in message.specs:
            match self.core.submit(spec, now_ms()):
                case Success(job_id):
                    answers.append(JobAnswer(codes.ACCEPTED, job_id))
                case Failure(refusal):
                    answers.append(refused(refusal))
        self._answer_when_durable(message.reply, tuple(answers))
        self.carry_out()

    @handles(messages.AskJob)
    async def on_ask(self, message: messages.AskJob) -> None:
        """Answer with the state of a job, now or at its end."""
        job = self.core.state.jobs.get(message.query.job_id)
        if job is None or job.spec.customer != message.query.customer:
            message.reply.answer(_unknown_job(message.query.job_id))
            return
        if job.state in FINAL_STATES or not message.query.wait_ms:
            message.reply.answer(_answer_of(job))
            return
        self._waiting.setdefault(job.job_id, []).append(message.reply)

    @handles(messages.CancelJob)
    async def on_cancel(self, message: messages.CancelJob) -> None:
        """Cancel a job of the asking customer."""
        job = self.core.state.jobs.get(message.cancel.job_id)
        if job is None or job.spec.customer != message.cancel.customer:
            message.reply.answer(_unknown_job(message.cancel.job_id))
            return
        self.core.cancel(job.job_id, now_ms())
        answer = JobAnswer(codes.CANCEL_STARTED, job.job_id, job.state)
        self._answer_when_durable(message.reply, answer)
        self.carry_out()

    @handles(messages.HostsListed)
    async def on_hosts(self, message: messages.HostsListed) -> None:
        """Take over the host list and link to new workers."""
        self.core.hosts_listed(message.entries, now_ms())
        policies = self.core.state.config.policies
        for entry in message.entries:
            if entry.worker_id in self.links:
                continue
            link = WorkerLink(
                entry,
                self.core.state.epoch,
                self._worker_port,
                self.mailbox,
                policies.task_lease_ms,
            )
            self.links[entry.worker_id] = link
            link.start()
            link.mailbox.send(messages.Tick())
            link.tick_every(policies.exchange_interval_ms, messages.Tick())
        self.carry_out()

    @handles(messages.WorkerReported)
    async def on_report(self, message: messages.WorkerReported) -> None:
        """Take over a report."""
        self.core.worker_reported(message.report, now_ms())
        self.carry_out()

    @handles(messages.WorkerSilent)
    async def on_silent(self, message: messages.WorkerSilent) -> None:
        """Regard a worker as out of reach."""
        self.core.worker_silent(message.worker_id, now_ms())
        self.carry_out()

    @handles(messages.Committed)
    async def on_committed(self, message: messages.Committed) -> None:
        """Follow up on durable records and answer who waited for them."""
        for sequence in sorted(self.core.state.after_commit):
            if sequence > message.sequence:
                break
            self.core.committed(sequence, now_ms())
        for sequence in sorted(self._accepting):
            if sequence > message.sequence:
                break
            for send_answer in self._accepting.pop(sequence):
                send_answer()
        self.carry_out()

    @handles(messages.OwnershipDeadline)
    async def on_deadline(self, message: messages.OwnershipDeadline) -> None:
        """Note that ownership was extended."""
        self.deadline_ms = message.deadline_ms

    @handles(messages.Tick)
    async def on_tick(self, message: messages.Tick) -> None:
        """Decide again; time alone can change what is due."""
        self.carry_out()

    def carry_out(self) -> None:
        """Decide, and carry out all effects in their order."""
        self.core.decide(now_ms())
        for effect in self.core.take_effects():
            EFFECT_HANDLERS.lookup(type(effect))(self, effect)

    def answer_waiting(self, job_id: JobId) -> None:
        """Answer all who wait for the end of a job."""
        job = self.core.state.jobs[job_id]
        for reply in self._waiting.pop(job_id, ()):
            reply.answer(_answer_of(job))

    def _answer_when_durable(self, reply: Reply[Any], answer: Any) -> None:
        sequence = self.core.state.sequence
        if not self.core.state.effects:
            reply.answer(answer)
            return
        self._accepting.setdefault(sequence, []).append(
            lambda: reply.answer(answer),
        )


@EFFECT_HANDLERS.register(PersistRecord)
def _persist(owner: OwnerActor, effect: PersistRecord) -> None:
    owner.journal.mailbox.send(
        messages.Append(effect.sequence, effect.record),
    )


@EFFECT_HANDLERS.register(StartTask)
def _start(owner: OwnerActor, effect: StartTask) -> None:
    owner.links[effect.worker_id].mailbox.send(
        messages.SendStart(effect, owner.core.state.epoch, owner.deadline_ms),
    )


@EFFECT_HANDLERS.register(CommandTask)
def _command(owner: OwnerActor, effect: CommandTask) -> None:
    owner.links[effect.worker_id].mailbox.send(messages.SendCommand(effect))


@EFFECT_HANDLERS.register(JobSettled)
def _settled(owner: OwnerActor, effect: JobSettled) -> None:
    owner.answer_waiting(effect.job_id)


def _unknown_job(job_id: JobId) -> JobAnswer:
    return refused(refuse(codes.UNKNOWN_JOB, texts.UNKNOWN_JOB, job=job_id))


_CODE_OF_STATE: Final = {
    JobState.SUCCEEDED: codes.JOB_SUCCEEDED,
    JobState.FAILED: codes.JOB_FAILED,
    JobState.CANCELLED: codes.JOB_CANCELLED,
    JobState.UNKNOWN: codes.JOB_UNKNOWN,
}


def _answer_of(job: JobRecord) -> JobAnswer:
    code = _CODE_OF_STATE.get(job.state, codes.NOT_FINISHED)
    outputs = tuple(job.results[position] for position in sorted(job.results))
    return JobAnswer(code, job.job_id, job.state, outputs)
