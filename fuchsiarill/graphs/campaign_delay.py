"""Delay before a process campaigns for a vacant pool.

The process that should own the pool campaigns first: one on a larger machine,
without another pool, that has started late.
"""

import random
from typing import Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.tenure_messages import Candidate

# Delay for each other pool for which the process campaigns first. It exceeds
# the duration of a campaign, up to 110 ms while the store loses answers.
_CAMPAIGNED_POOL_DELAY_MS: Final = 150
# Delay for each other pool that the process owns, so that other processes
# campaign first. When all pools are vacant, a process that has just been
# elected for one pool lets processes without a pool campaign for the next.
_OWNED_POOL_DELAY_MS: Final = 300
# Larger machines campaign before small ones. The delay exceeds the other delays
# of a larger machine that owns one pool and the duration of its campaign.
_SMALL_MACHINE_DELAY_MS: Final = 600
# A rolling restart stops each process once, so processes that started last
# campaign first. The delay for each process that started later exceeds the
# duration of a campaign and the random delay.
_LATER_PROCESS_DELAY_MS: Final = 35
_COUNTED_PROCESSES_MAX_COUNT: Final = 5


async def wait_for_campaign(pool: PoolId, candidate: Candidate) -> None:
    """Wait until the process may campaign for a pool.

    Meanwhile the process may be elected for another pool, which makes the wait
    longer.
    """
    delay_ms = _machine_delay_ms(candidate)
    waited_ms = 0.0
    while True:
        wanted_ms = delay_ms + _other_pools_delay_ms(pool, candidate)
        if wanted_ms <= waited_ms:
            return
        await sleep_ms(wanted_ms - waited_ms)
        waited_ms = wanted_ms


def _machine_delay_ms(candidate: Candidate) -> float:
    settings = candidate.context.settings
    # Random, so that most processes see the winner before they campaign.
    delay_ms = random.random() * settings.ownership.campaign_spread_ms
    delay_ms += settings.machine.is_small * _SMALL_MACHINE_DELAY_MS
    later_count = min(
        candidate.count_later_processes(), _COUNTED_PROCESSES_MAX_COUNT
    )
    return delay_ms + later_count * _LATER_PROCESS_DELAY_MS


def _other_pools_delay_ms(pool: PoolId, candidate: Candidate) -> int:
    other_pools = candidate.count_other_pools(pool)
    return (
        other_pools.owned_count * _OWNED_POOL_DELAY_MS
        + other_pools.campaigned_count * _CAMPAIGNED_POOL_DELAY_MS
    )
