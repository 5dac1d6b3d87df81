"""Simulated network of processes, workers, store, host list and callers.

Calls and their answers arrive after a latency. Faults apply here: a gate
holds the messages that a process sends, a cut drops the messages of a link, a
silent connection loses one call or its answer, and delayed answers arrive out
of order.
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
# Enough that answers of concurrent calls arrive out of order.
_JITTER_FRACTION: Final = 0.3

Deliver = Callable[[Reply[Any]], bool]


@dataclass(eq=False, slots=True)
class Endpoint:
    """A source or target of calls.

    `gate` holds outgoing messages while it is closed; `None` means open.
    Messages to the domains in `gate_exempt` pass. A `refusing` endpoint
    refuses connections.
    """

    name: str
    domain: str
    refusing: bool = False
    gate: list['Call'] | None = None
    gate_exempt: frozenset[str] = frozenset()

    def holds(self, other: 'Endpoint') -> bool:
        """Return whether a closed gate holds messages to `other`."""
        return self.gate is not None and other.domain not in self.gate_exempt


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way latencies between failure domains and to callers."""

    between_domains_ms: float
    client_ms: float


@dataclass(eq=False, slots=True)
class Link:
    """The calls from one set of endpoints to another that a fault affects.

    Each set holds names of endpoints and of domains.
    """

    sources: frozenset[str]
    targets: frozenset[str]

    def covers(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether a message from `source` to `target` is affected."""
        return _is_named(source, self.sources) and _is_named(
            target, self.targets
        )


@dataclass(eq=False, slots=True)
class SilentLink:
    """Leaves the next call of each pair of endpoints without an answer.

    With `reaches` the call arrives and only its answer is lost.
    """

    link: Link
    reaches: bool
    affected_pairs: set[tuple[str, str]] = field(default_factory=set)

    def applies_to(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether a call uses a silent connection.

        Only the first call of each pair does: later calls use a new
        connection.
        """
        pair = (source.name, target.name)
        if pair in self.affected_pairs or not self.link.covers(source, target):
            return False
        self.affected_pairs.add(pair)
        return True


@dataclass(eq=False, slots=True)
class AnswerDelay:
    """Delays every `every`-th answer on a link."""

    link: Link
    delay_ms: float
    every: int
    answers_count: int = 0

    def delay_of(self, source: Endpoint, target: Endpoint) -> float:
        """Return the extra delay of an answer to a call."""
        if not self.link.covers(source, target):
            return 0
        self.answers_count += 1
        return 0 if self.answers_count % self.every else self.delay_ms


class Call:
    """A call in progress, with the future of its outcome."""

    def __init__(
        self, source: Endpoint, target: Endpoint, deliver: Deliver
    ) -> None:
        """Prepare a call; `deliver` passes it to the target on arrival."""
        self.source = source
        self.target = target
        self.deliver = deliver
        self.is_answer_lost = False
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[Result[Any, CallFailure]] = (
            loop.create_future()
        )

    def end(self, outcome: Result[Any, CallFailure]) -> None:
        """Set the outcome for the caller; later outcomes are ignored."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class _WireReply(Reply[Any]):
    """Sends the first answer back over the network."""

    def __init__(self, network: 'Network', call: Call) -> None:
        super().__init__()
        self._network = network
        self._call = call
        self._is_answered = False

    def answer(self, outcome: Any) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        self._network.send_answer(self._call, outcome)


class Network:
    """Delivers calls with latency and applies the faults of links."""

    def __init__(
        self, latencies: Latencies, random_source: random.Random
    ) -> None:
        """Create a network without faults; `random_source` draws jitter."""
        self.cuts: list[Link] = []
        self.silent_links: list[SilentLink] = []
        self.answer_delays: list[AnswerDelay] = []
        self._latencies = latencies
        self._random_source = random_source
        self._calls: dict[Call, None] = {}
        # Empty, so that messages in transit belong to no process.
        self._context = Context()

    async def call(
        self,
        source: Endpoint,
        target: Endpoint,
        deliver: Deliver,
        timeout_ms: float,
    ) -> Result[Any, CallFailure]:
        """Call `target` and wait for its answer, for at most `timeout_ms`."""
        call = Call(source, target, deliver)
        self._calls[call] = None
        self._send(call)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await call.outcome
        except TimeoutError:
            return Failure(CallFailure.NO_ANSWER)
        finally:
            self._calls.pop(call, None)

    def send_answer(self, call: Call, outcome: Any) -> None:
        """Send an answer back to the source of a call."""
        if call.target.gate is not None and call.target.holds(call.source):
            # The answer is sent when the process resumes; if the process is
            # killed instead, the connection is reset.
            call.target.gate.append(_held_answer(call, outcome))
            return
        delay_ms = self._latency_ms(call.target, call.source)
        delay_ms += sum(
            answer_delay.delay_of(call.source, call.target)
            for answer_delay in self.answer_delays
        )
        self._schedule(delay_ms, self._on_return, call, Success(outcome))

    def calls_to(self, endpoint: Endpoint) -> int:
        """Return the number of calls that wait for an endpoint's answer."""
        return sum(1 for call in self._calls if call.target is endpoint)

    def open_gate(self, endpoint: Endpoint) -> None:
        """Open the gate and send the messages that it held."""
        held = endpoint.gate or []
        endpoint.gate = None
        for call in held:
            if call.source is endpoint:
                self._send(call)
                continue
            call.deliver(_WireReply(self, call))

    def drop_held(self, endpoint: Endpoint) -> None:
        """Drop the messages that the gate of a killed process held."""
        endpoint.gate = None

    def reset(self, endpoint: Endpoint) -> None:
        """Break the connections to an endpoint; calls there get no answer."""
        for call in tuple(self._calls):
            if call.target is endpoint:
                failure = Failure(CallFailure.NO_ANSWER)
                self._schedule(
                    self._latency_ms(endpoint, call.source),
                    self._on_return,
                    call,
                    failure,
                )

    def silence(self, silent_link: SilentLink) -> None:
        """Silence the open connections of a link, with calls in progress."""
        self.silent_links.append(silent_link)
        for call in tuple(self._calls):
            if silent_link.applies_to(call.source, call.target):
                call.is_answer_lost = True

    def _send(self, call: Call) -> None:
        if call.source.gate is not None and call.source.holds(call.target):
            call.source.gate.append(call)
            return
        delay_ms = self._latency_ms(call.source, call.target)
        self._schedule(delay_ms, self._on_arrival, call)

    def _on_arrival(self, call: Call) -> None:
        if self._is_cut(call.source, call.target):
            return
        if call.target.refusing:
            refused = Failure(CallFailure.NOT_SENT)
            delay_ms = self._latency_ms(call.target, call.source)
            self._schedule(delay_ms, self._on_return, call, refused)
            return
        if not self._is_silent(call):
            call.deliver(_WireReply(self, call))

    def _is_silent(self, call: Call) -> bool:
        for silent_link in self.silent_links:
            if silent_link.applies_to(call.source, call.target):
                call.is_answer_lost = True
                return not silent_link.reaches
        return False

    def _on_return(self, call: Call, outcome: Result[Any, CallFailure]) -> None:
        if call.is_answer_lost or self._is_cut(call.target, call.source):
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

    def _schedule(
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
    """Return a copy of a call; delivering it sends the held answer."""
    held = Call(call.source, call.target, call.deliver)
    held.outcome = call.outcome
    held.is_answer_lost = call.is_answer_lost
    held.deliver = partial(_answer_at_once, outcome)
    return held


def _answer_at_once(outcome: Any, reply: Reply[Any]) -> bool:
    reply.answer(outcome)
    return True


def _is_named(endpoint: Endpoint, names: frozenset[str]) -> bool:
    return endpoint.name in names or endpoint.domain in names
