"""The actor that reads the configuration from the store: poll and watch.

One process of each failure domain holds a watch, since a waiting watch
counts as a call; all others poll seldom.
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
from fuchsiarill.cluster.spawning import SpawningActor
from fuchsiarill.ids import ABSENT, Revision
from fuchsiarill.ports.store import StoreFailure, StorePort, Versioned
from fuchsiarill.settings import ConfigSettings

# Spreads the calls of many processes that fail at the same moment.
_JITTER_RATIO: Final = 0.25
_RETRY_GROWTH: Final = 2


@dataclass(frozen=True, slots=True)
class TakeTurn:
    """Begin or end to watch for the failure domain."""

    watching: bool


@dataclass(frozen=True, slots=True)
class DocumentFetched:
    """The store or a peer answered with a document; `None` for no answer."""

    document: ConfigDocument | None
    of_peer: bool = False


class ConfigSource(SpawningActor):
    """Reports each document that it reads to the actor of the configuration."""

    def __init__(
        self,
        settings: ConfigSettings,
        store: StorePort,
        config: Mailbox,
        random_source: random.Random,
    ) -> None:
        """Read the store through `store`."""
        super().__init__('config source')
        self._settings = settings
        self._store = store
        self._config = config
        self._random_source = random_source
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Run the actor and poll."""
        super().start()
        self.spawn(self._poll())

    @handles(TakeTurn)
    async def on_turn(self, message: TakeTurn) -> None:
        """Begin or end the watch."""
        if message.watching and self._watch is None:
            self._watch = self.spawn(self._watch_store())
        if not message.watching and self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {**super().snapshot(), 'watching': self._watch is not None}

    async def _poll(self) -> None:
        """Read the store often until it answers, then seldom."""
        retry_ms = self._settings.retry_interval_ms
        while True:
            wait_ms = self._settings.poll_interval_ms
            found = await self._store.get(CONFIG_KEY)
            if isinstance(found, Success):
                self._report(found.unwrap())
            else:
                wait_ms = min(retry_ms, wait_ms)
                retry_ms *= _RETRY_GROWTH
            await sleep_ms(self._jittered(wait_ms))

    async def _watch_store(self) -> None:
        revision = ABSENT
        while True:
            watched = await self._store.watch(
                CONFIG_KEY,
                revision,
                self._settings.watch_wait_ms,
            )
            revision = await self._watched(watched, revision)

    async def _watched(
        self,
        watched: Result[Versioned, StoreFailure],
        revision: Revision,
    ) -> Revision:
        if isinstance(watched, Failure):
            await sleep_ms(self._jittered(self._settings.retry_interval_ms))
            return revision
        found = watched.unwrap()
        if found.revision != revision:
            self._report(found)
        return found.revision

    def _report(self, found: Versioned) -> None:
        document = read_document(found.value)
        if isinstance(document, Success):
            self._config.send(DocumentFetched(document.unwrap()))
            return
        events.emit(
            events.CONFIG_REJECTED,
            generation=NO_GENERATION,
            author='',
            problem=document.failure(),
        )

    def _jittered(self, wait_ms: float) -> float:
        ratio = self._random_source.uniform(
            1 - _JITTER_RATIO, 1 + _JITTER_RATIO
        )
        return wait_ms * ratio
