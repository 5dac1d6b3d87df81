"""Refuses requests that reach an owner after it has stopped.

The router and the links of other processes notice the stop with a delay.
Until then requests to the old mailbox would time out and leave their clients
uncertain about the outcome.
"""

import asyncio
from contextlib import suppress
from typing import Final

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.owner.job_replies import owner_unavailable_answer
from fuchsiarill.routing import answer_all

_GRACE_PERIOD_MS: Final = 2_000
_CLIENT_REQUESTS: Final = (
    messages.SubmitJobs,
    messages.QueryJob,
    messages.CancelJob,
    messages.ListJobs,
    messages.ExplainJob,
)


async def refuse_late_requests(
    mailbox: Mailbox, partition: PartitionId
) -> None:
    """Refuse requests in a stopped owner's mailbox for a grace period."""
    with suppress(TimeoutError):
        async with asyncio.timeout(_GRACE_PERIOD_MS / MS_PER_SECOND):
            await _refuse_all(mailbox, partition)


async def _refuse_all(mailbox: Mailbox, partition: PartitionId) -> None:
    while True:
        message = await mailbox.receive()
        if isinstance(message, _CLIENT_REQUESTS):
            answer_all(message, owner_unavailable_answer(partition))
