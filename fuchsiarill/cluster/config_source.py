"""The actor that reads the configuration from the store by poll and watch.

Only one process of each failure domain keeps a watch, since a pending watch
counts as a store call; the others poll at a long interval.
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

# Spreads the retries of many processes whose calls fail at the same time.
_JITTER_RATIO: Final = 0.25
_RETRY_GROWTH: Final = 2


@dataclass(frozen=True, slots=True)
class SetWatching:
    """Start or stop the watch on behalf of the failure domain."""

    watching: bool


@dataclass(frozen=True, slots=True)
class DocumentFetched:
    """The store or a peer answered with a document; `None` for no answer."""

    document: ConfigDocument | None
    from_peer: bool = False


class ConfigSource(SpawningActor):
    """Sends each document that it reads to the configuration actor."""

    def __init__(
        self,
        settings: ConfigSettings,
        store: StorePort,
        config: Mailbox,
        random_source: random.Random,
    ) -> None:
        """Read from `store` and send documents to `config`."""
        super().__init__('config source')
        self._settings = settings
        self._store = store
        self._config = config
        self._random_source = random_source
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Run the actor and start polling."""
        super().start()
        self.spawn(self._poll())

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

    async def _poll(self) -> None:
        """Poll the store; retry failed reads sooner, at growing intervals."""
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
            revision = await self._report_if_changed(watched, revision)

    async def _report_if_changed(
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
