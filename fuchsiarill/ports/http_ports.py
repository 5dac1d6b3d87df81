"""HTTP clients of the store, the host list and the workers.

Requests and responses are JSON encodings of the types that the ports use. A
malformed response counts as a missing one: the call may have taken effect.
"""

from typing import Final, TypeVar

from pydantic import BaseModel, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.ids import Revision, StoreKey, StoreLeaseId
from fuchsiarill.ports.http_client import CallFailure, HttpClient, HttpResponse
from fuchsiarill.ports.store import (
    StoreFailure,
    Swap,
    SwapOutcome,
    SwapResult,
    Versioned,
)
from fuchsiarill.ports.workers import ExchangeFailure
from fuchsiarill.settings import (
    HostListSettings,
    StoreSettings,
    WorkerSettings,
)
from fuchsiarill.workers import Exchange, HostEntry, WorkerReport

_HTTP_OK: Final = 200
_HTTP_GONE: Final = 410
# The store rejects a value above its size limit before the call has an effect.
_HTTP_TOO_LARGE: Final = 413

SWAPS: Final = TypeAdapter(Swap)
SWAP_RESULTS: Final = TypeAdapter(SwapResult)
VERSIONED: Final = TypeAdapter(Versioned)
EXCHANGES: Final = TypeAdapter(Exchange)
REPORTS: Final = TypeAdapter(WorkerReport)
HOST_ENTRIES: Final = TypeAdapter(tuple[HostEntry, ...])

_Decoded = TypeVar('_Decoded')


class KeyRequest(BaseModel):
    """Body of a read or a watch."""

    key: StoreKey
    after: Revision = Revision(0)
    wait_ms: int = 0


class LeaseRequest(BaseModel):
    """Body of a lease call and of its response; `ttl_ms` is for a grant."""

    lease_id: StoreLeaseId = StoreLeaseId('')
    ttl_ms: int = 0


_LEASES: Final = TypeAdapter(LeaseRequest)


class HttpStore:
    """`StorePort` over HTTP."""

    def __init__(self, settings: StoreSettings, client: HttpClient) -> None:
        """Use the store at the URL in the settings."""
        self._settings = settings
        self._client = client

    async def get(self, key: StoreKey) -> Result[Versioned, StoreFailure]:
        """Read a key."""
        body = KeyRequest(key=key)
        return await self._call('get', body, VERSIONED)

    async def swap(self, swap: Swap) -> SwapResult:
        """Write a key if it still has the expected revision."""
        response_result = await self._client.post(
            f'{self._settings.url}/v1/swap',
            SWAPS.dump_json(swap),
            self._settings.call_timeout_ms,
        )
        match response_result:
            case Success(response) if response.status == _HTTP_OK:
                unknown_outcome = SwapResult(SwapOutcome.UNKNOWN)
                return _parse_body(SWAP_RESULTS, response.body).value_or(
                    unknown_outcome
                )
            case Success(response) if response.status == _HTTP_TOO_LARGE:
                return SwapResult(SwapOutcome.NOT_SENT)
            case Failure(CallFailure.NOT_SENT):
                return SwapResult(SwapOutcome.NOT_SENT)
            case _:
                return SwapResult(SwapOutcome.UNKNOWN)

    async def grant_lease(
        self,
        ttl_ms: int,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Create a lease."""
        return await self._lease_call('grant', LeaseRequest(ttl_ms=ttl_ms))

    async def renew_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """Extend a lease."""
        return await self._lease_call('renew', LeaseRequest(lease_id=lease_id))

    async def revoke_lease(
        self,
        lease_id: StoreLeaseId,
    ) -> Result[StoreLeaseId, StoreFailure]:
        """End a lease."""
        return await self._lease_call('revoke', LeaseRequest(lease_id=lease_id))

    async def watch(
        self,
        key: StoreKey,
        after: Revision,
        wait_ms: int,
    ) -> Result[Versioned, StoreFailure]:
        """Wait for a change of a key."""
        body = KeyRequest(key=key, after=after, wait_ms=wait_ms)
        response_result = await self._client.post_long_poll(
            f'{self._settings.url}/v1/watch',
            body.model_dump_json().encode(),
            self._settings.call_timeout_ms + wait_ms,
        )
        return _decode_store_response(VERSIONED, response_result)

    async def _lease_call(
        self,
        verb: str,
        request: LeaseRequest,
    ) -> Result[StoreLeaseId, StoreFailure]:
        response_result: Result[LeaseRequest, StoreFailure] = await self._call(
            verb,
            request,
            _LEASES,
        )
        return response_result.map(lambda lease: lease.lease_id)

    async def _call(
        self,
        verb: str,
        request: KeyRequest | LeaseRequest,
        adapter: TypeAdapter[_Decoded],
    ) -> Result[_Decoded, StoreFailure]:
        response_result = await self._client.post(
            f'{self._settings.url}/v1/{verb}',
            request.model_dump_json().encode(),
            self._settings.call_timeout_ms,
        )
        return _decode_store_response(adapter, response_result)


class HttpHostList:
    """`HostListPort` over HTTP."""

    def __init__(self, settings: HostListSettings, client: HttpClient) -> None:
        """Use the list at the URL in the settings."""
        self._settings = settings
        self._client = client

    async def fetch(self) -> Result[tuple[HostEntry, ...], StoreFailure]:
        """Return all listed hosts of the cell."""
        response_result = await self._client.post(
            f'{self._settings.url}/v1/hosts',
            b'{}',
            self._settings.poll_interval_ms,
        )
        return _decode_store_response(HOST_ENTRIES, response_result)


class HttpWorkers:
    """`WorkerPort` over HTTP."""

    def __init__(self, settings: WorkerSettings, client: HttpClient) -> None:
        """Call workers with the time-out in the settings."""
        self._settings = settings
        self._client = client

    async def exchange(
        self,
        address: str,
        request: Exchange,
    ) -> Result[WorkerReport, ExchangeFailure]:
        """Send commands and renewals; returns the worker's report."""
        response_result = await self._client.post(
            f'http://{address}/v1/exchange',
            EXCHANGES.dump_json(request),
            self._settings.call_timeout_ms,
        )
        match response_result:
            case Success(response) if response.status == _HTTP_OK:
                return _parse_body(REPORTS, response.body).alt(
                    lambda _error: ExchangeFailure.NO_ANSWER,
                )
            case Failure(CallFailure.NOT_SENT):
                return Failure(ExchangeFailure.NOT_SENT)
            case _:
                return Failure(ExchangeFailure.NO_ANSWER)


def _decode_store_response(
    adapter: TypeAdapter[_Decoded],
    response_result: Result[HttpResponse, CallFailure],
) -> Result[_Decoded, StoreFailure]:
    match response_result:
        case Success(response) if response.status == _HTTP_OK:
            return _parse_body(adapter, response.body).alt(
                lambda _error: StoreFailure.UNREACHABLE,
            )
        case Success(response) if response.status == _HTTP_GONE:
            return Failure(StoreFailure.LEASE_UNKNOWN)
        case Failure(CallFailure.NOT_SENT):
            return Failure(StoreFailure.NOT_SENT)
        case _:
            return Failure(StoreFailure.UNREACHABLE)


def _parse_body(
    adapter: TypeAdapter[_Decoded],
    body: bytes,
) -> Result[_Decoded, ValidationError]:
    try:
        return Success(adapter.validate_json(body))
    except ValidationError as error:
        return Failure(error)
