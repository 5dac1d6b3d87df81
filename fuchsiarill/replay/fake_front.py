"""Fake of the front end: passes calls to the actors without HTTP.

It uses the same messages and deadlines as the routes in `front/`.
"""

from collections.abc import Callable
from typing import Any

from fuchsiarill import codes, texts
from fuchsiarill.actor import Actor, Reply, handles
from fuchsiarill.answers import refusal_answer
from fuchsiarill.clock import now_ms, sleep_ms
from fuchsiarill.cluster.config_distribution import GetDocument
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.membership import StateChanged
from fuchsiarill.front.front_actor import StopFront
from fuchsiarill.owner.messages import ConfigChanged
from fuchsiarill.process_messages import Receivers
from fuchsiarill.refusal import refuse
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.routing import ForwardToOwner, answer_all
from fuchsiarill.settings import ProcessSettings
from fuchsiarill.states import ProcessState

_CHECK_INTERVAL_MS = 20

# Makes a message from the `Reply` that its receiver answers.
MessageFactory = Callable[[Reply[Any]], Any]


class FakeFront(Actor):
    """Passes requests to actors and tracks the readiness of the process."""

    def __init__(
        self,
        settings: ProcessSettings,
        receivers: Receivers,
        log: ObservationLog,
    ) -> None:
        """Refuse callers' requests until a configuration is in force."""
        super().__init__('front')
        self.is_ready = False
        self._settings = settings
        self._receivers = receivers
        self._log = log
        self._has_config = False
        self._is_open = True
        self._in_progress = 0

    @handles(ConfigChanged)
    async def on_config(self, message: ConfigChanged) -> None:
        """Record the generation that the configuration actor reports."""
        self._has_config = True
        reply: Reply[ConfigDocument] = Reply()
        self._receivers.config.send(GetDocument(reply))
        document = await reply.wait(self._settings.http.request_timeout_ms)
        self._log.record(
            ObservationKind.CONFIG_IN_FORCE,
            self._settings.process,
            generation=document.generation,
        )

    @handles(StateChanged)
    async def on_state(self, message: StateChanged) -> None:
        """Update the readiness that the load balancer checks."""
        self.is_ready = message.state is ProcessState.SERVING

    @handles(StopFront)
    async def on_stop(self, message: StopFront) -> None:
        """Wait up to `within_ms` for answers; reply whether all were sent."""
        ends_at_ms = now_ms() + message.within_ms
        while self._in_progress and now_ms() < ends_at_ms:
            await sleep_ms(_CHECK_INTERVAL_MS)
        self._is_open = False
        message.reply.answer(not self._in_progress)

    async def call_owner(self, build: MessageFactory, wait_ms: int) -> Any:
        """Route a request to a partition owner and return the answer.

        Without an answer within the request time-out plus `wait_ms`, the
        answer is that the outcome is uncertain.
        """
        route: ForwardToOwner = build(Reply())
        if not self._has_config:
            answer_all(
                route.message,
                refusal_answer(
                    refuse(
                        codes.NOT_CONFIGURED,
                        texts.NOT_CONFIGURED,
                        retry_after_ms=_CHECK_INTERVAL_MS,
                    ),
                ),
            )
        elif not self._receivers.router.send(route):
            answer_all(
                route.message,
                refusal_answer(refuse(codes.OVERLOADED, texts.OVERLOADED)),
            )
        return await self._wait_for_answer(route, wait_ms)

    async def call_config(self, build: MessageFactory) -> Any:
        """Return the configuration actor's answer; raises `TimeoutError`."""
        reply: Reply[Any] = Reply()
        self._receivers.config.send(build(reply))
        return await reply.wait(self._settings.http.request_timeout_ms)

    async def _wait_for_answer(
        self, route: ForwardToOwner, wait_ms: int
    ) -> Any:
        reply: Reply[Any] = route.message.reply
        self._in_progress += 1
        try:
            return await reply.wait(
                self._settings.http.request_timeout_ms + wait_ms,
            )
        except TimeoutError:
            uncertain = refuse(
                codes.OUTCOME_UNCERTAIN,
                texts.OUTCOME_UNCERTAIN,
                partition=route.partition,
            )
            answer_all(route.message, refusal_answer(uncertain))
        finally:
            self._in_progress -= 1
        return await reply.wait(self._settings.http.request_timeout_ms)
