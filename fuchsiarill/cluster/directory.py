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

# Bounds the entries of one failure domain, since a killed process leaves its
# entry behind; the oldest entries are dropped.
_ENTRIES_MAX_COUNT: Final = 64
_SWAP_ATTEMPTS_MAX_COUNT: Final = 8


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


class ProcessDirectory:
    """Reads and changes the directory through the store."""

    def __init__(self, store: StorePort) -> None:
        """Create a directory that is kept in `store`."""
        self._store = store

    async def join(self, detail: MemberDetail) -> bool:
        """Add a process; returns whether the store confirmed it."""
        joined = await self._swap_value(
            members_key(detail.failure_domain),
            partial(_with_entry, detail),
        )
        return joined and await self._swap_value(
            DOMAINS_KEY,
            partial(_with_domain, detail.failure_domain),
        )

    async def leave(self, detail: MemberDetail) -> bool:
        """Remove a process; the entry of a later incarnation stays."""
        return await self._swap_value(
            members_key(detail.failure_domain),
            partial(_without_entry, detail),
        )

    async def addresses(self) -> dict[ProcessId, str]:
        """Return the addresses of all entries that can be read."""
        addresses: dict[ProcessId, str] = {}
        for domain in _read_domains(await self._read_value(DOMAINS_KEY)):
            entries = _read_entries(await self._read_value(members_key(domain)))
            for process, entry in entries.items():
                addresses[process] = entry.address
        return addresses

    async def _read_value(self, key: StoreKey) -> str | None:
        match await self._store.get(key):
            case Success(stored):
                encoded: str | None = stored.value
                return encoded
        return None

    async def _swap_value(
        self,
        key: StoreKey,
        compute_value: Callable[[str | None], str],
    ) -> bool:
        """Swap the computed value into a key; return whether it is confirmed.

        Gives up when a read fails or the attempts are used up. Every
        attempt reads first, so a swap whose answer was lost is recognised by
        its effect.
        """
        for _ in range(_SWAP_ATTEMPTS_MAX_COUNT):
            match await self._store.get(key):
                case Success(stored):
                    is_written = await self._attempt_swap(
                        stored, compute_value(stored.value)
                    )
                case _:
                    return False
            if is_written:
                return True
        return False

    async def _attempt_swap(self, stored: Versioned, new_value: str) -> bool:
        if stored.value == new_value:
            return True
        swap = Swap(stored.key, new_value, expected=stored.revision)
        swap_result = await self._store.swap(swap)
        return swap_result.outcome is SwapOutcome.SWAPPED


def _with_entry(detail: MemberDetail, encoded: str | None) -> str:
    entries = _read_entries(encoded)
    entries[detail.process] = DirectoryEntry(
        address=detail.address,
        incarnation=detail.incarnation,
    )
    latest = sorted(entries.items(), key=lambda item: item[1].incarnation)
    return _write_entries(dict(latest[-_ENTRIES_MAX_COUNT:]))


def _without_entry(detail: MemberDetail, encoded: str | None) -> str:
    entries = _read_entries(encoded)
    entry = entries.get(detail.process)
    if entry and entry.incarnation <= detail.incarnation:
        entries.pop(detail.process)
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
