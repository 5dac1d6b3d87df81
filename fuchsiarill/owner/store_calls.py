"""Calls of the store that are repeated until their outcome is known.

A swap whose answer was lost is resolved by reading the key: values carry the
token of their writer. It is sent again only after a read has found the key as
it was before, so that a repeated swap can never hide another writer's.
"""

from collections.abc import Callable
from typing import Final

from returns.result import Success

from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import StoreKey
from fuchsiarill.owner.hash_fraction import hash_fraction
from fuchsiarill.ports.store import (
    StorePort,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)

_FIRST_DELAY_MS: Final = 50
_LONGEST_DELAY_MS: Final = 2_000
_DOUBLINGS_MAX_COUNT: Final = 6

MayGoOn = Callable[[], bool]


def always() -> bool:
    """Permit every further try."""
    return True


def backoff_ms(seed: str, tries_count: int) -> float:
    """Return the delay before a further try.

    It doubles up to its limit; the second half is spread by the seed, so that
    processes which failed together do not return together.
    """
    doublings = min(tries_count, _DOUBLINGS_MAX_COUNT)
    delay_ms: float = min(_FIRST_DELAY_MS * 2**doublings, _LONGEST_DELAY_MS)
    return delay_ms * (1 + hash_fraction(f'{seed} {tries_count}')) / 2


async def read_key(
    store: StorePort,
    key: StoreKey,
    may_go_on: MayGoOn = always,
) -> Versioned | None:
    """Read a key; returns `None` when no further try is permitted."""
    tries_count = 0
    while may_go_on():
        answer = await store.get(key)
        if isinstance(answer, Success):
            found: Versioned = answer.unwrap()
            return found
        await sleep_ms(backoff_ms(key, tries_count))
        tries_count += 1
    return None


async def settle_swap(
    store: StorePort,
    swap: Swap,
    may_go_on: MayGoOn = always,
) -> SwapResult:
    """Swap and learn the outcome.

    The value must be unique to the writer. `UNKNOWN` comes back only when no
    further try is permitted.
    """
    tries_count = 0
    while may_go_on():
        written = await store.swap(swap)
        if written.outcome is SwapOutcome.SWAPPED:
            return written
        if written.outcome is SwapOutcome.UNKNOWN:
            await sleep_ms(backoff_ms(swap.key, tries_count))
        found = await read_key(store, swap.key, may_go_on)
        if found is None:
            break
        if found.value == swap.value:
            return SwapResult(SwapOutcome.SWAPPED, found.revision)
        if found.revision != swap.expected:
            return SwapResult(SwapOutcome.CONFLICT, found.revision)
        tries_count += 1
    return SwapResult(SwapOutcome.UNKNOWN)
