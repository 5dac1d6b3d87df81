"""The claim that a process writes to the owner key of a partition.

The process owns the partition while its claim is stored. The claim is attached
to a store lease and is deleted when the lease lapses.
"""

import uuid
from dataclasses import dataclass

from pydantic import BaseModel, ValidationError
from returns.result import Success

from fuchsiarill.actor import Mailbox
from fuchsiarill.clock import now_ms
from fuchsiarill.ids import PartitionId, ProcessId, StoreLeaseId
from fuchsiarill.owner.keys import owner_key
from fuchsiarill.owner.store_calls import swap_until_resolved
from fuchsiarill.ports.store import StorePort, Swap, SwapOutcome, Versioned
from fuchsiarill.settings import ProcessSettings


class OwnerClaim(BaseModel):
    """Value of the owner key: who owns the partition and where it listens.

    `token` is unique to each claim, so that a process recognizes its own
    claim in the key if the response to the write was lost.
    """

    process: ProcessId
    peer_address: str
    token: str = ''


@dataclass(frozen=True, slots=True)
class OwnerLocated:
    """Tells the router where a partition's owner is.

    `claim` is `None` if the partition has no known owner. `mailbox` is set when
    the owner is in this process.
    """

    partition: PartitionId
    claim: OwnerClaim | None
    mailbox: Mailbox | None


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The store lease to which the claim of an owned partition is attached.

    The grant was requested at `requested_at_ms`. `token` is that of the claim.
    """

    lease_id: StoreLeaseId
    requested_at_ms: int
    token: str


def new_claim(settings: ProcessSettings) -> OwnerClaim:
    """Return a claim of this process with a new unique token."""
    return OwnerClaim(
        process=settings.process,
        peer_address=f'{settings.peers.host}:{settings.peers.port}',
        token=uuid.uuid4().hex,
    )


async def acquire_ownership(
    store: StorePort,
    partition: PartitionId,
    claim: OwnerClaim,
    lease_ms: int,
) -> HeldLease | None:
    """Claim a vacant partition under a new lease; `None` if that fails.

    The lease is counted from before its grant was requested. If the claim
    fails, the lease is revoked. This deletes a claim that was stored although
    its response was lost, and makes a delayed write of the claim fail.
    """
    requested_at_ms = now_ms()
    lease_result = await store.grant_lease(lease_ms)
    if not isinstance(lease_result, Success):
        return None
    lease_id = lease_result.unwrap()
    swap_result = await swap_until_resolved(
        store,
        Swap(
            owner_key(partition),
            claim.model_dump_json(),
            lease_id=lease_id,
        ),
        lambda: now_ms() < requested_at_ms + lease_ms,
    )
    if swap_result.outcome is SwapOutcome.SWAPPED:
        return HeldLease(lease_id, requested_at_ms, claim.token)
    await store.revoke_lease(lease_id)
    return None


def parse_claim(owner_value: Versioned) -> OwnerClaim | None:
    """Return the claim in the owner key; `None` if absent or malformed."""
    if owner_value.value is None:
        return None
    try:
        return OwnerClaim.model_validate_json(owner_value.value)
    except ValidationError:
        return None
