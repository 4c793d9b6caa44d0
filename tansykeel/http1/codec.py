"""Reads requests and answers of HTTP/1.1 (RFC 9112), strictly: what could be read in two ways is refused.

A reader is fed bytes as they come and gives whole messages, bodies included, within named bounds. Both lengths and
chunks are understood; never both in one message. Own code and no library: readers that are lenient about line ends,
repeated lengths or bytes behind a message hide where it ended, and here that decides whether a connection is used on.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_HEAD = 8 << 10  # bytes of a start line and its fields
MOST_BODY = 64 << 10  # bytes of a request's body
MOST_ANSWER = 1 << 20  # bytes of an answer's: stores send more than they are said to
MOST_INTERIM = 8  # 1xx answers ahead of one
MOST_CHUNK_LINE = 64  # bytes of a chunk's size line
END = b"\r\n\r\n"

_ILL = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n")
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_REQUEST = re.compile(rb"([A-Z]{1,16}) (/[!-~]*) HTTP/(1\.[01])")
_STATUS = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?")
_ONCE = frozenset((b"content-length", b"transfer-encoding", b"host"))

Fields = dict[bytes, bytes]


class Malformed(ValueError):
    """A message that can't be read; `status` is what a client that sent it is told."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(eq=False, slots=True)  # not frozen: that costs a call for each field
class Request:
    method: bytes
    target: bytes
    fields: Fields  # names in lower case
    body: bytes

    @property
    def lasts(self) -> bool:
        """Whether the client wants the connection to stay open after its answer."""
        return not _says(self.fields, b"connection", b"close")


@dataclass(eq=False, slots=True)
class Answer:
    status: int
    fields: Fields
    body: bytes

    @property
    def lasts(self) -> bool:
        """Whether the connection stays open after it."""
        return not _says(self.fields, b"connection", b"close")


def _says(fields: Fields, name: bytes, word: bytes) -> bool:
    value = fields.get(name)
    return value is not None and word in [part.strip(b" \t") for part in value.lower().split(b",")]


def _head(data: bytes) -> tuple[bytes, Fields]:
    """Start line and fields of a head without its empty line. Raises Malformed."""
    if _ILL.search(data):
        raise Malformed("a head with bare line ends or control characters")
    lines = data.split(b"\r\n")
    fields: Fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise Malformed("a field line that is not 'name: value'")
        name = name.lower()
        if name not in fields:
            fields[name] = value.strip(b" \t")
        elif name in _ONCE:
            raise Malformed(f"field {name.decode()} comes twice")
        else:
            fields[name] += b", " + value.strip(b" \t")
    return lines[0], fields


def _length(fields: Fields, most: int) -> int | None:
    """Bytes of the body; None: it comes in chunks. Raises Malformed where the framing can't be sure."""
    length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if coding is not None:
        if length is not None:
            raise Malformed("both content-length and transfer-encoding")
        if coding.lower() != b"chunked":
            raise Malformed("a transfer-encoding other than chunked", 501)
        return None
    if length is None:
        return 0
    if not _LENGTH.fullmatch(length):
        raise Malformed("a content-length that is no number")
    if int(length) > most:
        raise Malformed(f"a body of {int(length)} bytes; legal: {most} at most", 413)
    return int(length)


class Chunks:
    """A body in chunks, taken off the front of a buffer. `ended` once its last one and the trailers are gone."""

    def __init__(self) -> None:
        self.ended = False
        self._left, self._behind, self._trailers = 0, False, False

    def take(self, buffer: bytearray) -> bytes:
        """What there is of the body by now. Raises Malformed."""
        out = bytearray()
        while buffer and not self.ended:
            if self._left:
                part = buffer[:self._left]
                out += part
                del buffer[:len(part)]
                self._left -= len(part)
                self._behind = not self._left
                continue
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > (MOST_HEAD if self._trailers else MOST_CHUNK_LINE):
                    raise Malformed("a chunk's line without end")
                break
            line = bytes(buffer[:end])
            if self._behind:
                if line:
                    raise Malformed("a chunk longer than it said")
                self._behind = False
            elif self._trailers:
                if not line:
                    self.ended = True
                elif _ILL.search(line) or b":" not in line:
                    raise Malformed("a trailer that is not 'name: value'")
            elif size := _CHUNK.fullmatch(line):
                self._left = int(size[1], 16)
                self._trailers = not self._left
            else:
                raise Malformed("a chunk's size that is no number")
            del buffer[:end + 2]
        return bytes(out)


class _Reader:
    """What both readers share: the head, then the body by length or in chunks."""

    most = MOST_BODY

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._scanned = 0
        self._line = b""
        self._fields: Fields | None = None  # of the message whose body is coming
        self._length: int | None = 0
        self._chunks = Chunks()
        self._body = bytearray()

    @property
    def size(self) -> int:
        """Bytes held of what is not whole."""
        return len(self.buffer) + len(self._body)

    @property
    def partial(self) -> bool:
        """Whether a message has begun and is not whole."""
        return self._fields is not None or bool(self.buffer)

    def _next_head(self) -> bool:
        buffer = self.buffer
        end = buffer.find(END, max(self._scanned - 3, 0))
        if end > MOST_HEAD or (end < 0 and len(buffer) > MOST_HEAD):
            raise Malformed(f"a head of more than {MOST_HEAD} bytes", 431)
        if end < 0:
            self._scanned = len(buffer)
            return False
        self._line, self._fields = _head(bytes(buffer[:end]))
        del buffer[:end + 4]
        self._scanned = 0
        return True

    def _whole_body(self) -> bytes | None:
        """The body once all of it is here."""
        if self._length is not None:
            if len(self.buffer) < self._length:
                return None
            body = bytes(self.buffer[:self._length])
            del self.buffer[:self._length]
            return body
        self._body += self._chunks.take(self.buffer)
        if len(self._body) > self.most:
            raise Malformed(f"a body of more than {self.most} bytes", 413)
        if not self._chunks.ended:
            return None
        body, self._body, self._chunks = bytes(self._body), bytearray(), Chunks()
        return body


class RequestReader(_Reader):
    """Requests of one connection. Not to be used on after it has raised."""

    def next(self) -> Request | None:
        """The next request that is whole. Raises Malformed."""
        if self._fields is None:
            while self.buffer.startswith(b"\r\n"):  # RFC 9112, 2.2: empty lines ahead of a request are let go
                del self.buffer[:2]
            if not self._next_head():
                return None
            self._check()
        body = self._whole_body()
        if body is None:
            return None
        start, fields, self._fields = _REQUEST.fullmatch(self._line), self._fields, None
        assert start is not None and fields is not None
        return Request(start[1], start[2], fields, body)

    def _check(self) -> None:
        fields = self._fields
        assert fields is not None
        start = _REQUEST.fullmatch(self._line)
        if start is None:
            raise Malformed("a request line that is not 'METHOD /path HTTP/1.1'")
        if start[3] != b"1.1":
            raise Malformed("a version other than HTTP/1.1", 505)
        if b"host" not in fields:
            raise Malformed("no host")
        if b"expect" in fields:
            raise Malformed("an expectation", 417)
        self._length = _length(fields, self.most)


class AnswerReader(_Reader):
    """The answer to one request; what is left in `buffer` after it does not belong to it."""

    most = MOST_ANSWER

    def __init__(self) -> None:
        super().__init__()
        self._interim = 0

    def next(self) -> Answer | None:
        """The answer once it is whole. Raises Malformed. One without a length can't be known to be whole."""
        while self._fields is None:
            if not self._next_head():
                return None
            status = self._status()
            if status >= 200:
                self._length = self._framing(status)
            elif status == 101 or self._interim >= MOST_INTERIM:
                raise Malformed("too many answers ahead of the last one, or another protocol")
            else:
                self._interim += 1
                self._fields = None
        body = self._whole_body()
        if body is None:
            return None
        fields, self._fields = self._fields, None
        return Answer(self._status(), fields, body)

    def stream(self) -> tuple[int, bytes] | None:
        """Status and the next part of a body in chunks that need not end; None before its head. Raises Malformed."""
        if self._fields is None:
            if not self._next_head():
                return None
            if _length(self._fields or {}, self.most) is not None:
                raise Malformed("a stream that does not come in chunks")
        return self._status(), self._chunks.take(self.buffer)

    @property
    def stream_ended(self) -> bool:
        return self._chunks.ended

    def _status(self) -> int:
        status = _STATUS.fullmatch(self._line)
        if status is None:
            raise Malformed("a status line that is not 'HTTP/1.1 200 ...'")
        return int(status[1])

    def _framing(self, status: int) -> int | None:
        fields = self._fields or {}
        if status in (204, 304):
            return 0
        if b"content-length" not in fields and b"transfer-encoding" not in fields:
            raise Malformed("an answer without a length")
        return _length(fields, self.most)


REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 417: b"Expectation Failed", 431: b"Request Header Fields Too Large",
    500: b"Internal Server Error", 501: b"Not Implemented", 503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}


def answer(status: int, body: bytes = b"", *, last: bool = False, retry_after: bytes = b"") -> bytes:
    """An answer's bytes; `last` says that the connection ends after it."""
    return b"".join((
        b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body)),
        b"Retry-After: %s\r\n" % retry_after if retry_after else b"",
        b"Connection: close\r\n\r\n" if last else b"\r\n", body))


def request(method: bytes, target: bytes, host: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    """A request's bytes; `fields` are whole field lines."""
    length = b"Content-Length: %d\r\n" % len(body) if body or method != b"GET" else b""
    return b"%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n%s" % (method, target, host, fields, length, body)
