"""Operations on buffers of received and outgoing bytes."""


def remove_front(buffer: bytearray, size: int) -> None:
    """Remove the first `size` bytes without a copy of the others."""
    del buffer[:size]  # noqa: WPS420


def take_front(buffer: bytearray, size: int) -> bytes:
    """Remove and return up to `size` bytes."""
    front = bytes(buffer[:size])
    remove_front(buffer, size)
    return front
