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
from fuchsiarill.front.replies import HttpReply, QueryError, malformed_refusal
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

    `path_groups` are the groups matched in the path. Routes without
    authentication get the identity of an operator, which they don't use.
    """

    identity: Identity
    path_groups: tuple[str, ...]
    query: Mapping[str, str]
    body: bytes

    def customer(self) -> Result[CustomerId, Refusal]:
        """Return the customer that the request is for.

        An operator must name a customer in the query; a customer may only name
        itself.
        """
        named_customer = self.query.get('customer')
        own_customer = self.identity.customer
        if own_customer is None and named_customer:
            return Success(CustomerId(named_customer))
        if own_customer is not None and named_customer in {None, own_customer}:
            return Success(own_customer)
        if own_customer is None:
            return Failure(malformed_refusal('customer', texts.CUSTOMER_NEEDED))
        return Failure(refuse(codes.FORBIDDEN, texts.FORBIDDEN))

    def count(self, name: str, default: int, limit: int) -> int:
        """Return a query parameter as a count of at most `limit`.

        Raises `QueryError` when the parameter is not a count.
        """
        text = self.query.get(name)
        if text is None:
            return default
        if not re.fullmatch('[0-9]{1,9}', text):
            raise QueryError(malformed_refusal(name, texts.NOT_A_COUNT))
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
    """Register the decorated handler of a route.

    `known_parameters` are the parameters that its query may have.
    """

    def decorator(handler: Handler) -> Handler:
        endpoint = Endpoint(access, handler, frozenset(known_parameters))
        ROUTES.register((method, pattern))(endpoint)
        return handler

    return decorator


def find_route(
    method: str,
    path: str,
) -> tuple[Endpoint, tuple[str, ...]] | None:
    """Return the endpoint and the groups matched in the path."""
    for known_method, pattern in ROUTES:
        if known_method != method:
            continue
        match = re.fullmatch(pattern, path)
        if match is not None:
            return ROUTES.lookup((method, pattern)), match.groups()
    return None


def parse_query(text: str, endpoint: Endpoint) -> Mapping[str, str]:
    """Return the query parameters.

    Raises `QueryError` for an unknown or repeated parameter.
    """
    name_value_pairs = parse_qsl(text, keep_blank_values=True)
    for name, _value in name_value_pairs:
        if name not in endpoint.known_parameters:
            raise QueryError(malformed_refusal(name, texts.UNKNOWN_PARAMETER))
    if len(dict(name_value_pairs)) != len(name_value_pairs):
        raise QueryError(
            malformed_refusal(name_value_pairs[0][0], texts.REPEATED_PARAMETER)
        )
    return dict(name_value_pairs)
