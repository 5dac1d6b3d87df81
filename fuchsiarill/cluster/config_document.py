"""The stored form of a configuration, with its generation and author."""

from typing import Final

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.ids import Generation, StoreKey

CONFIG_KEY: Final = StoreKey('config/current')

# `ConfigDocument.tokens` tells whether a write whose reply was lost took
# effect, so the list must be longer than the number of changes that operators
# can make within one call's deadline.
_TOKENS_MAX_COUNT: Final = 16


class ConfigDocument(BaseModel):
    """Value of the store key `config/current`.

    `tokens` holds one unique token for each of the last generations, the
    current one last. A writer that got no answer finds its token here if its
    write took effect.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    generation: Generation
    author: str
    text: str
    tokens: tuple[str, ...] = ()

    def successor(self, text: str, author: str, token: str) -> 'ConfigDocument':
        """Return the document of the next generation."""
        tokens = (*self.tokens, token)
        return ConfigDocument(
            generation=Generation(self.generation + 1),
            author=author,
            text=text,
            tokens=tokens[-_TOKENS_MAX_COUNT:],
        )


# Stands for the current document until a document is stored.
NO_DOCUMENT: Final = ConfigDocument(
    generation=Generation(0),
    author='',
    text='',
)


def read_document(encoded: str | None) -> Result[ConfigDocument, str]:
    """Parse the value of the store key; `NO_DOCUMENT` if the key is absent.

    The first document can't be written through the HTTP interface, since no
    token is configured yet: it is put into the store as plain YAML.
    """
    if encoded is None:
        return Success(NO_DOCUMENT)
    if not encoded.startswith('{'):
        return Success(NO_DOCUMENT.successor(encoded, 'first document', ''))
    try:
        return Success(ConfigDocument.model_validate_json(encoded))
    except ValidationError as invalid:
        problem = invalid.errors()[0]
        field = '.'.join(str(part) for part in problem['loc'])
        return Failure(f'{field}: {problem["msg"]}')
