"""Deterministic pseudo-random fractions for jitter and ranking."""

import zlib
from typing import Final

_CRC_RANGE: Final = 4_294_967_296


def hash_fraction(seed: str) -> float:
    """Map a seed to [0, 1); different seeds are evenly distributed."""
    return zlib.crc32(seed.encode()) / _CRC_RANGE
