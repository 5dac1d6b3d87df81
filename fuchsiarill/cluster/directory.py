"""The directory of processes in the store, changed on join and leave only.

`members` lists the failure domains, `members/<domain>` the processes of each.
Entries only give a starting process its first contacts; gossip determines
which processes are alive.
"""

import json
from collections.abc import Callable
from functools import partial
from typing import Final

from pydantic import BaseModel, TypeAdapter, ValidationError
from returns.result import Success

from fuchsiarill.cluster.member_table import MemberDetail
from fuchsiarill.ids import FailureDomain, ProcessId, StoreKey
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome, Versioned

DOMAINS_KEY: Final = StoreKey('members')

# A killed process leaves its entry behind; the oldest entries are dropped.
_ENTRIES_MAX_COUNT: Final = 64
_SWAP_ATTEMPTS_COUNT: Final = 8


class DirectoryEntry(BaseModel):
    """Address at which a process listens for peers, and its incarnation."""

    address: str
    incarnation: int


_Entries = dict[ProcessId, DirectoryEntry]
_ENTRIES: Final = TypeAdapter(_Entries)
_DOMAINS: Final = TypeAdapter(list[FailureDomain])


def members_key(domain: FailureDomain) -> StoreKey:
    """Return the key of the processes of one failure domain."""
    return StoreKey(f'members/{domain}')


class Directory:
    """Reads and changes the directory through the store."""

    def __init__(self, store: StorePort) -> None:
        """Use the given store."""
        self._store = store

    async def join(self, own: MemberDetail) -> bool:
        """Add a process; returns whether the store confirmed it."""
        joined = await self._change(
            members_key(own.failure_domain),
            partial(_with_entry, own),
        )
        return joined and await self._change(
            DOMAINS_KEY,
            partial(_with_domain, own.failure_domain),
        )

    async def leave(self, own: MemberDetail) -> bool:
        """Remove a process; the entry of a later incarnation stays."""
        return await self._change(
            members_key(own.failure_domain),
            partial(_without_entry, own),
        )

    async def addresses(self) -> dict[ProcessId, str]:
        """Return the addresses of all entries that can be read."""
        found: dict[ProcessId, str] = {}
        for domain in _read_domains(await self._value(DOMAINS_KEY)):
            entries = _read_entries(await self._value(members_key(domain)))
            for process, entry in entries.items():
                found[process] = entry.address
        return found

    async def _value(self, key: StoreKey) -> str | None:
        match await self._store.get(key):
            case Success(found):
                encoded: str | None = found.value
                return encoded
        return None

    async def _change(
        self,
        key: StoreKey,
        change: Callable[[str | None], str],
    ) -> bool:
        """Swap until the key has the changed value or the store fails.

        Every attempt reads first, so a swap whose answer was lost is
        recognised by its effect.
        """
        for _ in range(_SWAP_ATTEMPTS_COUNT):
            match await self._store.get(key):
                case Success(found):
                    done = await self._try_once(found, change(found.value))
                case _:
                    return False
            if done:
                return True
        return False

    async def _try_once(self, found: Versioned, changed: str) -> bool:
        if found.value == changed:
            return True
        swap = Swap(found.key, changed, expected=found.revision)
        swapped = await self._store.swap(swap)
        return swapped.outcome is SwapOutcome.SWAPPED


def _with_entry(own: MemberDetail, encoded: str | None) -> str:
    entries = _read_entries(encoded)
    entries[own.process] = DirectoryEntry(
        address=own.address,
        incarnation=own.incarnation,
    )
    latest = sorted(entries.items(), key=lambda item: item[1].incarnation)
    return _write_entries(dict(latest[-_ENTRIES_MAX_COUNT:]))


def _without_entry(own: MemberDetail, encoded: str | None) -> str:
    entries = _read_entries(encoded)
    present = entries.get(own.process)
    if present and present.incarnation <= own.incarnation:
        entries.pop(own.process)
    return _write_entries(entries)


def _with_domain(domain: FailureDomain, encoded: str | None) -> str:
    return json.dumps(sorted({*_read_domains(encoded), domain}))


def _write_entries(entries: _Entries) -> str:
    return _ENTRIES.dump_json(entries).decode()


def _read_entries(encoded: str | None) -> _Entries:
    try:
        return _ENTRIES.validate_json(encoded or '{}')
    except ValidationError:
        return {}


def _read_domains(encoded: str | None) -> list[FailureDomain]:
    try:
        return _DOMAINS.validate_json(encoded or '[]')
    except ValidationError:
        return []
