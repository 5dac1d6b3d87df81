"""Reads requests from bytes as they arrive, without I/O or clock.

Handles clients that send heads, bodies, chunks or trailers without end: what
is kept is bounded by the limits at each moment, and the framing of chunks is
counted although it is not kept.
"""

import re
from collections.abc import Callable
from enum import Enum
from typing import Final

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.buffers import remove_front, take_front
from fuchsiarill.reception.heads import CRLF, Head, parse_head, parse_header
from fuchsiarill.reception.refusals import Limit, RefusedError
from fuchsiarill.registry import Registry

_HEAD_END: Final = CRLF + CRLF
_CHUNK_LINE: Final = re.compile(
    rb'([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?',
)
_HEX: Final = 16


class Part(Enum):
    """The part of a request that is read next."""

    HEAD = 'head'
    BODY = 'body'
    CHUNK_LINE = 'chunk_line'
    CHUNK = 'chunk'
    CHUNK_END = 'chunk_end'
    TRAILER = 'trailer'
    NOTHING = 'nothing'


# Each reads what it can of its part; returns whether to go on at once.
_ReadPart = Callable[['RequestReader'], bool]
READERS: Final[Registry[Part, _ReadPart]] = Registry('readers by part')


class RequestReader:
    """Reads the requests of one connection, one after the other."""

    def __init__(self, find_limits: Callable[[], ConnectionLimits]) -> None:
        """Read each request within the limits of the time of its head."""
        self.limits = find_limits()
        self.part = Part.HEAD
        self.head: Head | None = None
        # Received and not read yet.
        self.pending = bytearray()
        self.body = bytearray()
        # What the body, the chunk or the trailers may still have.
        self.left_bytes = 0
        self.framing_bytes = 0
        self.lines_count = 0
        self.has_skipped_line = False
        self._find_limits = find_limits

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request takes."""
        return len(self.pending) + len(self.body)

    @property
    def is_begun(self) -> bool:
        """Return whether any part of a request has arrived."""
        return bool(self.pending) or self.part is not Part.HEAD

    @property
    def is_complete(self) -> bool:
        """Return whether the request is complete and not taken."""
        return self.part is Part.NOTHING

    def feed(self, received: bytes) -> None:
        """Read what was received; raises `RefusedError`."""
        self.pending += received
        goes_on = True
        while goes_on:
            goes_on = READERS.lookup(self.part)(self)

    def take(self) -> bytes:
        """Return the complete request; the next one is read thereafter.

        Its head gives the length of the body, which is no longer chunked.
        """
        assert self.head is not None  # noqa: S101
        request = self.head.encode(len(self.body)) + self.body
        self.limits = self._find_limits()
        self.has_skipped_line = False
        self.part = Part.HEAD
        self.head = None
        self.body = bytearray()
        return request

    def drop(self) -> None:
        """Free the memory of a request that was refused."""
        self.pending = bytearray()
        self.body = bytearray()

    def expect_body(self, length: int) -> None:
        """Check the length of the body before it is read."""
        if length > self.limits.body_max_bytes:
            raise RefusedError(Limit.BODY, 'the body is too large')

    def read_line(self, limit: Limit, max_bytes: int) -> bytes | None:
        """Take a line without its end; `None` if it isn't complete."""
        end = self.pending.find(CRLF, 0, max_bytes)
        if end < 0:
            if len(self.pending) >= max_bytes:
                raise RefusedError(limit, 'a line is too long')
            return None
        line = take_front(self.pending, end)
        remove_front(self.pending, len(CRLF))
        return line


@READERS.register(Part.HEAD)
def _read_head(reader: RequestReader) -> bool:
    pending = reader.pending
    if not reader.has_skipped_line and pending.startswith(CRLF):
        # One empty line is allowed before a request.
        reader.has_skipped_line = True
        remove_front(pending, len(CRLF))
    limits = reader.limits
    end = pending.find(_HEAD_END, 0, limits.head_max_bytes)
    if end < 0:
        _check_open_head(pending, limits)
        return False
    head = parse_head(take_front(pending, end), limits)
    remove_front(pending, len(_HEAD_END))
    reader.head = head
    reader.framing_bytes = 0
    if head.body_bytes is None:
        reader.part = Part.CHUNK_LINE
        return True
    reader.expect_body(head.body_bytes)
    reader.left_bytes = head.body_bytes
    reader.part = Part.BODY
    return True


def _check_open_head(pending: bytearray, limits: ConnectionLimits) -> None:
    line_max_bytes = limits.request_line_max_bytes
    if len(pending) <= line_max_bytes:
        return
    if pending.find(CRLF, 0, line_max_bytes) < 0:
        raise RefusedError(Limit.REQUEST_LINE, 'the request line is too long')
    if len(pending) > limits.head_max_bytes:
        raise RefusedError(Limit.HEADERS, 'the headers are too long')


@READERS.register(Part.BODY)
def _read_body(reader: RequestReader) -> bool:
    if not _move_to_body(reader):
        return False
    reader.part = Part.NOTHING
    return False


@READERS.register(Part.CHUNK_LINE)
def _read_chunk_line(reader: RequestReader) -> bool:
    limits = reader.limits
    line = reader.read_line(Limit.CHUNK_FRAMING, limits.chunk_line_max_bytes)
    if line is None:
        return False
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise RefusedError(Limit.MALFORMED, 'no size of a chunk')
    reader.framing_bytes += len(line) + 2 * len(CRLF)
    if reader.framing_bytes > limits.chunk_framing_max_bytes:
        raise RefusedError(Limit.CHUNK_FRAMING, 'too much chunk framing')
    size = int(match.group(1), _HEX)
    reader.expect_body(len(reader.body) + size)
    if size:
        reader.left_bytes = size
        reader.part = Part.CHUNK
        return True
    reader.left_bytes = limits.trailers_max_bytes
    reader.lines_count = 0
    reader.part = Part.TRAILER
    return True


@READERS.register(Part.CHUNK)
def _read_chunk(reader: RequestReader) -> bool:
    if not _move_to_body(reader):
        return False
    reader.part = Part.CHUNK_END
    return True


@READERS.register(Part.CHUNK_END)
def _read_chunk_end(reader: RequestReader) -> bool:
    if not CRLF.startswith(reader.pending[: len(CRLF)]):
        raise RefusedError(Limit.MALFORMED, 'no end of a chunk')
    if len(reader.pending) < len(CRLF):
        return False
    remove_front(reader.pending, len(CRLF))
    reader.part = Part.CHUNK_LINE
    return True


@READERS.register(Part.TRAILER)
def _read_trailer(reader: RequestReader) -> bool:
    line = reader.read_line(Limit.TRAILERS, reader.left_bytes)
    if line is None:
        return False
    if not line:
        reader.part = Part.NOTHING
        return False
    parse_header(line, reader.limits)
    reader.left_bytes -= len(line) + len(CRLF)
    reader.lines_count += 1
    if reader.lines_count > reader.limits.headers_max_count:
        raise RefusedError(Limit.TRAILERS, 'too many trailers')
    return True


@READERS.register(Part.NOTHING)
def _read_nothing(reader: RequestReader) -> bool:
    return False


def _move_to_body(reader: RequestReader) -> bool:
    """Move what belongs to the body; returns whether it is complete."""
    moved = take_front(reader.pending, reader.left_bytes)
    reader.body += moved
    reader.left_bytes -= len(moved)
    return not reader.left_bytes
