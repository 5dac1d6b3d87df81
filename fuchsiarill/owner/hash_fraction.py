"""Deterministic spreading, in place of random delays."""

import zlib
from typing import Final

_CRC_RANGE: Final = 4_294_967_296


def hash_fraction(seed: str) -> float:
    """Return a share of one that is evenly spread over seeds."""
    return zlib.crc32(seed.encode()) / _CRC_RANGE
