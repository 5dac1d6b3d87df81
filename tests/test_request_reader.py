"""Random requests, whole and damaged, for the reader of requests."""

from dataclasses import dataclass
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiarill.connection_limits import ConnectionLimits
from fuchsiarill.reception.refusals import RefusedError
from fuchsiarill.reception.request_reader import RequestReader

_LIMITS: Final = ConnectionLimits(
    request_line_max_bytes=100,
    header_max_bytes=60,
    headers_max_bytes=200,
    headers_max_count=10,
    trailers_max_bytes=80,
    body_max_bytes=64,
    chunk_line_max_bytes=40,
    chunk_framing_max_bytes=400,
)
_NAMES: Final = (
    b'Accept',
    b'Content-Length',
    b'Transfer-Encoding',
    b'Host',
    b'X-A',
    b'x_a',
    b' X',
    b'',
)
_VALUES: Final = (b'5', b'0', b'chunked', b'h', b'', b'5, 5', b'a' * 70, b'\0')
_ENDS: Final = (b'\r\n', b'\n', b'\r', b'\r\n ', b'')


@dataclass(frozen=True, slots=True)
class Sent:
    """A valid request as a client sends it, and its body."""

    text: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Reading:
    """Requests that were read, and whether the rest was refused."""

    requests: tuple[bytes, ...]
    is_refused: bool


def _read(*pieces: bytes) -> Reading:
    """Read pieces as a listener does, one request after the other."""
    reader = RequestReader(lambda: _LIMITS)
    requests = []
    try:
        for piece in pieces:
            reader.feed(piece)
            while reader.is_complete:
                requests.append(reader.take())
                reader.feed(b'')
            held_max_bytes = _LIMITS.head_max_bytes + _LIMITS.body_max_bytes
            assert reader.held_bytes <= held_max_bytes + len(piece)
    except RefusedError:
        return Reading(tuple(requests), is_refused=True)
    return Reading(tuple(requests), is_refused=False)


def _split(text: bytes, places: list[int]) -> list[bytes]:
    ends = sorted(place % (len(text) + 1) for place in places)
    pairs = zip([0, *ends], [*ends, len(text)], strict=True)
    return [text[start:end] for start, end in pairs]


@st.composite
def _valid_requests(draw: st.DrawFn) -> Sent:
    head = b'POST /%d HTTP/1.1\r\nHost: h\r\n' % draw(st.integers(0, 9))
    body = draw(st.binary(max_size=30))
    if draw(st.booleans()):
        text = b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)
        return Sent(text, body)
    places = draw(st.lists(st.integers(0, 30), max_size=3))
    extension = draw(st.sampled_from((b'', b';a', b' ; a="b"')))
    chunks = b''.join(
        b'%x%s\r\n%s\r\n' % (len(chunk), extension, chunk)
        for chunk in _split(body, places)
        if chunk
    )
    trailers = draw(st.sampled_from((b'', b'X-Sum: a\r\n', b'A: b\r\nC:\r\n')))
    text = b'%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n%s\r\n'
    return Sent(text % (head, chunks, trailers), body)


@st.composite
def _odd_texts(draw: st.DrawFn) -> bytes:
    """Build a head of odd lines, then bytes that may be a body or chunks."""
    lines = draw(
        st.lists(
            st.tuples(
                st.sampled_from(_NAMES),
                st.sampled_from((b': ', b':', b' : ', b'')),
                st.sampled_from(_VALUES),
                st.sampled_from(_ENDS),
            ),
            max_size=12,
        ),
    )
    start = draw(
        st.sampled_from(
            (
                b'POST /a HTTP/1.1\r\n',
                b'GET //[ HTTP/1.0\r\n',
                b'\r\n',
                b'A\r\n',
            ),
        ),
    )
    rest = draw(
        st.lists(
            st.sampled_from(
                (
                    b'5\r\n',
                    b'hello',
                    b'\r\n',
                    b'0\r\n',
                    b'-1',
                    b';x',
                    b'GET / ',
                ),
            ),
        ),
    )
    return b''.join((start, *map(b''.join, lines), b'\r\n', *rest))


_PLACES: Final = st.lists(st.integers(0, 2_000), max_size=6)


@settings(max_examples=200, deadline=None)
@given(st.lists(_valid_requests(), min_size=1, max_size=4), _PLACES)
def test_valid_requests_are_read(sent: list[Sent], places: list[int]) -> None:
    """Guards against a valid request that is refused, joined or cut."""
    text = b''.join(request.text for request in sent)
    reading = _read(*_split(text, places))
    assert not reading.is_refused
    assert len(reading.requests) == len(sent)
    for request, valid in zip(reading.requests, sent, strict=True):
        head, _, body = request.partition(b'\r\n\r\n')
        assert body == valid.body
        assert b'chunked' not in head
        assert head.count(b'Content-Length') == bool(body)
        # What is handed on can be read in one way only.
        assert _read(request) == Reading((request,), is_refused=False)


@settings(max_examples=200, deadline=None)
@given(_valid_requests(), st.data())
def test_damaged_requests(valid: Sent, drawn: st.DataObject) -> None:
    """Guards against a truncated request that is taken for a whole one."""
    cut = drawn.draw(st.integers(0, len(valid.text) - 1))
    reading = _read(valid.text[:cut])
    assert not reading.requests
    repeated = valid.text.replace(b'Host: h\r\n', b'Host: h\r\nHost: h\r\n')
    assert _read(repeated) == Reading((), is_refused=True)
    both = valid.text.replace(
        b'\r\nHost: h', b'\r\nHost: h\r\nContent-Length: 1'
    )
    both = both.replace(
        b'\r\nHost: h', b'\r\nHost: h\r\nTransfer-Encoding: chunked'
    )
    assert _read(both) == Reading((), is_refused=True)
    oversized = valid.text.replace(b'Host: h', b'Host: %s' % (b'h' * 70))
    assert _read(oversized) == Reading((), is_refused=True)


@settings(max_examples=400, deadline=None)
@given(st.one_of(st.binary(max_size=600), _odd_texts()), _PLACES)
def test_pieces_do_not_matter(text: bytes, places: list[int]) -> None:
    """Guards against requests that depend on how the network divides them."""
    whole = _read(text)
    assert _read(*_split(text, places)) == whole
    for request in whole.requests:
        assert _read(request) == Reading((request,), is_refused=False)


@settings(max_examples=100, deadline=None)
@given(
    st.sampled_from(
        (
            (b'GET /', b'a'),
            (b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
            (b'GET / HTTP/1.1\r\nA: ', b'b'),
            (
                b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
                b'1\r\na\r\n',
            ),
            (b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;', b'a'),
            (
                b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
                b'A: b\r\n',
            ),
        ),
    ),
    st.integers(1, 300),
)
def test_no_part_is_without_end(parts: tuple[bytes, bytes], size: int) -> None:
    """Guards against a part of a request that is read without a limit."""
    start, repeated = parts
    text = start + repeated * 400
    assert _read(*_split(text, list(range(0, len(text), size)))).is_refused
