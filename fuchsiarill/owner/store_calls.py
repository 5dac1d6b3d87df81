"""Store calls that are retried until their outcome is known.

A swap whose response was lost is resolved by a read of the key, since values
contain the token of their writer. The swap is sent again only after a read
that found the key unchanged, so that it cannot overwrite the value of another
writer.
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

_FIRST_DELAY_MAX_MS: Final = 50
_DELAY_MAX_MS: Final = 2_000
_DOUBLINGS_MAX_COUNT: Final = 6

# Asked before each attempt of a call; returns whether it may be made.
MayContinue = Callable[[], bool]


def always_continue() -> bool:
    """Permit every further attempt."""
    return True


def backoff_ms(seed: str, attempts_count: int) -> float:
    """Return the delay before a further attempt.

    The delay doubles up to its limit. Its second half is jitter that depends
    on the seed, so that calls that fail together but have different seeds do
    not retry together.
    """
    doublings = min(attempts_count, _DOUBLINGS_MAX_COUNT)
    delay_ms: float = min(_FIRST_DELAY_MAX_MS * 2**doublings, _DELAY_MAX_MS)
    return delay_ms * (1 + hash_fraction(f'{seed} {attempts_count}')) / 2


async def read_key(
    store: StorePort,
    key: StoreKey,
    may_continue: MayContinue = always_continue,
) -> Versioned | None:
    """Read a key; returns `None` once no further attempt is permitted."""
    attempts_count = 0
    while may_continue():
        read_result = await store.get(key)
        if isinstance(read_result, Success):
            stored: Versioned = read_result.unwrap()
            return stored
        await sleep_ms(backoff_ms(key, attempts_count))
        attempts_count += 1
    return None


async def swap_until_resolved(
    store: StorePort,
    swap: Swap,
    may_continue: MayContinue = always_continue,
) -> SwapResult:
    """Swap and determine the outcome.

    The value must be unique to the writer. Returns `UNKNOWN` only if no
    further attempt is permitted.
    """
    attempts_count = 0
    while may_continue():
        swap_result = await store.swap(swap)
        if swap_result.outcome is SwapOutcome.SWAPPED:
            return swap_result
        if swap_result.outcome is SwapOutcome.UNKNOWN:
            await sleep_ms(backoff_ms(swap.key, attempts_count))
        stored = await read_key(store, swap.key, may_continue)
        if stored is None:
            break
        if stored.value == swap.value:
            return SwapResult(SwapOutcome.SWAPPED, stored.revision)
        if stored.revision != swap.expected:
            return SwapResult(SwapOutcome.CONFLICT, stored.revision)
        attempts_count += 1
    return SwapResult(SwapOutcome.UNKNOWN)
