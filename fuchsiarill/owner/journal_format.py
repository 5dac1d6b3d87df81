"""Format and size limits of the values that a journal stores."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.ids import Revision
from fuchsiarill.records import RECORD, Record

FORMAT: Final = 1
# The store accepts values of up to 1 MB. Several records in one value are
# limited to half of that, which leaves space for a single larger record.
VALUE_MAX_BYTES: Final = 500_000
GROUP_MAX_COUNT: Final = 1_000


class JournalFault(Enum):
    """Why a journal cannot be read or its next entry cannot be written.

    `INTERRUPTED`: the ownership deadline passed or an error occurred first; a
    write may have taken effect. `OVERTAKEN`: a write conflicted, or a key holds
    a later entry than expected, as when another owner has claimed the journal
    or written an entry.
    """

    INTERRUPTED = 'interrupted'
    OVERTAKEN = 'overtaken'
    CORRUPT = 'corrupt'
    NEWER_FORMAT = 'newer_format'


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Value of an entry or of a snapshot chunk.

    `token` identifies the writer. An entry contains its index, because its key
    may still hold an older entry; a chunk has index 0.
    """

    format: int
    token: str
    index: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the head key.

    `writer` is the token of the owner that claimed the journal: while the head
    contains this token, no other owner has taken over. The snapshot covers the
    entries before `first_index`. `snapshot` is the name of its set of keys, and
    `chunk_revisions` holds the revision of each of its chunks.
    """

    format: int
    writer: str
    first_index: int = 1
    snapshot: str = ''
    chunk_revisions: tuple[Revision, ...] = ()


_ENTRIES: Final = TypeAdapter(JournalEntry)
_HEADS: Final = TypeAdapter(Head)


@dataclass(frozen=True, slots=True)
class EncodedRecord:
    """A record with its serialized form and size."""

    sequence: int
    record: Record
    text: str
    size_bytes: int


def encode(sequence: int, record: Record) -> EncodedRecord:
    """Serialize one record."""
    encoded = RECORD.dump_json(record)
    return EncodedRecord(sequence, record, encoded.decode(), len(encoded))


def entry_value(token: str, index: int, texts: Iterable[str]) -> str:
    """Return the value of an entry or chunk with serialized records."""
    fields_json = f'"format":{FORMAT},"token":"{token}","index":{index}'
    records_json = ','.join(texts)
    return f'{{{fields_json},"records":[{records_json}]}}'


def chunk_values(token: str, records: Iterable[Record]) -> Iterator[str]:
    """Yield the values of the chunks of a snapshot."""
    texts: list[str] = []
    size_bytes = 0
    for record in records:
        encoded = encode(0, record)
        if texts and size_bytes + encoded.size_bytes > VALUE_MAX_BYTES:
            yield entry_value(token, 0, texts)
            texts = []
            size_bytes = 0
        texts.append(encoded.text)
        size_bytes += encoded.size_bytes + 1
    yield entry_value(token, 0, texts)


def head_value(head: Head) -> str:
    """Return the value of the head key."""
    return _HEADS.dump_json(head).decode()


def parse_head(text: str) -> Result[Head, JournalFault]:
    """Parse the value of the head key."""
    return _parse_value(_HEADS, text)


def parse_entry(text: str) -> Result[JournalEntry, JournalFault]:
    """Parse the value of a log key or of a snapshot chunk."""
    return _parse_value(_ENTRIES, text)


def _parse_value(
    adapter: TypeAdapter[Any],
    text: str,
) -> Result[Any, JournalFault]:
    """Parse a value; a newer format is distinguished from corruption."""
    try:
        parsed_value = adapter.validate_json(text)
    except ValidationError:
        return Failure(_fault_of_malformed(text))
    if parsed_value.format != FORMAT:
        return Failure(JournalFault.NEWER_FORMAT)
    return Success(parsed_value)


_DOCUMENTS: Final = TypeAdapter(dict[str, Any])


def _fault_of_malformed(text: str) -> JournalFault:
    try:
        document = _DOCUMENTS.validate_json(text)
    except ValidationError:
        return JournalFault.CORRUPT
    format_number = document.get('format')
    if isinstance(format_number, int) and format_number > FORMAT:
        return JournalFault.NEWER_FORMAT
    return JournalFault.CORRUPT
