"""Simulated operators: change the configuration through a process."""

import asyncio
import random
from functools import partial
from typing import Any, Final

import yaml
from returns.result import Result, Success

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.cluster.config_change import ChangeAnswer, ChangeRequest
from fuchsiarill.cluster.config_distribution import ChangeConfig, GetDocument
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.replay.deployment import merge
from fuchsiarill.replay.network import CLIENT_DOMAIN, Endpoint, Network
from fuchsiarill.replay.observations import ObservationKind, ObservationLog
from fuchsiarill.replay.process import ReplayedProcess

_NO_ANSWER: Final = 'no_answer'


class Operators:
    """All operators of one replay."""

    def __init__(
        self,
        log: ObservationLog,
        network: Network,
        processes: dict[str, ReplayedProcess],
        random_source: random.Random,
    ) -> None:
        """Call one of `processes`, by default chosen by `random_source`."""
        self._log = log
        self._network = network
        self._processes = processes
        self._random_source = random_source
        self._endpoint = Endpoint('operator', CLIENT_DOMAIN)
        self._draining: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def change(
        self,
        changes: dict[str, Any],
        text: str | None,
        author: str,
        via: str | None,
    ) -> None:
        """Merge `changes` into the current document, or replace it by `text`.

        `via` names the process that is called.
        """
        available = [
            process
            for process in self._processes.values()
            if process.accepts_calls
        ]
        if via is not None:
            available = [self._processes[via]]
        if not available:
            self._record_failure(author, _NO_ANSWER)
            return
        process = self._random_source.choice(available)
        task = asyncio.create_task(
            self._change(
                process, partial(_changed_text, changes, text), author
            ),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(
        self,
        process: ReplayedProcess,
        rewrite: Any,
        author: str,
    ) -> None:
        current = await self._call(process, GetDocument)
        match current:
            case Success(document):
                request = ChangeRequest(
                    rewrite(document),
                    document.generation,
                    author,
                )
                build = partial(ChangeConfig, request)
                answer = await self._call(process, build)
                self._record(answer, author)
                return
        self._record_failure(author, _NO_ANSWER)

    async def _call(
        self,
        process: ReplayedProcess,
        build: Any,
    ) -> Result[Any, Any]:
        """Send the message that `build` makes from the `Reply` of the call."""
        return await self._network.call(
            self._endpoint,
            process.endpoint,
            partial(_deliver, process, build),
            process.settings.http.request_timeout_ms,
        )

    def _record(self, answer: Result[ChangeAnswer, Any], author: str) -> None:
        match answer:
            case Success(ChangeAnswer(codes.DONE, ConfigDocument() as written)):
                self._log.record(
                    ObservationKind.CONFIG_WRITTEN,
                    author,
                    generation=written.generation,
                )
                self._record_draining(written)
            case Success(refused):
                self._record_failure(author, refused.code.name)
            case _:
                self._record_failure(author, _NO_ANSWER)

    def _record_draining(self, document: ConfigDocument) -> None:
        draining = set(yaml.safe_load(document.text)['draining_workers'])
        for worker in sorted(draining - self._draining):
            self._log.record(ObservationKind.HOST_LEAVING, worker)
        for restored in sorted(self._draining - draining):
            self._log.record(ObservationKind.HOST_BACK, restored)
        self._draining = draining

    def _record_failure(self, author: str, code: str) -> None:
        self._log.record(ObservationKind.CONFIG_REFUSED, author, code=code)


def _deliver(process: ReplayedProcess, build: Any, reply: Reply[Any]) -> bool:
    return process.call_config(build, reply)


def _changed_text(
    changes: dict[str, Any],
    text: str | None,
    document: ConfigDocument,
) -> str:
    if text is not None:
        return text
    changed = merge(yaml.safe_load(document.text), changes)
    return yaml.safe_dump(changed, sort_keys=False)
