"""Refuses what reaches an owner that has stopped.

The router and the links of other processes learn of the end a little later;
until then their messages would get no answer and their callers no certainty.
"""

import asyncio
from contextlib import suppress
from typing import Final

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.owner.job_replies import owner_unavailable
from fuchsiarill.routing import answer_all

_LATE_MS: Final = 2_000
_CALLER_MESSAGES: Final = (
    messages.SubmitJobs,
    messages.QueryJob,
    messages.CancelJob,
    messages.ListJobs,
    messages.ExplainJob,
)


async def refuse_late_requests(
    mailbox: Mailbox, partition: PartitionId
) -> None:
    """Answer callers in the mailbox of a stopped owner for some time."""
    with suppress(TimeoutError):
        async with asyncio.timeout(_LATE_MS / MS_PER_SECOND):
            await _refuse_all(mailbox, partition)


async def _refuse_all(mailbox: Mailbox, partition: PartitionId) -> None:
    while True:
        message = await mailbox.receive()
        if isinstance(message, _CALLER_MESSAGES):
            answer_all(message, owner_unavailable(partition))
