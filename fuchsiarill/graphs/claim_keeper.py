"""Reads and writes the claims of a pool on the ceilings of customers.

The owner decides what to claim. Each write is fenced by the owner key, so that
an earlier owner changes nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from fuchsiarill import events, graph_events
from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.claim_ledger import ClaimItem
from fuchsiarill.graphs.claim_records import (
    NO_CLAIMS,
    ClaimRecord,
    decode_claims,
    encode_claims,
)
from fuchsiarill.graphs.effects import ListClaims, WriteClaims
from fuchsiarill.graphs.model import PoolId
from fuchsiarill.graphs.owner_context import OwnerContext, Term
from fuchsiarill.graphs.owner_messages import OwnershipLost
from fuchsiarill.graphs.prefix_watch import list_all
from fuchsiarill.ids import Revision, StoreKey
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvTransaction,
    KvWrite,
)

# A transaction has at most 32 entries: the conditions on the owner key, the
# configuration and the records of all pools, and one write.
_OTHER_POOLS_MAX_COUNT: Final = 28


@dataclass(frozen=True, slots=True)
class ClaimsListed:
    """The claims of all pools at `revision`; `None` if they are unknown."""

    items: tuple[ClaimItem, ...] | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ClaimsWritten:
    """A write was applied at `revision`."""

    record: ClaimRecord
    revision: Revision


@dataclass(frozen=True, slots=True)
class ClaimsRefused:
    """A write was not applied; a conflict shows the records `items`."""

    record: ClaimRecord
    items: tuple[ClaimItem, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimsUnanswered:
    """A write got no answer: it may be applied now, later or never."""


@dataclass(frozen=True, slots=True)
class ClaimsAnswered:
    """The answer to the only call in progress."""

    answer: 'ClaimsAnswer'


ClaimsAnswer = ClaimsListed | ClaimsWritten | ClaimsRefused | ClaimsUnanswered


@dataclass(frozen=True, slots=True)
class ClaimFence:
    """Keys whose revisions a write depends on, and the owner's epoch."""

    pool: PoolId
    owner_revision: Revision
    config_key: StoreKey


class ClaimKeeper(Actor):
    """Makes the calls of the store for the claims of one owner."""

    def __init__(
        self,
        store: KeyValuePort,
        fence: ClaimFence,
        timeout_ms: int,
        owner: Mailbox,
    ) -> None:
        """Write under `fence`; answers go to `owner`."""
        super().__init__(f'claims {fence.pool}')
        self._store = store
        self._fence = fence
        self._timeout_ms = timeout_ms
        self._owner = owner

    @handles(ListClaims)
    async def on_list(self, message: ListClaims) -> None:
        """Read the claims of all pools."""
        list_result = await list_all(
            self._store, keys.CLAIMS_PREFIX, self._timeout_ms
        )
        if isinstance(list_result, Failure):
            self._answer(ClaimsListed(None, Revision(0)))
            return
        items, revision = list_result.unwrap()
        self._answer(ClaimsListed(decode_items(items), revision))

    @handles(WriteClaims)
    async def on_write(self, message: WriteClaims) -> None:
        """Write the claims of the pool, once."""
        if len(message.others) > _OTHER_POOLS_MAX_COUNT:
            self._answer(ClaimsRefused(message.record))
            return
        commit_result = await self._store.commit(
            build_transaction(self._fence, message), self._timeout_ms
        )
        self._check_fence(commit_result.value_or(None))
        self._answer(read_outcome(message, commit_result))

    def _answer(self, answer: ClaimsAnswer) -> None:
        self._owner.send(ClaimsAnswered(answer))

    def _check_fence(self, outcome: object) -> None:
        if not isinstance(outcome, KvConflict):
            return
        owner_key = keys.owner_key(self._fence.pool)
        revisions = {item.key: item.revision for item in outcome.items}
        if revisions.get(owner_key) != self._fence.owner_revision:
            self._owner.send(OwnershipLost('the owner key has changed'))


def create_keeper(
    term: Term, context: OwnerContext, owner: Mailbox
) -> ClaimKeeper:
    """Create the keeper of the claims of one term."""
    fence = ClaimFence(
        term.pool, Revision(term.epoch), context.ports.documents.config_key
    )
    timeout_ms = context.settings.calls.store_timeout_ms
    return ClaimKeeper(context.ports.store, fence, timeout_ms, owner)


def build_transaction(fence: ClaimFence, message: WriteClaims) -> KvTransaction:
    """Return the transaction of a write, with its conditions."""
    own_key = keys.claims_key(fence.pool)
    expected = [
        (keys.owner_key(fence.pool), fence.owner_revision),
        (own_key, message.own_revision),
    ]
    if message.config_revision is not None:
        expected.append((fence.config_key, message.config_revision))
        expected.extend(
            (keys.claims_key(pool), revision)
            for pool, revision in message.others
        )
    write = KvWrite(own_key, encode_claims(message.record))
    return KvTransaction(tuple(expected), (write,))


def read_outcome(
    message: WriteClaims,
    commit_result: Result[KvCommitted | KvConflict, KvFailure],
) -> ClaimsAnswer:
    """Return what the outcome of a transaction tells of the claims.

    After damage to a record nothing is known of the write.
    """
    match commit_result:
        case Success(KvCommitted(revision)):
            return ClaimsWritten(message.record, revision)
        case Success(KvConflict(items)):
            claims = decode_items(items)
            if claims is not None:
                return ClaimsRefused(message.record, claims)
        case Failure(KvFailure.REFUSED):
            return ClaimsRefused(message.record)
    return ClaimsUnanswered()


def decode_items(items: Iterable[KvItem]) -> tuple[ClaimItem, ...] | None:
    """Decode the records of claims; `None` if one of them is damaged."""
    decoded: list[ClaimItem] = []
    for item in items:
        pool = keys.claiming_pool(item.key)
        if pool is None:
            continue
        record = NO_CLAIMS
        if item.value is not None:
            try:
                record = decode_claims(item.value)
            except ValueError as error:
                events.emit(
                    graph_events.DOCUMENT_UNREADABLE,
                    key=item.key,
                    revision=item.revision,
                    problem=str(error),
                )
                return None
        decoded.append(ClaimItem(pool, record, item.revision))
    return tuple(decoded)
