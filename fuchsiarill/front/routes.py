"""The registry of routes, and the requests passed to their handlers."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, TypeAlias
from urllib.parse import parse_qsl

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.front.authentication import Identity
from fuchsiarill.front.replies import HttpReply, QueryError, malformed
from fuchsiarill.ids import CustomerId
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.registry import Registry

if TYPE_CHECKING:
    from fuchsiarill.front.http_front import HttpFront


class Access(Enum):
    """Who may use a route; operators may use caller routes too."""

    OPEN = 'open'
    CALLER = 'caller'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """The parts of a request that handlers use.

    `parts` are the groups matched in the path. Routes without authentication
    get the identity of an operator, which they don't use.
    """

    identity: Identity
    parts: tuple[str, ...]
    query: Mapping[str, str]
    body: bytes

    def customer(self) -> Result[CustomerId, Refusal]:
        """Return the customer that the request is for."""
        named = self.query.get('customer')
        own = self.identity.customer
        if own is None and named:
            return Success(CustomerId(named))
        if own is not None and named in {None, own}:
            return Success(own)
        if own is None:
            return Failure(malformed('customer', texts.CUSTOMER_NEEDED))
        return Failure(refuse(codes.FORBIDDEN, texts.FORBIDDEN))

    def count(self, name: str, default: int, limit: int) -> int:
        """Return a count, capped at `limit`; raises `QueryError`."""
        text = self.query.get(name)
        if text is None:
            return default
        if not re.fullmatch('[0-9]{1,9}', text):
            raise QueryError(malformed(name, texts.NOT_A_COUNT))
        return min(int(text), limit)


Handler: TypeAlias = Callable[['HttpFront', HttpRequest], HttpReply]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A registered handler with the access it needs."""

    access: Access
    handler: Handler
    known_parameters: frozenset[str] = frozenset()


ROUTES: Final[Registry[tuple[str, str], Endpoint]] = Registry('routes')


def route(
    method: str,
    pattern: str,
    access: Access,
    *known_parameters: str,
) -> Callable[[Handler], Handler]:
    """Register a handler; `known_parameters` are allowed in its query."""

    def decorator(handler: Handler) -> Handler:
        endpoint = Endpoint(access, handler, frozenset(known_parameters))
        ROUTES.register((method, pattern))(endpoint)
        return handler

    return decorator


def find_route(
    method: str,
    path: str,
) -> tuple[Endpoint, tuple[str, ...]] | None:
    """Return the endpoint and the groups of the path."""
    for known_method, pattern in ROUTES:
        if known_method != method:
            continue
        found = re.fullmatch(pattern, path)
        if found is not None:
            return ROUTES.lookup((method, pattern)), found.groups()
    return None


def parse_query(text: str, endpoint: Endpoint) -> Mapping[str, str]:
    """Return the parameters; raises `QueryError` if unknown or repeated."""
    named = parse_qsl(text, keep_blank_values=True)
    for name, _value in named:
        if name not in endpoint.known_parameters:
            raise QueryError(malformed(name, texts.UNKNOWN_PARAMETER))
    if len(dict(named)) != len(named):
        raise QueryError(malformed(named[0][0], texts.REPEATED_PARAMETER))
    return dict(named)
