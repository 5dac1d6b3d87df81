"""The fake network between processes, workers, store, host list and callers.

A call leaves its source, arrives after a latency, and its answer travels
back. Faults act here: a gate holds what leaves a process, a cut drops what
crosses it, a silent connection swallows one call, late answers cross others.
"""

import asyncio
import random
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from returns.result import Failure, Result, Success

from fuchsiarill.actor import Reply
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.ports.http_client import CallFailure

CLIENT_DOMAIN: Final = 'client'
SERVICE_DOMAIN: Final = 'service'
_SAME_DOMAIN_LATENCY_MS: Final = 0.5
_SERVICE_LATENCY_MS: Final = 1.0
# Enough to let answers of concurrent calls cross each other.
_JITTER_FRACTION: Final = 0.3

Post = Callable[[Reply[Any]], bool]


@dataclass(eq=False, slots=True)
class Endpoint:
    """One end of calls.

    `gate` collects what leaves while it is closed, `None` means open; calls
    to the domains in `gate_exempt` pass. A `refusing` endpoint answers a dial
    with a reset.
    """

    name: str
    domain: str
    refusing: bool = False
    gate: list['Call'] | None = None
    gate_exempt: frozenset[str] = frozenset()

    def holds(self, other: 'Endpoint') -> bool:
        """Tell whether the gate holds what goes to `other`."""
        return self.gate is not None and other.domain not in self.gate_exempt


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way times between failure domains and to callers."""

    between_domains_ms: float
    client_ms: float


@dataclass(eq=False, slots=True)
class Link:
    """The calls from one set of endpoints to another that a fault hits.

    Each set holds names of endpoints and of domains.
    """

    sources: frozenset[str]
    targets: frozenset[str]

    def covers(self, source: Endpoint, target: Endpoint) -> bool:
        """Tell whether a message from `source` to `target` is hit."""
        return _among(source, self.sources) and _among(target, self.targets)


@dataclass(eq=False, slots=True)
class Silence:
    """Swallows the next call of each pair; `reaches` lets it take effect."""

    link: Link
    reaches: bool
    hit: set[tuple[str, str]] = field(default_factory=set)

    def swallows(self, source: Endpoint, target: Endpoint) -> bool:
        """Tell whether this call uses a silent connection."""
        pair = (source.name, target.name)
        if pair in self.hit or not self.link.covers(source, target):
            return False
        self.hit.add(pair)
        return True


@dataclass(eq=False, slots=True)
class Lateness:
    """Delays every n-th answer on a link."""

    link: Link
    delay_ms: float
    every: int
    seen_count: int = 0

    def delay_of(self, source: Endpoint, target: Endpoint) -> float:
        """Return the extra delay of an answer to a call."""
        if not self.link.covers(source, target):
            return 0
        self.seen_count += 1
        return 0 if self.seen_count % self.every else self.delay_ms


class Call:
    """One call on its way."""

    def __init__(self, source: Endpoint, target: Endpoint, post: Post) -> None:
        """Prepare a call; `post` hands it over at the target."""
        self.source = source
        self.target = target
        self.post = post
        self.is_swallowed = False
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[Result[Any, CallFailure]] = (
            loop.create_future()
        )

    def end(self, outcome: Result[Any, CallFailure]) -> None:
        """Give the caller its outcome; only the first counts."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class _WireReply(Reply[Any]):
    """Sends the answer back over the network."""

    def __init__(self, network: 'Network', call: Call) -> None:
        super().__init__()
        self._network = network
        self._call = call
        self._is_answered = False

    def answer(self, outcome: Any) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        self._network.send_back(self._call, outcome)


class Network:
    """Carries calls with latency and applies the faults of links."""

    def __init__(
        self, latencies: Latencies, random_source: random.Random
    ) -> None:
        """Carry calls without faults; `random_source` draws the jitter."""
        self.cuts: list[Link] = []
        self.silences: list[Silence] = []
        self.latenesses: list[Lateness] = []
        self._latencies = latencies
        self._random_source = random_source
        self._calls: dict[Call, None] = {}
        # Empty, so that what travels belongs to no process.
        self._context = Context()

    async def ask(
        self,
        source: Endpoint,
        target: Endpoint,
        post: Post,
        timeout_ms: float,
    ) -> Result[Any, CallFailure]:
        """Call and wait for the answer, `timeout_ms` at most."""
        call = Call(source, target, post)
        self._calls[call] = None
        self._leave(call)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await call.outcome
        except TimeoutError:
            return Failure(CallFailure.NO_ANSWER)
        finally:
            self._calls.pop(call, None)

    def send_back(self, call: Call, outcome: Any) -> None:
        """Carry an answer back to the source."""
        if call.target.gate is not None and call.target.holds(call.source):
            # The answer leaves when the process runs on; a dead one is reset.
            call.target.gate.append(_held_answer(call, outcome))
            return
        delay_ms = self._latency_ms(call.target, call.source)
        delay_ms += sum(
            lateness.delay_of(call.source, call.target)
            for lateness in self.latenesses
        )
        self._later(delay_ms, self._returned, call, Success(outcome))

    def calls_to(self, endpoint: Endpoint) -> int:
        """Return how many callers wait for an answer of an endpoint."""
        return sum(1 for call in self._calls if call.target is endpoint)

    def open_gate(self, endpoint: Endpoint) -> None:
        """Let go what the gate has held."""
        held = endpoint.gate or []
        endpoint.gate = None
        for call in held:
            if call.source is endpoint:
                self._leave(call)
                continue
            call.post(_WireReply(self, call))

    def drop_held(self, endpoint: Endpoint) -> None:
        """Forget what the gate has held: its process died."""
        endpoint.gate = None

    def reset(self, endpoint: Endpoint) -> None:
        """Break the connections to an endpoint whose process died."""
        for call in tuple(self._calls):
            if call.target is endpoint:
                failure = Failure(CallFailure.NO_ANSWER)
                self._later(
                    self._latency_ms(endpoint, call.source),
                    self._returned,
                    call,
                    failure,
                )

    def silence(self, silence: Silence) -> None:
        """Make the present connections of a link silent for good."""
        self.silences.append(silence)
        for call in tuple(self._calls):
            if silence.swallows(call.source, call.target):
                call.is_swallowed = True

    def _leave(self, call: Call) -> None:
        if call.source.gate is not None and call.source.holds(call.target):
            call.source.gate.append(call)
            return
        delay_ms = self._latency_ms(call.source, call.target)
        self._later(delay_ms, self._arrived, call)

    def _arrived(self, call: Call) -> None:
        if self._is_cut(call.source, call.target):
            return
        if call.target.refusing:
            refused = Failure(CallFailure.NOT_SENT)
            delay_ms = self._latency_ms(call.target, call.source)
            self._later(delay_ms, self._returned, call, refused)
            return
        if not self._is_silent(call):
            call.post(_WireReply(self, call))

    def _is_silent(self, call: Call) -> bool:
        for silence in self.silences:
            if silence.swallows(call.source, call.target):
                call.is_swallowed = True
                return not silence.reaches
        return False

    def _returned(self, call: Call, outcome: Result[Any, CallFailure]) -> None:
        if call.is_swallowed or self._is_cut(call.target, call.source):
            return
        call.end(outcome)

    def _is_cut(self, source: Endpoint, target: Endpoint) -> bool:
        return any(cut.covers(source, target) for cut in self.cuts)

    def _latency_ms(self, source: Endpoint, target: Endpoint) -> float:
        domains = {source.domain, target.domain}
        base_ms = self._latencies.between_domains_ms
        if CLIENT_DOMAIN in domains:
            base_ms = self._latencies.client_ms
        elif SERVICE_DOMAIN in domains:
            base_ms = _SERVICE_LATENCY_MS
        elif len(domains) == 1:
            base_ms = _SAME_DOMAIN_LATENCY_MS
        return base_ms * (1 + _JITTER_FRACTION * self._random_source.random())

    def _later(
        self,
        delay_ms: float,
        run: Callable[..., None],
        *arguments: Any,
    ) -> None:
        asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND,
            run,
            *arguments,
            context=self._context.copy(),
        )


def _held_answer(call: Call, outcome: Any) -> Call:
    held = Call(call.source, call.target, call.post)
    held.outcome = call.outcome
    held.is_swallowed = call.is_swallowed
    held.post = partial(_answer_at_once, outcome)
    return held


def _answer_at_once(outcome: Any, reply: Reply[Any]) -> bool:
    reply.answer(outcome)
    return True


def _among(endpoint: Endpoint, names: frozenset[str]) -> bool:
    return endpoint.name in names or endpoint.domain in names
