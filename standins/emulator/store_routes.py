"""Routes of the store in the platform's protocol."""

import base64
from collections.abc import Callable
from typing import Any, Final

from returns.result import Result, Success

from fuchsiarill.ids import Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.key_value import (
    KvConflict,
    KvFailure,
    KvItem,
    KvTransaction,
    KvWrite,
)
from standins.emulator.calls import ROUTES, UNANSWERED, Answer, Call
from standins.emulator.cell import EmulatedCell

_TIMEOUT_MS: Final = 5000
_STATUS_BY_FAILURE: Final = {
    KvFailure.REFUSED: 503,
    KvFailure.COMPACTED: 410,
    KvFailure.LEASE_GONE: 404,
}


@ROUTES.register('GET /kv-key')
async def _get(cell: EmulatedCell, call: Call) -> Answer:
    key = StoreKey(call.query['key'])
    found = await call.store_path.get(key, _TIMEOUT_MS)
    if isinstance(found, Success) and found.unwrap().value is None:
        return Answer(404, {'at_rev': cell.store.revision})
    return _store_answer(found, _item)


@ROUTES.register('GET /kv-range')
async def _range(cell: EmulatedCell, call: Call) -> Answer:
    after = call.query.get('after')
    page = await call.store_path.list_prefix(
        call.query['prefix'],
        None if after is None else StoreKey(after),
        _TIMEOUT_MS,
    )
    return _store_answer(
        page,
        lambda found: {
            'items': [_item(item) for item in found.items],
            'has_more': found.has_more,
            'at_rev': found.at_revision,
        },
    )


@ROUTES.register('GET /kv-watch')
async def _watch(cell: EmulatedCell, call: Call) -> Answer:
    changes = await call.store_path.watch_prefix(
        call.query['prefix'],
        Revision(int(call.query['after'])),
        int(call.query['wait_ms']),
    )
    return _store_answer(
        changes,
        lambda found: {
            'events': [_item(item) for item in found.items],
            'at_rev': found.at_revision,
        },
    )


@ROUTES.register('POST /kv-txn')
async def _commit(cell: EmulatedCell, call: Call) -> Answer:
    transaction = KvTransaction(
        tuple(
            (StoreKey(row['key']), Revision(row['revision']))
            for row in call.document['expected']
        ),
        tuple(_write(row) for row in call.document['writes']),
        tuple(StoreKey(key) for key in call.document['deletes']),
    )
    committed = await call.store_path.commit(transaction, _TIMEOUT_MS)
    if isinstance(committed, Success):
        outcome = committed.unwrap()
        if isinstance(outcome, KvConflict):
            rows = [_item(item) for item in outcome.items]
            return Answer(412, {'items': rows})
    return _store_answer(committed, lambda done: {'revision': done.revision})


@ROUTES.register('POST /kv-lease')
async def _grant(cell: EmulatedCell, call: Call) -> Answer:
    ttl_ms = call.document['ttl_ms']
    granted = await call.store_path.grant_lease(ttl_ms, _TIMEOUT_MS)
    return _store_answer(
        granted,
        lambda lease: {'lease': int(lease), 'ttl_ms': ttl_ms},
    )


@ROUTES.register('POST /kv-keep')
async def _keep(cell: EmulatedCell, call: Call) -> Answer:
    lease = StoreLeaseId(call.last_part)
    kept = await call.store_path.renew_lease(lease, _TIMEOUT_MS)
    return _store_answer(kept, lambda _: {})


@ROUTES.register('DELETE /kv-lease-end')
async def _end(cell: EmulatedCell, call: Call) -> Answer:
    lease = StoreLeaseId(call.last_part)
    ended = await call.store_path.end_lease(lease, _TIMEOUT_MS)
    return _store_answer(ended, lambda _: {})


def _store_answer(
    answered: Result[Any, KvFailure],
    encode: Callable[[Any], dict[str, Any]],
) -> Answer:
    if isinstance(answered, Success):
        return Answer(200, encode(answered.unwrap()))
    failure = answered.failure()
    if failure is KvFailure.UNKNOWN:
        return UNANSWERED
    return Answer(_STATUS_BY_FAILURE[failure])


def _item(item: KvItem) -> dict[str, Any]:
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'compacted': False}
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': 0,
    }


def _write(row: dict[str, Any]) -> KvWrite:
    lease = row.get('lease')
    return KvWrite(
        StoreKey(row['key']),
        base64.b64decode(row['value']),
        StoreLeaseId(str(lease)) if lease else None,
    )
