"""The link to one other process: one connection, a deadline for each call.

A connection that misses a deadline is closed and never used again; the next
call dials afresh. Calls run concurrently, and capnp matches the answers.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any

import capnp

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, handles
from fuchsiarill.answers import JobAnswer, refused
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.cluster.encoding import SCHEMA, read_answer, spec_fields
from fuchsiarill.ids import PartitionId
from fuchsiarill.owner import messages
from fuchsiarill.refusal import refuse
from fuchsiarill.settings import PeerSettings


class PeerLink(Actor):
    """Passes messages for one partition to its owner in another process."""

    def __init__(
        self,
        partition: PartitionId,
        address: str,
        settings: PeerSettings,
    ) -> None:
        """Create the link; it dials at the first call."""
        super().__init__(f'peer link {address}')
        self._partition = partition
        self._address = address
        self._settings = settings
        self._peer: Any = None
        self._calls: set[asyncio.Task[None]] = set()

    @handles(messages.SubmitJobs)
    async def on_submit(self, message: messages.SubmitJobs) -> None:
        """Submit a batch remotely."""
        self._spawn(self._submit(message))

    @handles(messages.AskJob)
    async def on_ask(self, message: messages.AskJob) -> None:
        """Query remotely."""
        self._spawn(self._ask(message))

    @handles(messages.CancelJob)
    async def on_cancel(self, message: messages.CancelJob) -> None:
        """Cancel remotely."""
        self._spawn(self._cancel(message))

    async def _submit(self, message: messages.SubmitJobs) -> None:
        encoded = [spec_fields(spec) for spec in message.specs]
        received = await self._call(
            'submit',
            {'partition': self._partition, 'specs': encoded},
            self._settings.call_timeout_ms,
        )
        if isinstance(received, JobAnswer):
            message.reply.answer((received,) * len(message.specs))
            return
        message.reply.answer(
            tuple(read_answer(answer) for answer in received.answers),
        )

    async def _ask(self, message: messages.AskJob) -> None:
        query = message.query
        received = await self._call(
            'query',
            {
                'partition': self._partition,
                'customer': query.customer,
                'jobId': query.job_id,
                'waitMs': query.wait_ms,
            },
            self._settings.call_timeout_ms + query.wait_ms,
        )
        message.reply.answer(_single(received))

    async def _cancel(self, message: messages.CancelJob) -> None:
        received = await self._call(
            'cancel',
            {
                'partition': self._partition,
                'customer': message.cancel.customer,
                'jobId': message.cancel.job_id,
            },
            self._settings.call_timeout_ms,
        )
        message.reply.answer(_single(received))

    async def _call(
        self,
        method: str,
        request: dict[str, Any],
        timeout_ms: int,
    ) -> Any:
        """Return the received struct, or a `JobAnswer` that refuses."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                peer = await self._dial()
        except (OSError, TimeoutError):
            return self._unavailable()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await getattr(peer, method)(**request)
        except (capnp.KjException, TimeoutError):
            self._peer = None
            return self._uncertain()

    async def _dial(self) -> Any:
        """Return the remote capability, over a new connection if need be.

        `bootstrap` is called once for each connection: calling it on a lost
        connection makes capnp abort the process when the result is dropped.
        """
        if self._peer is None:
            host, _, port = self._address.rpartition(':')
            stream = await capnp.AsyncIoStream.create_connection(
                host=host,
                port=int(port),
            )
            client = capnp.TwoPartyClient(stream)
            self._peer = client.bootstrap().cast_as(SCHEMA.Peer)
        return self._peer

    def _spawn(self, call: Awaitable[None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _unavailable(self) -> JobAnswer:
        return refused(
            refuse(
                codes.OWNER_UNAVAILABLE,
                texts.OWNER_UNAVAILABLE,
                partition=self._partition,
                retry_after_ms=self._settings.call_timeout_ms,
            ),
        )

    def _uncertain(self) -> JobAnswer:
        return refused(
            refuse(
                codes.OUTCOME_UNCERTAIN,
                texts.OUTCOME_UNCERTAIN,
                partition=self._partition,
            ),
        )


def _single(received: Any) -> JobAnswer:
    if isinstance(received, JobAnswer):
        return received
    return read_answer(received.answer)
