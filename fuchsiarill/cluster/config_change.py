"""An operator's change of the configuration, as one compare-and-swap.

The document carries the unique tokens of its last generations, so a write whose
answer was lost is recognised when the key is read again.
"""

import uuid
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.cell_config import (
    CellConfig,
    parse_config,
    partition_change_problems,
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
_ATTEMPTS_MAX_COUNT: Final = 3
_RETRY_AFTER_MS: Final = 1_000


class ConfigParser(Protocol):
    """Parses a document, in a thread where the event loop must not block."""

    async def __call__(
        self,
        text: str,
    ) -> Result[CellConfig, tuple[Refusal, ...]]:
        """Return the configuration, or all problems of the document."""


async def parse_on_event_loop(
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
        parser: ConfigParser,
    ) -> None:
        """Prepare the change and generate its unique token."""
        self._store = store
        self._request = request
        self._parser = parser
        self._token = uuid.uuid4().hex
        self._is_swap_sent = False

    async def execute(self) -> ChangeAnswer:
        """Validate the document, write it and return the result."""
        parsed = await self._parser(self._request.text)
        if isinstance(parsed, Failure):
            return ChangeAnswer(codes.CONFIG_INVALID, None, parsed.failure())
        for _ in range(_ATTEMPTS_MAX_COUNT):
            answer = await self._attempt_change(parsed.unwrap())
            if answer is not None:
                return answer
        return self._missing_result_answer()

    async def _attempt_change(self, config: CellConfig) -> ChangeAnswer | None:
        """Read and swap once; returns `None` while the result is unknown."""
        match await self._store.get(CONFIG_KEY):
            case Success(stored):
                return await self._write_over(stored, config)
        return None

    async def _write_over(
        self,
        stored: Versioned,
        config: CellConfig,
    ) -> ChangeAnswer | None:
        decoded = read_document(stored.value)
        if isinstance(decoded, Failure):
            problem = Refusal(codes.CONFIG_INVALID, decoded.failure())
            return ChangeAnswer(codes.CONFIG_INVALID, None, (problem,))
        current = decoded.unwrap()
        if self._is_swap_sent and self._token in current.tokens:
            return ChangeAnswer(codes.DONE, self._own_document(current))
        if current.generation != self._request.expected_generation:
            return self._conflict_answer(current)
        problems = await self._partition_problems(current, config)
        if problems:
            return ChangeAnswer(codes.CONFIG_INVALID, None, problems)
        return await self._swap(stored, current)

    async def _swap(
        self,
        stored: Versioned,
        current: ConfigDocument,
    ) -> ChangeAnswer | None:
        successor = current.successor(
            self._request.text,
            self._request.author,
            self._token,
        )
        self._is_swap_sent = True
        swap_result = await self._store.swap(
            Swap(CONFIG_KEY, successor.model_dump_json(), stored.revision),
        )
        if swap_result.outcome is SwapOutcome.SWAPPED:
            return ChangeAnswer(codes.DONE, successor)
        # The next attempt reads the key again: after a conflict or a lost
        # answer, the key may hold the write of this or an earlier attempt.
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
        current: ConfigDocument,
        new_config: CellConfig,
    ) -> tuple[Refusal, ...]:
        if not current.generation:
            return ()
        parsed = await self._parser(current.text)
        if isinstance(parsed, Failure):
            return ()
        return partition_change_problems(
            self._request.text, parsed.unwrap(), new_config
        )

    def _conflict_answer(self, current: ConfigDocument) -> ChangeAnswer:
        problem = refuse(
            codes.CONFIG_CONFLICT,
            texts.CONFIG_CONFLICT,
            field='expected_generation',
            generation=current.generation,
            author=current.author,
            expected=self._request.expected_generation,
        )
        return ChangeAnswer(codes.CONFIG_CONFLICT, current, (problem,))

    def _missing_result_answer(self) -> ChangeAnswer:
        code = codes.STORE_UNAVAILABLE
        text = texts.STORE_SILENT
        if self._is_swap_sent:
            code = codes.OUTCOME_UNCERTAIN
            text = texts.CHANGE_UNCERTAIN
        problem = refuse(code, text, retry_after_ms=_RETRY_AFTER_MS)
        return ChangeAnswer(code, None, (problem,))
