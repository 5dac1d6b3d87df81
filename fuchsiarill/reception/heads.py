"""Parses the head of a request as strictly as RFC 9112 allows.

Only what cannot be taken for anything else is accepted: a head that two
programs may read differently would let one request pass for two.
"""

import re
from dataclasses import dataclass
from typing import Final

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.refusals import Limit, RefusedError

CRLF: Final = b'\r\n'
_REQUEST_LINE: Final = re.compile(
    rb'[A-Z]{1,32} (?:/[!-~\x80-\xff]*|\*) HTTP/1\.([01])',
)
_HEADER: Final = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)",
)
_LENGTH: Final = re.compile(rb'[0-9]{1,18}')
# Headers that the product reads. Each may occur once, since the values of
# several could contradict each other.
_SINGLE_HEADERS: Final = frozenset(
    (
        b'authorization',
        b'content-length',
        b'content-type',
        b'expect',
        b'host',
        b'transfer-encoding',
        b'x-deadline-ms',
    ),
)
# Not passed on: the framing is described by the length of the body that was
# read, and the consent to the body was sent.
_REPLACED_HEADERS: Final = frozenset(
    (b'content-length', b'expect', b'trailer', b'transfer-encoding'),
)


@dataclass(frozen=True, slots=True)
class Head:
    """A head whose body, if any, has yet to be read."""

    # The request line and the headers that are passed on, with line ends.
    lines: bytes
    # `None` for a chunked body.
    body_bytes: int | None
    # The client sends the body after the response `100 Continue`.
    waits_for_consent: bool

    def encode(self, body_bytes: int) -> bytes:
        """Return the head of the request with a body of this length."""
        if not body_bytes:
            return b'%s\r\n' % self.lines
        return b'%sContent-Length: %d\r\n\r\n' % (self.lines, body_bytes)


def parse_head(text: bytes, limits: ConnectionLimits) -> Head:
    """Parse a head without the empty line at its end.

    Raises `RefusedError`.
    """
    request_line, *header_lines = text.split(CRLF)
    version = _parse_request_line(request_line, limits)
    if len(text) - len(request_line) > limits.headers_max_bytes:
        raise RefusedError(Limit.HEADERS, 'the headers are too long')
    if len(header_lines) > limits.headers_max_count:
        raise RefusedError(Limit.HEADERS_COUNT, 'too many headers')
    kept_lines = [request_line]
    single: dict[bytes, bytes] = {}
    for line in header_lines:
        name, text_of_value = parse_header(line, limits)
        if name in _SINGLE_HEADERS:
            _add_single(single, name, text_of_value)
        # A name with `_` would be taken for the one with `-` by WSGI.
        if name not in _REPLACED_HEADERS and b'_' not in name:
            kept_lines.append(line)
    kept_lines.append(b'')
    return Head(
        CRLF.join(kept_lines),
        _parse_framing(single, version),
        # HTTP/1.0 has no interim responses; a client would take one for the
        # final response.
        version == b'1'
        and single.get(b'expect', b'').lower() == b'100-continue',
    )


def parse_header(line: bytes, limits: ConnectionLimits) -> tuple[bytes, bytes]:
    """Return the name in lower case and the value; raises `RefusedError`."""
    if len(line) + len(CRLF) > limits.header_max_bytes:
        raise RefusedError(Limit.HEADER, 'a header is too long')
    match = _HEADER.fullmatch(line)
    if match is None:
        raise RefusedError(Limit.MALFORMED, 'no header line')
    return match.group(1).lower(), match.group(2).strip(b' \t')


def _parse_request_line(line: bytes, limits: ConnectionLimits) -> bytes:
    """Return the minor version."""
    if len(line) + len(CRLF) > limits.request_line_max_bytes:
        raise RefusedError(Limit.REQUEST_LINE, 'the request line is too long')
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise RefusedError(Limit.MALFORMED, 'no request line')
    return match.group(1)


def _add_single(single: dict[bytes, bytes], name: bytes, text: bytes) -> None:
    if name in single:
        raise RefusedError(Limit.MALFORMED, 'a header is repeated')
    single[name] = text


def _parse_framing(single: dict[bytes, bytes], version: bytes) -> int | None:
    """Return the length of the body, `None` for a chunked one."""
    encoding = single.get(b'transfer-encoding')
    length = single.get(b'content-length')
    if encoding is None:
        return 0 if length is None else _parse_length(length)
    if length is not None or version == b'0':
        raise RefusedError(Limit.MALFORMED, 'length and transfer encoding')
    if encoding.lower() != b'chunked':
        raise RefusedError(Limit.UNKNOWN_ENCODING, 'unknown encoding')
    return None


def _parse_length(text: bytes) -> int:
    if not _LENGTH.fullmatch(text):
        raise RefusedError(Limit.MALFORMED, 'no length of a body')
    return int(text)
