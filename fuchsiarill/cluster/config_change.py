"""An operator's change of the configuration, as one compare-and-swap.

The document carries a unique token for each generation, so a write whose
answer was lost is recognised when the key is read again.
"""

import uuid
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import (
    CellConfig,
    changed_partitions,
    parse_config,
)
from fuchsiarill.cluster.config_document import (
    CONFIG_KEY,
    ConfigDocument,
    read_document,
)
from fuchsiarill.ids import Generation
from fuchsiarill.ports.store import (
    StorePort,
    Swap,
    SwapOutcome,
    Versioned,
)
from fuchsiarill.refusal import Refusal, refuse

# Repeating the write is safe: at most one swap of a revision takes effect.
_ATTEMPTS_COUNT: Final = 3
_RETRY_AFTER_MS: Final = 1_000


class ConfigParser(Protocol):
    """Parses a document, in a thread where the event loop must not block."""

    async def __call__(
        self,
        text: str,
    ) -> Result[CellConfig, tuple[Refusal, ...]]:
        """Return the configuration, or all problems of the document."""


async def parse_in_loop(
    text: str,
) -> Result[CellConfig, tuple[Refusal, ...]]:
    """Parse in the running event loop, which is blocked meanwhile."""
    return parse_config(text)


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A new document that is to replace the expected generation."""

    text: str
    expected_generation: Generation
    author: str


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Result of a change.

    `document` is the document written when `code` is `DONE`, and the current
    document when `code` is `CONFIG_CONFLICT`.
    """

    code: codes.ResultCode
    document: ConfigDocument | None = None
    problems: tuple[Refusal, ...] = ()


class ConfigChange:
    """Writes one change to the store and determines its result."""

    def __init__(
        self,
        store: StorePort,
        request: ChangeRequest,
        parse: ConfigParser,
    ) -> None:
        """Prepare the change and generate its unique token."""
        self._store = store
        self._request = request
        self._parse = parse
        self._token = uuid.uuid4().hex
        self._sent = False

    async def execute(self) -> ChangeAnswer:
        """Validate the document, write it and return the result."""
        parsed = await self._parse(self._request.text)
        if isinstance(parsed, Failure):
            return ChangeAnswer(codes.CONFIG_INVALID, None, parsed.failure())
        for _ in range(_ATTEMPTS_COUNT):
            answer = await self._try_once(parsed.unwrap())
            if answer is not None:
                return answer
        return self._no_answer()

    async def _try_once(self, config: CellConfig) -> ChangeAnswer | None:
        """Read and swap once; returns `None` while the result is unknown."""
        match await self._store.get(CONFIG_KEY):
            case Success(found):
                return await self._write_over(found, config)
        return None

    async def _write_over(
        self,
        found: Versioned,
        config: CellConfig,
    ) -> ChangeAnswer | None:
        present = read_document(found.value)
        if isinstance(present, Failure):
            problem = Refusal(codes.CONFIG_INVALID, present.failure())
            return ChangeAnswer(codes.CONFIG_INVALID, None, (problem,))
        before = present.unwrap()
        if self._sent and self._token in before.tokens:
            return ChangeAnswer(codes.DONE, self._own_document(before))
        if before.generation != self._request.expected_generation:
            return self._conflict(before)
        problems = await self._partition_problems(before, config)
        if problems:
            return ChangeAnswer(codes.CONFIG_INVALID, None, problems)
        return await self._swap(found, before)

    async def _swap(
        self,
        found: Versioned,
        before: ConfigDocument,
    ) -> ChangeAnswer | None:
        after = before.successor(
            self._request.text,
            self._request.author,
            self._token,
        )
        self._sent = True
        swapped = await self._store.swap(
            Swap(CONFIG_KEY, after.model_dump_json(), found.revision),
        )
        if swapped.outcome is SwapOutcome.SWAPPED:
            return ChangeAnswer(codes.DONE, after)
        # The conflict may be with the write of an earlier attempt.
        return None

    def _own_document(self, later: ConfigDocument) -> ConfigDocument:
        """Return the document of this change, which may be superseded."""
        age = len(later.tokens) - 1 - later.tokens.index(self._token)
        if not age:
            return later
        return ConfigDocument(
            generation=Generation(later.generation - age),
            author=self._request.author,
            text=self._request.text,
        )

    async def _partition_problems(
        self,
        before: ConfigDocument,
        after: CellConfig,
    ) -> tuple[Refusal, ...]:
        if not before.generation:
            return ()
        parsed = await self._parse(before.text)
        if isinstance(parsed, Failure):
            return ()
        return changed_partitions(self._request.text, parsed.unwrap(), after)

    def _conflict(self, present: ConfigDocument) -> ChangeAnswer:
        problem = refuse(
            codes.CONFIG_CONFLICT,
            texts.CONFIG_CONFLICT,
            field='expected_generation',
            generation=present.generation,
            author=present.author,
            expected=self._request.expected_generation,
        )
        return ChangeAnswer(codes.CONFIG_CONFLICT, present, (problem,))

    def _no_answer(self) -> ChangeAnswer:
        code = codes.STORE_UNAVAILABLE
        text = texts.STORE_SILENT
        if self._sent:
            code = codes.OUTCOME_UNCERTAIN
            text = texts.CHANGE_UNCERTAIN
        problem = refuse(code, text, retry_after_ms=_RETRY_AFTER_MS)
        return ChangeAnswer(code, None, (problem,))
