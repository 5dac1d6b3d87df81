"""Watches a prefix of the store: a full list, then changes without gaps."""

import asyncio
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from fuchsiarill import events
from fuchsiarill.actor import Actor, Mailbox
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.ids import Revision, StoreKey
from fuchsiarill.ports.key_value import KeyValuePort, KvFailure, KvItem

_RETRY_MS: Final = 100
# An outage of the store that is shorter than this is not reported.
_LOST_AFTER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class PrefixListed:
    """All items of the prefix, at `revision` or later."""

    prefix: str
    items: tuple[KvItem, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """Items that were written or deleted since the last message."""

    prefix: str
    items: tuple[KvItem, ...]


@dataclass(frozen=True, slots=True)
class PrefixWatchState:
    """The store has become unreachable for a watch, or reachable again."""

    prefix: str
    is_lost: bool


@dataclass(frozen=True, slots=True)
class PrefixWatchSettings:
    """Prefix to watch, and the timing of the calls."""

    prefix: str
    wait_ms: int
    timeout_ms: int
    # Pause after each answer, so that changes arrive in batches.
    pause_ms: int = 0
    # Revision of a list that was already read; 0 reads a new list.
    after: Revision = Revision(0)


class PrefixWatcher(Actor):
    """Sends `PrefixListed`, then `PrefixChanged` for each batch of changes."""

    def __init__(
        self,
        settings: PrefixWatchSettings,
        store: KeyValuePort,
        receiver: Mailbox,
    ) -> None:
        """Create the watcher; `start` runs it."""
        super().__init__(f'feed {settings.prefix}')
        self._settings = settings
        self._store = store
        self._receiver = receiver
        self._after = settings.after
        self._failing_since_ms: int | None = None
        self._is_lost = False

    def start(self) -> None:
        """Watch the prefix in a task of its own."""
        self._tasks.append(
            asyncio.create_task(self._list_and_watch(), name=self.name),
        )

    async def _list_and_watch(self) -> None:
        while True:
            if self._after:
                await self._watch()
            else:
                await self._list()

    async def _list(self) -> None:
        listed = await list_all(
            self._store,
            self._settings.prefix,
            self._settings.timeout_ms,
        )
        if isinstance(listed, Failure):
            await self._handle_failure(listed.failure())
            return
        items, revision = listed.unwrap()
        self._record_success()
        self._after = revision
        self._receiver.send(
            PrefixListed(self._settings.prefix, items, revision)
        )

    async def _watch(self) -> None:
        watched = await self._store.watch_prefix(
            self._settings.prefix,
            self._after,
            self._settings.wait_ms,
        )
        match watched:
            case Success(changes):
                self._record_success()
                if changes.items:
                    # An empty answer may come from a watch that has missed
                    # changes, so its revision is not used.
                    self._after = changes.items[-1].revision
                    changed = PrefixChanged(
                        self._settings.prefix, changes.items
                    )
                    self._receiver.send(changed)
                await sleep_ms(self._settings.pause_ms)
            case Failure(KvFailure.COMPACTED):
                self._after = Revision(0)
            case Failure(KvFailure() as failure):
                await self._handle_failure(failure)

    async def _handle_failure(self, failure: KvFailure) -> None:
        now = now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = now
        failing_ms = now - self._failing_since_ms
        if not self._is_lost and failing_ms >= _LOST_AFTER_MS:
            self._is_lost = True
            events.emit(
                events.STORE_LOST,
                prefix=self._settings.prefix,
                failure=failure.value,
                failing_ms=failing_ms,
            )
            self._receiver.send(
                PrefixWatchState(self._settings.prefix, is_lost=True)
            )
        await sleep_ms(_RETRY_MS)

    def _record_success(self) -> None:
        if self._is_lost and self._failing_since_ms is not None:
            events.emit(
                events.STORE_REGAINED,
                prefix=self._settings.prefix,
                lost_ms=now_ms() - self._failing_since_ms,
            )
            self._receiver.send(
                PrefixWatchState(self._settings.prefix, is_lost=False)
            )
        self._is_lost = False
        self._failing_since_ms = None


async def list_all(
    store: KeyValuePort,
    prefix: str,
    timeout_ms: int,
) -> Result[tuple[tuple[KvItem, ...], Revision], KvFailure]:
    """Read all pages of a prefix.

    The pages are not one snapshot. The returned revision is that of the first
    page; the caller must watch for changes after it.
    """
    items: list[KvItem] = []
    revision: Revision | None = None
    after: StoreKey | None = None
    while True:
        answered = await store.list_prefix(prefix, after, timeout_ms)
        if isinstance(answered, Failure):
            return Failure(answered.failure())
        page = answered.unwrap()
        items.extend(page.items)
        revision = page.at_revision if revision is None else revision
        if not page.has_more or not page.items:
            return Success((tuple(items), revision))
        after = page.items[-1].key
