"""Encoding of store calls that one process relays for another.

The fields are those of `StoreCall` and `StoreAnswer` in the capnp schema.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from returns.result import Failure, Result

from fuchsiarill.ids import ABSENT, Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import (
    KeyValuePort,
    KvChanges,
    KvCommitted,
    KvConflict,
    KvFailure,
    KvItem,
    KvPage,
    KvTransaction,
    KvWrite,
)
from fuchsiarill.registry import Registry

_Fields = dict[str, Any]
_StoreCallHandler = Callable[
    [KeyValuePort, Any], Awaitable[Result[Any, KvFailure]]
]

# Handlers that run a relayed call on the store client of the relaying process,
# by the kind of the call.
STORE_CALL_HANDLERS: Final[Registry[str, _StoreCallHandler]] = Registry(
    'relayed calls'
)


def encode_get(key: StoreKey, timeout_ms: int) -> _Fields:
    """Return the fields of a call that reads a key."""
    return {'kind': 'get', 'name': key, 'timeoutMs': timeout_ms}


def encode_list(
    prefix: str,
    after_key: StoreKey | None,
    timeout_ms: int,
) -> _Fields:
    """Return the fields of a call that lists a prefix."""
    return {
        'kind': 'list',
        'name': prefix,
        'afterKey': after_key or '',
        'timeoutMs': timeout_ms,
    }


def encode_watch(
    prefix: str, after_revision: Revision, wait_ms: int
) -> _Fields:
    """Return the fields of a call that waits for changes of a prefix."""
    return {
        'kind': 'watch',
        'name': prefix,
        'afterRevision': after_revision,
        'waitMs': wait_ms,
    }


def encode_commit(transaction: KvTransaction, timeout_ms: int) -> _Fields:
    """Return the fields of a call that executes a transaction."""
    return {
        'kind': 'commit',
        'timeoutMs': timeout_ms,
        'expected': [
            {'key': key, 'revision': revision}
            for key, revision in transaction.expected
        ],
        'writes': [
            {
                'key': write.key,
                'value': write.value,
                'lease': write.lease or '',
            }
            for write in transaction.writes
        ],
        'deletes': list(transaction.deletes),
    }


def encode_grant(ttl_ms: int, timeout_ms: int) -> _Fields:
    """Return the fields of a call that creates a lease."""
    return {'kind': 'grant', 'ttlMs': ttl_ms, 'timeoutMs': timeout_ms}


def encode_lease_call(
    kind: str,
    lease: StoreLeaseId,
    timeout_ms: int,
) -> _Fields:
    """Return the fields of a call that renews or ends a lease."""
    return {'kind': kind, 'name': lease, 'timeoutMs': timeout_ms}


def decode_item(answer: Any) -> KvItem:
    """Return the only item of an answer."""
    return _decode_item(answer.items[0])


def decode_page(answer: Any) -> KvPage:
    """Return the page of an answer."""
    return KvPage(
        _decode_items(answer), answer.hasMore, Revision(answer.revision)
    )


def decode_changes(answer: Any) -> KvChanges:
    """Return the changes of an answer."""
    return KvChanges(_decode_items(answer), Revision(answer.revision))


def decode_commit(answer: Any) -> KvCommitted | KvConflict:
    """Return the outcome of a transaction."""
    if answer.isConflict:
        return KvConflict(_decode_items(answer))
    return KvCommitted(Revision(answer.revision))


def decode_lease(answer: Any) -> StoreLeaseId:
    """Return the lease of an answer."""
    return StoreLeaseId(answer.lease)


def encode_answer(call_result: Result[Any, KvFailure]) -> _Fields:
    """Return the fields of an answer to any kind of call."""
    if isinstance(call_result, Failure):
        return {'failure': call_result.failure().value}
    match call_result.unwrap():
        case KvItem() as item:
            return {'items': [_encode_item(item)]}
        case KvPage(items, has_more, revision):
            return {
                'items': [_encode_item(item) for item in items],
                'hasMore': has_more,
                'revision': revision,
            }
        case KvChanges(items, revision):
            return {
                'items': [_encode_item(item) for item in items],
                'revision': revision,
            }
        case KvCommitted(revision):
            return {'revision': revision}
        case KvConflict(items):
            item_rows = [_encode_item(item) for item in items]
            return {'items': item_rows, 'isConflict': True}
        case lease:
            return {'lease': lease}


@STORE_CALL_HANDLERS.register('get')
async def _run_get(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.get(StoreKey(call.name), call.timeoutMs)


@STORE_CALL_HANDLERS.register('list')
async def _run_list(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    after_key = StoreKey(call.afterKey) if call.afterKey else None
    return await store.list_prefix(call.name, after_key, call.timeoutMs)


@STORE_CALL_HANDLERS.register('watch')
async def _run_watch(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.watch_prefix(
        call.name,
        Revision(call.afterRevision),
        call.waitMs,
    )


@STORE_CALL_HANDLERS.register('commit')
async def _run_commit(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    transaction = KvTransaction(
        tuple(
            (StoreKey(row.key), Revision(row.revision)) for row in call.expected
        ),
        tuple(
            KvWrite(
                StoreKey(row.key),
                bytes(row.value),
                StoreLeaseId(row.lease) if row.lease else None,
            )
            for row in call.writes
        ),
        tuple(StoreKey(key) for key in call.deletes),
    )
    return await store.commit(transaction, call.timeoutMs)


@STORE_CALL_HANDLERS.register('grant')
async def _run_grant(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.grant_lease(call.ttlMs, call.timeoutMs)


@STORE_CALL_HANDLERS.register('renew')
async def _run_renew(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.renew_lease(StoreLeaseId(call.name), call.timeoutMs)


@STORE_CALL_HANDLERS.register('end')
async def _run_end(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.end_lease(StoreLeaseId(call.name), call.timeoutMs)


def _decode_items(answer: Any) -> tuple[KvItem, ...]:
    return tuple(_decode_item(row) for row in answer.items)


def _decode_item(row: Any) -> KvItem:
    return KvItem(
        StoreKey(row.key),
        bytes(row.value) if row.hasValue else None,
        Revision(row.revision),
        Revision(row.created),
    )


def _encode_item(item: KvItem) -> _Fields:
    return {
        'key': item.key,
        'value': item.value or b'',
        'hasValue': item.value is not None,
        'revision': item.revision,
        'created': item.created or ABSENT,
    }
