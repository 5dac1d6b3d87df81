"""The resource vector that workers offer and tasks reserve."""

from dataclasses import dataclass
from typing import Final, Self


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of each resource; arithmetic is per component."""

    processors_milli: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0
    slots_count: int = 0

    def __add__(self, other: Self) -> 'Resources':
        return Resources(
            self.processors_milli + other.processors_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators_count + other.accelerators_count,
            self.slots_count + other.slots_count,
        )

    def __sub__(self, other: Self) -> 'Resources':
        return Resources(
            self.processors_milli - other.processors_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators_count - other.accelerators_count,
            self.slots_count - other.slots_count,
        )

    def fits_in(self, free: Self) -> bool:
        """Return whether every component is at most that of `free`."""
        return (
            self.processors_milli <= free.processors_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators_count <= free.accelerators_count
            and self.slots_count <= free.slots_count
        )

    def times(self, count: int) -> 'Resources':
        """Return the vector with every component multiplied by `count`."""
        return Resources(
            self.processors_milli * count,
            self.memory_mb * count,
            self.accelerators_count * count,
            self.slots_count * count,
        )

    def dominant_share(self, total: Self) -> float:
        """Return the largest fraction that any component has of `total`.

        A component whose total is zero is left out.
        Source: dominant resource fairness, Ghodsi et al., NSDI 2011.
        """
        # No loop, for speed: every decision computes several shares.
        share = 0.0
        if total.processors_milli:
            share = self.processors_milli / total.processors_milli
        if total.memory_mb:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators_count:
            accelerators = self.accelerators_count / total.accelerators_count
            share = max(share, accelerators)
        if total.slots_count:
            share = max(share, self.slots_count / total.slots_count)
        return share

    def as_tuple(self) -> tuple[int, int, int, int]:
        """Return the components in field order."""
        return (
            self.processors_milli,
            self.memory_mb,
            self.accelerators_count,
            self.slots_count,
        )


NO_RESOURCES: Final = Resources()


def lower_of(one: Resources, other: Resources) -> Resources:
    """Return the lower value of each component."""
    return Resources(
        min(one.processors_milli, other.processors_milli),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators_count, other.accelerators_count),
        min(one.slots_count, other.slots_count),
    )


def higher_of(one: Resources, other: Resources) -> Resources:
    """Return the higher value of each component."""
    return Resources(
        max(one.processors_milli, other.processors_milli),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators_count, other.accelerators_count),
        max(one.slots_count, other.slots_count),
    )


def fitting_count(size: Resources, free: Resources, count_max: int) -> int:
    """Return how many times `size` fits into `free`, at most `count_max`."""
    if not size.fits_in(free):
        return 0
    counts = [
        available // amount
        for amount, available in zip(
            size.as_tuple(), free.as_tuple(), strict=True
        )
        if amount
    ]
    return min([count_max, *counts])
