"""Takes over the journal of a partition and opens the next epoch."""

import asyncio

from returns.result import Success

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.clock import now_ms
from fuchsiarill.core.ledger import fold
from fuchsiarill.ids import Epoch, PartitionId, ProcessId
from fuchsiarill.owner.campaign_messages import TakenOver, TakeoverFailed
from fuchsiarill.owner.journal_format import JournalFault
from fuchsiarill.owner.journal_reader import (
    JournalClaim,
    JournalContents,
    append_entry,
    read_journal,
)
from fuchsiarill.owner.messages import OwnershipDeadline
from fuchsiarill.ports.store import StorePort
from fuchsiarill.records import EpochOpened


class Takeover(Actor):
    """One takeover; it continues only until the ownership deadline.

    An epoch is the number of an ownership; each takeover increments it.
    """

    def __init__(
        self,
        store: StorePort,
        partition: PartitionId,
        token: str,
        deadline_ms: int,
        campaign: Mailbox,
    ) -> None:
        """Take over the journal on behalf of the claim with `token`."""
        super().__init__(f'takeover {partition}')
        self._claim = JournalClaim(store, partition, token, self._may_continue)
        self._deadline_ms = deadline_ms
        self._campaign = campaign

    def begin(self, process: ProcessId, task_lease_ms: int) -> None:
        """Start the actor and the takeover as tasks."""
        self.start()
        takeover = self._take_over(process, task_lease_ms)
        self._tasks.append(asyncio.create_task(takeover, name=self.name))

    @handles(OwnershipDeadline)
    async def on_deadline(self, message: OwnershipDeadline) -> None:
        """Extend the deadline of the takeover."""
        self._deadline_ms = message.deadline_ms

    def _may_continue(self) -> bool:
        return now_ms() < self._deadline_ms

    async def _take_over(self, process: ProcessId, task_lease_ms: int) -> None:
        try:
            await self._read_and_open(process, task_lease_ms)
        except Exception as error:
            events.emit(
                events.OWNER_ACTOR_DIED,
                actor=self.name,
                error=repr(error),
            )
            self._report_failure(JournalFault.INTERRUPTED)

    async def _read_and_open(
        self,
        process: ProcessId,
        task_lease_ms: int,
    ) -> None:
        read_result = await read_journal(self._claim)
        if not isinstance(read_result, Success):
            self._report_failure(read_result.failure())
            return
        journal: JournalContents = read_result.unwrap()
        ledger_image = fold(journal.records)
        epoch_record = EpochOpened(
            Epoch(ledger_image.epoch + 1), process, task_lease_ms
        )
        fault = await append_entry(self._claim, journal, epoch_record)
        if fault is None and not self._may_continue():
            fault = JournalFault.INTERRUPTED
        if fault is not None:
            self._report_failure(fault)
            return
        self._campaign.send(TakenOver(self._claim.token, journal))

    def _report_failure(self, fault: JournalFault) -> None:
        self._campaign.send(TakeoverFailed(self._claim.token, fault))
