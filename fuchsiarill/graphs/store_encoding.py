"""Encoding of store calls that one process relays for another."""

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

# Handlers that run a relayed call on the local store, by its kind.
STORE_CALL_HANDLERS: Final[Registry[str, _StoreCallHandler]] = Registry(
    'relayed calls'
)


def get_fields(key: StoreKey, timeout_ms: int) -> _Fields:
    """Return the fields of a read."""
    return {'kind': 'get', 'name': key, 'timeoutMs': timeout_ms}


def list_fields(
    prefix: str,
    after: StoreKey | None,
    timeout_ms: int,
) -> _Fields:
    """Return the fields of a list."""
    return {
        'kind': 'list',
        'name': prefix,
        'afterKey': after or '',
        'timeoutMs': timeout_ms,
    }


def watch_fields(prefix: str, after: Revision, wait_ms: int) -> _Fields:
    """Return the fields of a watch."""
    return {
        'kind': 'watch',
        'name': prefix,
        'afterRevision': after,
        'waitMs': wait_ms,
    }


def commit_fields(transaction: KvTransaction, timeout_ms: int) -> _Fields:
    """Return the fields of a transaction."""
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


def grant_fields(ttl_ms: int, timeout_ms: int) -> _Fields:
    """Return the fields of a new lease."""
    return {'kind': 'grant', 'ttlMs': ttl_ms, 'timeoutMs': timeout_ms}


def lease_fields(
    kind: str,
    lease: StoreLeaseId,
    timeout_ms: int,
) -> _Fields:
    """Return the fields of a renewal or an end of a lease."""
    return {'kind': kind, 'name': lease, 'timeoutMs': timeout_ms}


def read_item(answer: Any) -> KvItem:
    """Return the only item of an answer."""
    return _item(answer.items[0])


def read_page(answer: Any) -> KvPage:
    """Return the page of an answer."""
    return KvPage(_items(answer), answer.hasMore, Revision(answer.revision))


def read_changes(answer: Any) -> KvChanges:
    """Return the changes of an answer."""
    return KvChanges(_items(answer), Revision(answer.revision))


def read_commit(answer: Any) -> KvCommitted | KvConflict:
    """Return the outcome of a transaction."""
    if answer.isConflict:
        return KvConflict(_items(answer))
    return KvCommitted(Revision(answer.revision))


def read_lease(answer: Any) -> StoreLeaseId:
    """Return the lease of an answer."""
    return StoreLeaseId(answer.lease)


def answer_fields(answered: Result[Any, KvFailure]) -> _Fields:
    """Return the fields of an answer to any kind of call."""
    if isinstance(answered, Failure):
        return {'failure': answered.failure().value}
    match answered.unwrap():
        case KvItem() as item:
            return {'items': [_item_fields(item)]}
        case KvPage(items, has_more, revision):
            return {
                'items': [_item_fields(item) for item in items],
                'hasMore': has_more,
                'revision': revision,
            }
        case KvChanges(items, revision):
            return {
                'items': [_item_fields(item) for item in items],
                'revision': revision,
            }
        case KvCommitted(revision):
            return {'revision': revision}
        case KvConflict(items):
            rows = [_item_fields(item) for item in items]
            return {'items': rows, 'isConflict': True}
        case lease:
            return {'lease': lease}


@STORE_CALL_HANDLERS.register('get')
async def _get(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.get(StoreKey(call.name), call.timeoutMs)


@STORE_CALL_HANDLERS.register('list')
async def _list(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    after = StoreKey(call.afterKey) if call.afterKey else None
    return await store.list_prefix(call.name, after, call.timeoutMs)


@STORE_CALL_HANDLERS.register('watch')
async def _watch(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.watch_prefix(
        call.name,
        Revision(call.afterRevision),
        call.waitMs,
    )


@STORE_CALL_HANDLERS.register('commit')
async def _commit(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
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
async def _grant(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.grant_lease(call.ttlMs, call.timeoutMs)


@STORE_CALL_HANDLERS.register('renew')
async def _renew(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.renew_lease(StoreLeaseId(call.name), call.timeoutMs)


@STORE_CALL_HANDLERS.register('end')
async def _end(store: KeyValuePort, call: Any) -> Result[Any, KvFailure]:
    return await store.end_lease(StoreLeaseId(call.name), call.timeoutMs)


def _items(answer: Any) -> tuple[KvItem, ...]:
    return tuple(_item(row) for row in answer.items)


def _item(row: Any) -> KvItem:
    return KvItem(
        StoreKey(row.key),
        bytes(row.value) if row.hasValue else None,
        Revision(row.revision),
        Revision(row.created),
    )


def _item_fields(item: KvItem) -> _Fields:
    return {
        'key': item.key,
        'value': item.value or b'',
        'hasValue': item.value is not None,
        'revision': item.revision,
        'created': item.created or ABSENT,
    }
