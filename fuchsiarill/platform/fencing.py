"""Fencing tokens of the platform, which are whole numbers."""

from fuchsiarill.ids import TOKENS_PER_EPOCH, Epoch, FencingToken


def encode_token(token: FencingToken) -> int:
    """Return a number that rises with the token."""
    return token.epoch * TOKENS_PER_EPOCH + token.sequence


def decode_token(number: int) -> FencingToken:
    """Return the token that `encode_token` has turned into `number`."""
    epoch, sequence = divmod(number, TOKENS_PER_EPOCH)
    return FencingToken(Epoch(epoch), sequence)
