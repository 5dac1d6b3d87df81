"""Store keys of a partition."""

from typing import Final

from fuchsiarill.ids import PartitionId, StoreKey

# The log is a ring of keys: a new entry overwrites one that a snapshot covers,
# which saves the write that would delete the covered entry.
LOG_KEYS_COUNT: Final = 256


def owner_key(partition: PartitionId) -> StoreKey:
    """Return the key of the owner's claim, which is attached to a lease."""
    return StoreKey(f'partition/{partition}/owner')


def entry_key(partition: PartitionId, index: int) -> StoreKey:
    """Return the key of a journal entry; the first has index 1."""
    return StoreKey(f'partition/{partition}/log/{index % LOG_KEYS_COUNT}')


def head_key(partition: PartitionId) -> StoreKey:
    """Return the key of the head, which refers to the current snapshot."""
    return StoreKey(f'partition/{partition}/head')


def chunk_key(partition: PartitionId, snapshot: str, chunk: int) -> StoreKey:
    """Return the key of one chunk of a snapshot; the first has number 0."""
    return StoreKey(f'partition/{partition}/snapshot/{snapshot}/{chunk}')
