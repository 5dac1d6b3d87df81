"""The paused loop advances time without waiting."""

import asyncio

from fuchsiarill.clock import now_ms, run_paused, sleep_ms

_HOUR_MS = 3_600_000


def test_paused_loop_skips_an_hour() -> None:
    """Guards against tests that wait in real time."""

    async def main() -> int:
        began_ms = now_ms()
        await asyncio.gather(sleep_ms(_HOUR_MS), sleep_ms(_HOUR_MS / 2))
        return now_ms() - began_ms

    assert run_paused(main()) == _HOUR_MS
