"""State that HTTP threads read, and their requests to the actors."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fuchsiarill.actor import Mailbox, Reply
from fuchsiarill.clock import MS_PER_SECOND
from fuchsiarill.front.bridge import Bridge
from fuchsiarill.graphs.intake import IntakeAnswer
from fuchsiarill.graphs.model import GraphConfig
from fuchsiarill.graphs.settings import GraphSettings

_DEFAULT_CALLER_TIMEOUT_MS = 3000
# Limit of the requests in progress in all HTTP threads.
_REQUESTS_MAX_COUNT = 400
# The bridge times out later than the actor, which answers by the deadline of
# the request.
_BRIDGE_MARGIN_MS = 200


@dataclass(frozen=True, slots=True)
class FrontView:
    """State of the process for its HTTP threads; replaced as a whole."""

    config: GraphConfig | None = None
    is_store_lost: bool = False
    is_draining: bool = False

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""
        return (
            self.config is not None
            and not self.is_store_lost
            and not self.is_draining
        )


class Front:
    """Passes requests of HTTP threads to the actors, with a time limit."""

    def __init__(self, settings: GraphSettings, intake: Mailbox) -> None:
        """Pass requests to `intake` in the running loop."""
        self.settings = settings
        self.view = FrontView()
        self._loop = asyncio.get_running_loop()
        self._bridge = Bridge(self._loop, _REQUESTS_MAX_COUNT)
        self._intake = intake

    def deadline_ms(self, caller_timeout_ms: int | None) -> int:
        """Return the deadline for the answer to a caller, by the runtime clock.

        It precedes the caller's own deadline by the answer margin, but by at
        most half of the caller's time-out.
        """
        allowed_ms = caller_timeout_ms or _DEFAULT_CALLER_TIMEOUT_MS
        margin_ms = self.settings.front.answer_margin_ms
        now = int(self._loop.time() * MS_PER_SECOND)
        return now + max(allowed_ms - margin_ms, allowed_ms // 2)

    def ask(
        self,
        build: Callable[[Reply[IntakeAnswer]], Any],
        deadline_ms: int,
    ) -> IntakeAnswer:
        """Send the message of `build` to the intake; return its answer.

        Raises `NotSentError` or `TimeoutError`.
        """
        now = int(self._loop.time() * MS_PER_SECOND)
        timeout_ms = deadline_ms - now + _BRIDGE_MARGIN_MS
        return self._bridge.ask(self._intake, build, timeout_ms)

    def ask_actor(
        self,
        mailbox: Mailbox,
        build: Callable[[Reply[Any]], Any],
    ) -> Any:
        """Return the answer of another actor to the message of `build`."""
        return self._bridge.ask(mailbox, build, _DEFAULT_CALLER_TIMEOUT_MS)
