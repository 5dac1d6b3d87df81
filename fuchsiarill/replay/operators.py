"""The operators: change the configuration through a process of the system."""

import asyncio
import random
from functools import partial
from typing import Any, Final

import yaml
from returns.result import Result, Success

from fuchsiarill import codes
from fuchsiarill.actor import Reply
from fuchsiarill.cluster.config_change import ChangeAnswer, ChangeRequest
from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.config_spread import ChangeConfig, GetDocument
from fuchsiarill.replay.deployment import merge
from fuchsiarill.replay.network import CLIENT_DOMAIN, Endpoint, Network
from fuchsiarill.replay.process import ReplayedProcess
from fuchsiarill.replay.seen import SeenKind, SeenLog

_NO_ANSWER: Final = 'no_answer'


class Operators:
    """All operators of one replay."""

    def __init__(
        self,
        log: SeenLog,
        network: Network,
        processes: dict[str, ReplayedProcess],
        random_source: random.Random,
    ) -> None:
        """Ask `processes`, chosen by `random_source` where none is named."""
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
        """Lay changes over the present document, or replace its text."""
        alive = [one for one in self._processes.values() if one.takes_calls]
        if via is not None:
            alive = [self._processes[via]]
        if not alive:
            self._refused(author, _NO_ANSWER)
            return
        process = self._random_source.choice(alive)
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
        shown = await self._ask(process, GetDocument)
        match shown:
            case Success(document):
                request = ChangeRequest(
                    rewrite(document),
                    document.generation,
                    author,
                )
                build = partial(ChangeConfig, request)
                answer = await self._ask(process, build)
                self._note(answer, author)
                return
        self._refused(author, _NO_ANSWER)

    async def _ask(
        self,
        process: ReplayedProcess,
        build: Any,
    ) -> Result[Any, Any]:
        return await self._network.ask(
            self._endpoint,
            process.endpoint,
            partial(_post, process, build),
            process.settings.http.request_timeout_ms,
        )

    def _note(self, answer: Result[ChangeAnswer, Any], author: str) -> None:
        match answer:
            case Success(ChangeAnswer(codes.DONE, ConfigDocument() as written)):
                self._log.note(
                    SeenKind.CONFIG_WRITTEN,
                    author,
                    generation=written.generation,
                )
                self._note_draining(written)
            case Success(refused):
                self._refused(author, refused.code.name)
            case _:
                self._refused(author, _NO_ANSWER)

    def _note_draining(self, document: ConfigDocument) -> None:
        present = set(yaml.safe_load(document.text)['draining_workers'])
        for worker in sorted(present - self._draining):
            self._log.note(SeenKind.HOST_LEAVING, worker)
        for restored in sorted(self._draining - present):
            self._log.note(SeenKind.HOST_BACK, restored)
        self._draining = present

    def _refused(self, author: str, code: str) -> None:
        self._log.note(SeenKind.CONFIG_REFUSED, author, code=code)


def _post(process: ReplayedProcess, build: Any, reply: Reply[Any]) -> bool:
    return process.ask_config(build, reply)


def _changed_text(
    changes: dict[str, Any],
    text: str | None,
    document: ConfigDocument,
) -> str:
    if text is not None:
        return text
    changed = merge(yaml.safe_load(document.text), changes)
    return yaml.safe_dump(changed, sort_keys=False)
