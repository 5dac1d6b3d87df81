"""Arithmetic of weighted shares, which both paths use.

Load: customers that together want more than there is. The customer with the
lowest weighted share is served first, so that each gets a part in proportion to
its weight while it wants that much.
"""

from fuchsiarill.resources import Resources


def weighted_share(use: Resources, total: Resources, weight: float) -> float:
    """Return the dominant share of `use`, divided by the weight."""
    return use.dominant_share(total) / weight


def entitled_share(weight: float, weights_sum: float) -> float:
    """Return the share that a customer is owed when all is full."""
    return weight / weights_sum


def is_within_share(
    use: Resources, total: Resources, weight: float, weights_sum: float
) -> bool:
    """Tell whether a use is at most the share that the customer is owed."""
    owed = entitled_share(weight, weights_sum)
    return use.dominant_share(total) <= owed
