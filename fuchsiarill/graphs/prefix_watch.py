"""Follows a prefix of the store: a list, then watches without a gap."""

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
# A dependency that fails for less than this is not reported as lost.
_LOST_AFTER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class PrefixListed:
    """All items of the prefix at `revision`, or newer."""

    prefix: str
    items: tuple[KvItem, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """Items that were written or deleted since."""

    prefix: str
    items: tuple[KvItem, ...]


@dataclass(frozen=True, slots=True)
class PrefixWatchState:
    """The feed has lost the store, or has it again."""

    prefix: str
    is_lost: bool


@dataclass(frozen=True, slots=True)
class PrefixWatchSettings:
    """What a feed follows and how closely."""

    prefix: str
    wait_ms: int
    timeout_ms: int
    # Pause after each answer, so that changes gather.
    pause_ms: int = 0
    # Where a list was read before; 0 lets the feed read one itself.
    after: Revision = Revision(0)


class PrefixWatcher(Actor):
    """Sends `PrefixListed`, then `PrefixChanged` for every change, to one mailbox."""

    def __init__(
        self,
        settings: PrefixWatchSettings,
        store: KeyValuePort,
        receiver: Mailbox,
    ) -> None:
        """Create the feed; `start` begins to follow."""
        super().__init__(f'feed {settings.prefix}')
        self._settings = settings
        self._store = store
        self._receiver = receiver
        self._after = settings.after
        self._failing_since_ms: int | None = None
        self._is_lost = False

    def start(self) -> None:
        """Follow the prefix in a task of its own."""
        self._tasks.append(
            asyncio.create_task(self._follow(), name=self.name),
        )

    async def _follow(self) -> None:
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
            await self._failed(listed.failure())
            return
        items, revision = listed.unwrap()
        self._succeeded()
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
                self._succeeded()
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
                await self._failed(failure)

    async def _failed(self, failure: KvFailure) -> None:
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

    def _succeeded(self) -> None:
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

    Pages are no snapshot: changes after the returned revision, which is that
    of the first page, have to be watched for.
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
