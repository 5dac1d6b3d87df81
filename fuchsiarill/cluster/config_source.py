"""The actor that reads the configuration from the store by poll and watch.

Every process polls at a long interval. Only one process of each failure domain
also keeps a watch, since a pending watch counts as a store call.
"""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill import events
from fuchsiarill.actor import Mailbox, handles
from fuchsiarill.clock import sleep_ms
from fuchsiarill.cluster.config_document import (
    CONFIG_KEY,
    ConfigDocument,
    read_document,
)
from fuchsiarill.cluster.member_table import NO_GENERATION
from fuchsiarill.cluster.spawning_actor import SpawningActor
from fuchsiarill.ids import ABSENT, Revision
from fuchsiarill.ports.store import StoreFailure, StorePort, Versioned
from fuchsiarill.settings import ConfigSettings

# Spreads the polls of many processes, and their retries when all calls fail at
# the same time.
_JITTER_RATIO: Final = 0.25
_RETRY_GROWTH_FACTOR: Final = 2


@dataclass(frozen=True, slots=True)
class SetWatching:
    """Requests to start or stop the watch for the failure domain."""

    watching: bool


@dataclass(frozen=True, slots=True)
class DocumentFetched:
    """A document of the store, of a peer or of an operator's change.

    `document` is `None` if the peer did not answer.
    """

    document: ConfigDocument | None
    from_peer: bool = False


class ConfigSource(SpawningActor):
    """Sends each document that it reads to the configuration actor."""

    def __init__(
        self,
        settings: ConfigSettings,
        store: StorePort,
        config_mailbox: Mailbox,
        random_source: random.Random,
    ) -> None:
        """Read from `store` and send documents to `config_mailbox`."""
        super().__init__('config source')
        self._settings = settings
        self._store = store
        self._config_mailbox = config_mailbox
        self._random_source = random_source
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Run the actor and start polling."""
        super().start()
        self.spawn(self._poll_store())

    @handles(SetWatching)
    async def on_set_watching(self, message: SetWatching) -> None:
        """Start or stop the watch."""
        if message.watching and self._watch is None:
            self._watch = self.spawn(self._watch_store())
        if not message.watching and self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {**super().snapshot(), 'watching': self._watch is not None}

    async def _poll_store(self) -> None:
        """Poll the store; retry a failed read sooner than the next poll.

        The retry interval doubles with each failure since the start of the
        process, up to the poll interval; a success does not reset it.
        """
        retry_ms = self._settings.retry_interval_ms
        while True:
            wait_ms = self._settings.poll_interval_ms
            read_result = await self._store.get(CONFIG_KEY)
            if isinstance(read_result, Success):
                self._send_document(read_result.unwrap())
            else:
                wait_ms = min(retry_ms, wait_ms)
                retry_ms *= _RETRY_GROWTH_FACTOR
            await sleep_ms(self._add_jitter(wait_ms))

    async def _watch_store(self) -> None:
        revision = ABSENT
        while True:
            watch_result = await self._store.watch(
                CONFIG_KEY,
                revision,
                self._settings.watch_wait_ms,
            )
            revision = await self._send_if_changed(watch_result, revision)

    async def _send_if_changed(
        self,
        watch_result: Result[Versioned, StoreFailure],
        revision: Revision,
    ) -> Revision:
        if isinstance(watch_result, Failure):
            await sleep_ms(self._add_jitter(self._settings.retry_interval_ms))
            return revision
        stored = watch_result.unwrap()
        if stored.revision != revision:
            self._send_document(stored)
        return stored.revision

    def _send_document(self, stored: Versioned) -> None:
        document = read_document(stored.value)
        if isinstance(document, Success):
            self._config_mailbox.send(DocumentFetched(document.unwrap()))
            return
        events.emit(
            events.CONFIG_REJECTED,
            generation=NO_GENERATION,
            author='',
            problem=document.failure(),
        )

    def _add_jitter(self, wait_ms: float) -> float:
        ratio = self._random_source.uniform(
            1 - _JITTER_RATIO, 1 + _JITTER_RATIO
        )
        return wait_ms * ratio
