"""HTTP client of the command line.

It tries the entry processes (servers) in the given order until one responds
with a result code whose HTTP status is neither 503 nor 504. Repeating a
submission at another process is safe, since its idempotency key makes it the
same job; a change of the configuration is safe since it names the generation
that it expects.
"""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import urllib3

from fuchsiarill import codes

_REQUEST_TIMEOUT_S: Final = 15.0
_TRANSIENT_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT),
)


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """URLs of the entry processes and the token of the caller."""

    servers: tuple[str, ...]
    token: str


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Decoded body of an HTTP response and its result code."""

    code: codes.ResultCode
    body: Any

    @property
    def succeeded(self) -> bool:
        """Return whether the code stands for success."""
        return self.code.exit_status is codes.ExitStatus.SUCCESS


class ServersUnreachableError(Exception):
    """No entry process responded."""


class Client:
    """Sends requests to the entry processes of one cell."""

    def __init__(self, settings: ClientSettings) -> None:
        """Create the client with its connection pool."""
        self._settings = settings
        self._connections = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(_REQUEST_TIMEOUT_S),
        )

    def request(
        self,
        method: str,
        path: str,
        body: object | None = None,
    ) -> ServerResponse:
        """Send a request to the servers in turn.

        If only transient refusals (503 or 504) arrive, the last one is
        returned. Raises `ServersUnreachableError` if no server responds.
        """
        last_response: ServerResponse | None = None
        errors = []
        for server_url in self._settings.servers:
            try:
                last_response = self._request_server(
                    f'{server_url}{path}', method, body
                )
            except urllib3.exceptions.HTTPError as error:
                errors.append(f'{server_url}: {error}')
                continue
            if last_response.code.http_status not in _TRANSIENT_STATUSES:
                break
        if last_response is None:
            raise ServersUnreachableError('; '.join(errors))
        return last_response

    def _request_server(
        self,
        url: str,
        method: str,
        body: object | None,
    ) -> ServerResponse:
        encoded = None if body is None else json.dumps(body).encode()
        response = self._connections.request(
            method,
            url,
            body=encoded,
            headers={
                'Authorization': f'Bearer {self._settings.token}',
                'Content-Type': 'application/json',
            },
        )
        return _decode_response(response.status, response.data)


def _decode_response(status: int, raw: bytes) -> ServerResponse:
    try:
        body = json.loads(raw)
    except ValueError:
        body = {'text': raw.decode(errors='replace')}
    code_if_absent = (
        codes.DONE if status < HTTPStatus.BAD_REQUEST else codes.MALFORMED
    )
    if isinstance(body, dict) and isinstance(body.get('code'), int):
        return ServerResponse(codes.by_number(body['code']), body)
    return ServerResponse(code_if_absent, body)
