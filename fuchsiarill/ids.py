"""Identifiers of everything that messages and records refer to.

Each identifier is its own type, so that the type checker rejects a worker id
where a task id is expected. An incarnation is one run of a worker, between two
restarts. An epoch numbers the ownerships of a partition or
pool, a generation the cell configurations, a revision the writes to the store.
"""

from dataclasses import dataclass
from typing import Final, NewType

CustomerId = NewType('CustomerId', str)
RegionId = NewType('RegionId', str)
FailureDomain = NewType('FailureDomain', str)
RackId = NewType('RackId', str)
WorkerId = NewType('WorkerId', str)
PartitionId = NewType('PartitionId', str)
ProcessId = NewType('ProcessId', str)
JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
AttemptId = NewType('AttemptId', str)
IncarnationId = NewType('IncarnationId', str)
JobClass = NewType('JobClass', str)
RequestId = NewType('RequestId', str)
StoreKey = NewType('StoreKey', str)
StoreLeaseId = NewType('StoreLeaseId', str)
Epoch = NewType('Epoch', int)
Generation = NewType('Generation', int)
Revision = NewType('Revision', int)

# Number of fencing tokens of an epoch.
TOKENS_PER_EPOCH: Final = 1_000_000
# Below the epoch of every owner.
NO_EPOCH: Final = Epoch(0)
# Names no incarnation: the worker has not reported yet.
NO_INCARNATION: Final = IncarnationId('')
# The revision of a key that is not in the store.
ABSENT: Final = Revision(0)


@dataclass(frozen=True, slots=True, order=True)
class FencingToken:
    """Token of an order to a worker, which ignores orders with a lower one.

    Tokens rise with the epoch of the owner, and within an epoch with
    `sequence`, which is below `TOKENS_PER_EPOCH`.
    """

    epoch: Epoch
    sequence: int = 0


NO_TOKEN: Final = FencingToken(NO_EPOCH)


def task_id(job: JobId, position: int) -> TaskId:
    """Return the id of the task at `position` within its job."""
    return TaskId(f'{job}/{position}')


def attempt_id(task: TaskId, epoch: Epoch, number: int) -> AttemptId:
    """Return an attempt id that no other owner of the partition can produce.

    The epoch is part of the id: a new owner starts counting from one again.
    """
    return AttemptId(f'{task}@{epoch}.{number}')
