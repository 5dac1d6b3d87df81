"""Incarnations of workers, and the fencing tokens of one owner for them."""

from typing import Final

from fuchsiarill.graphs.model import BornMs
from fuchsiarill.ids import TOKENS_PER_EPOCH, Epoch, FencingToken

# Stands for an incarnation that is not known.
BORN_UNKNOWN_MS: Final = BornMs(0)


class FencingTokenSource:
    """Hands out the tokens of an epoch in rising order.

    All channels of an owner share it, so that a channel that replaces another
    one to the same worker has a higher token.
    """

    def __init__(self, epoch: Epoch) -> None:
        """Start with the lowest token of `epoch`."""
        self._epoch = epoch
        self._next_sequence = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether the last token has been taken.

        The owner needs a new epoch then: the last token would be taken again.
        """
        return self._next_sequence >= TOKENS_PER_EPOCH

    def take(self) -> FencingToken:
        """Return a token that is higher than all before."""
        sequence = min(self._next_sequence, TOKENS_PER_EPOCH - 1)
        self._next_sequence = sequence + 1
        return FencingToken(self._epoch, sequence)
