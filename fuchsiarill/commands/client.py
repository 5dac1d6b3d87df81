"""HTTP client of the command line.

It tries the entry processes in the given order until one answers. Repeating a
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

_TIMEOUT_S: Final = 15.0
_TRANSIENT_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT),
)


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """URLs of the entry processes and the token of the caller."""

    servers: tuple[str, ...]
    token: str


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Decoded JSON body of an answer and its result code."""

    code: codes.ResultCode
    body: Any

    @property
    def succeeded(self) -> bool:
        """Return whether the code stands for success."""
        return self.code.exit_status is codes.ExitStatus.SUCCESS


class ServersUnreachableError(Exception):
    """No entry process answered."""


class Client:
    """Sends requests to the entry processes of one cell."""

    def __init__(self, settings: ClientSettings) -> None:
        """Use the servers and the token in the settings."""
        self._settings = settings
        self._connections = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(_TIMEOUT_S),
        )

    def request(
        self,
        method: str,
        path: str,
        body: object | None = None,
    ) -> ServerAnswer:
        """Send one request; raises `ServersUnreachableError`."""
        last: ServerAnswer | None = None
        faults = []
        for server in self._settings.servers:
            try:
                last = self._request_one(f'{server}{path}', method, body)
            except urllib3.exceptions.HTTPError as fault:
                faults.append(f'{server}: {fault}')
                continue
            if last.code.http_status not in _TRANSIENT_STATUSES:
                break
        if last is None:
            raise ServersUnreachableError('; '.join(faults))
        return last

    def _request_one(
        self,
        url: str,
        method: str,
        body: object | None,
    ) -> ServerAnswer:
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
        return _read(response.status, response.data)


def _read(status: int, raw: bytes) -> ServerAnswer:
    try:
        body = json.loads(raw)
    except ValueError:
        body = {'text': raw.decode(errors='replace')}
    default = codes.DONE if status < HTTPStatus.BAD_REQUEST else codes.MALFORMED
    if isinstance(body, dict) and isinstance(body.get('code'), int):
        return ServerAnswer(codes.by_number(body['code']), body)
    return ServerAnswer(default, body)
