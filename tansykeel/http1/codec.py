"""Reads requests and answers of HTTP/1.1 (RFC 9112) with httptools (llhttp, strict), and checks what that lets pass.

llhttp refuses what could be read in two ways: two lengths, a length beside chunks, bare line ends, folded lines or
control characters. What is left to check is small and named: bounds, versions, a host, codings other than chunked,
and whether bytes came behind an answer. A reader is fed bytes as they come and gives whole messages, bodies included.
"""

from __future__ import annotations

import re
from collections import deque
from typing import Any

import httptools

from tansykeel.http1.messages import FIELD_OVERHEAD, Answer, Fault, Fields, Malformed, Request

MOST_HEAD = 8 << 10  # bytes of a start line and its fields
MOST_BODY = 64 << 10  # bytes of a request's body
MOST_ANSWER = 1 << 20  # bytes of an answer's: stores send more than they are said to
BLOCK = 16 << 10  # bytes of a body from which the next ones go to another block
FIELD_SEPARATORS = 4  # bytes of a field's line beside its name and value
FEED_SIZE = MOST_HEAD  # bytes parsed before the bounds are checked again
MOST_INTERIM = 8  # 1xx answers ahead of one
MAX_WIRE_RATIO = 8  # times a body's bound that its chunks, their lines and trailers may take on the wire

_TARGET = re.compile(rb"/[!-~]*")
_ONCE = frozenset((b"content-length", b"transfer-encoding", b"host"))


class _Reader:
    """What all readers share: the library's callbacks, the bounds, and messages that are whole and not fetched yet.

    A reader and its parser refer to each other. `close` ends that, so that they go at once, and not at the next garbage
    collection.
    """

    most = MOST_BODY

    def __init__(self, parser: type) -> None:
        self.fault: Fault | None = None
        self.partial = False  # whether a message has begun and is not whole
        self._parser: Any = parser(self)  # None once nothing more is read
        self._fields: Fields = {}
        # The body that is coming, in blocks: an object for each chunk takes many times its bytes, one buffer moves.
        self._blocks: list[bytearray] = []
        self._blocks_size = 0
        self._block = bytearray()  # the last one, which grows
        self._head = True  # whether the head is still coming
        self._wire = 0  # bytes that came of the message that is coming
        self._fields_size = 0  # bytes of all names and values of its fields

    @property
    def size(self) -> int:
        """Bytes held of what is not whole."""
        return self._blocks_size + len(self._block) + (self._wire if self._head else 0)

    @property
    def memory(self) -> int:
        """Bytes of memory that is taken: of many short fields or requests far more than their size."""
        return self.size + FIELD_OVERHEAD * len(self._fields)

    def feed(self, data: bytes) -> None:
        """Take bytes in. What is wrong with them is raised once all that was whole before has been fetched."""
        for start in range(0, len(data), FEED_SIZE):
            if self._parser is None:
                return
            self._feed_part(data[start : start + FEED_SIZE])

    def _feed_part(self, data: bytes) -> None:
        """Take a part of what has come, after which the bounds are checked."""
        self._wire += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fault = Fault("another protocol", 501)
        except httptools.HttpParserError as error:
            # Raised by the library, or by a callback that has set the fault.
            self.fault = self.fault or Fault(str(error), 400)
        if self.fault is None and self._wire > (MOST_HEAD if self._head else MAX_WIRE_RATIO * self.most + MOST_HEAD):
            # Guards against a head without end, and chunks that are all lines: the library has no bound.
            self.fault = (
                Fault(f"a head of more than {MOST_HEAD} bytes", 431)
                if self._head
                else Fault("a body in chunks that hold next to nothing", 413)
            )
        if self.fault is not None:
            self._release()

    def close(self) -> None:
        """Read nothing more and let go of what is held."""
        self._release()

    def _release(self) -> None:
        """Let go of the parser and of the message that is coming."""
        self._parser = None
        self._fields, self._wire = {}, 0
        self._take_body()

    # What the library calls

    def on_message_begin(self) -> None:
        self.partial, self._head = True, True
        self._fields, self._fields_size = {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head:  # a trailer
            return
        self._fields_size += len(name) + len(value) + FIELD_SEPARATORS
        if self._fields_size > MOST_HEAD:
            raise self._refused(f"a head of more than {MOST_HEAD} bytes", 431)
        name = name.lower()
        if name not in self._fields:
            self._fields[name] = value.rstrip(b" \t")
        elif name in _ONCE:
            raise self._refused(f"field {name.decode()} comes twice")
        else:
            self._fields[name] += b", " + value.rstrip(b" \t")

    def on_headers_complete(self) -> None:
        self._head = False
        fields = self._fields
        if fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise self._refused("a transfer-encoding other than chunked", 501)
        if int(fields.get(b"content-length", b"0")) > self.most:
            raise self._refused(f"a body of more than {self.most} bytes", 413)
        self._check()

    def on_body(self, data: bytes) -> None:
        self._block += data
        size = len(self._block)
        if self._blocks_size + size > self.most:
            raise self._refused(f"a body of more than {self.most} bytes", 413)
        if size >= BLOCK:
            self._blocks.append(self._block)
            self._blocks_size += size
            self._block = bytearray()

    def on_message_complete(self) -> None:
        self.partial = False
        self._whole(self._take_body())
        self._fields, self._wire = {}, 0

    def _take_body(self) -> bytes:
        """Return the bytes of the body that came so far, and let go of them."""
        body = b"".join((*self._blocks, self._block))
        self._blocks, self._blocks_size, self._block = [], 0, bytearray()
        return body

    # What the kinds differ in

    def _check(self) -> None:
        raise NotImplementedError

    def _whole(self, body: bytes) -> None:
        raise NotImplementedError

    def _refused(self, text: str, status: int = 400) -> Malformed:
        self.fault = Fault(text, status)
        return self.fault.error()


class RequestReader(_Reader):
    """Requests of one connection. Not to be used on after it has raised."""

    def __init__(self) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._target = b""
        self._ready: deque[tuple[Request, int]] = deque()
        self._waiting = self._overhead = 0  # bytes of requests that are whole, and what they take beside these
        self._received_at = 0

    @property
    def size(self) -> int:
        """Bytes held of what is not whole, or was not fetched."""
        return super().size + self._waiting

    @property
    def memory(self) -> int:
        """Bytes of memory that is taken, by requests that were not fetched too."""
        return super().memory + self._overhead

    @property
    def waits(self) -> bool:
        """Whether `next` has something to tell."""
        return bool(self._ready) or self.fault is not None

    def feed(self, data: bytes, received_at: int = 0) -> None:
        """Take bytes in that came at that time: requests that are whole with them carry it."""
        self._received_at = received_at
        super().feed(data)

    def next(self) -> Request | None:
        """The next request that is whole. Raises Malformed."""
        if self._ready:
            request, size = self._ready.popleft()
            self._waiting -= size
            self._overhead -= request.overhead
            return request
        if self.fault is not None:
            raise self.fault.error()
        return None

    def close(self) -> None:
        """Read nothing more and let go of what is held, requests that are whole included."""
        super().close()
        self._ready.clear()
        self._waiting = self._overhead = 0

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def _check(self) -> None:
        if self._parser.get_http_version() != "1.1":
            raise self._refused("a version other than HTTP/1.1", 505)
        if not _TARGET.fullmatch(self._target):
            raise self._refused("a request line that is not 'METHOD /path HTTP/1.1'")
        if b"host" not in self._fields:
            raise self._refused("no host")
        if b"expect" in self._fields:
            raise self._refused("an expectation", 417)

    def _whole(self, body: bytes) -> None:
        size = len(body) + sum(map(len, self._fields.values()))
        method = self._parser.get_method()
        request = Request(method, self._target, self._fields, body, self._received_at)
        self._ready.append((request, size))
        self._waiting += size
        self._overhead += request.overhead


class AnswerReader(_Reader):
    """The answer to one request."""

    most = MOST_ANSWER

    def __init__(self) -> None:
        super().__init__(httptools.HttpResponseParser)
        self._interim = 0
        self._answer: Answer | None = None
        self._until_end = False  # without a length: its body runs to the end of the connection (RFC 9112, 6.3)

    @property
    def has_extra_bytes(self) -> bool:
        """Whether bytes came behind the answer, which do not belong to it."""
        return self._answer is not None and (self.partial or self.fault is not None)

    def next(self) -> Answer | None:
        """The answer once it is whole. Raises Malformed. One without a length is whole at `end` only."""
        if self._answer is None and self.fault is not None:
            raise self.fault.error()
        return self._answer

    def end(self) -> Answer | None:
        """The connection ended in order, by no reset: what ran until then is whole with it."""
        if self._until_end and self.fault is None:
            self._until_end = False
            self.on_message_complete()
        return self._answer

    def on_message_begin(self) -> None:
        if self._answer is not None:
            raise self._refused("bytes behind an answer")
        super().on_message_begin()

    def _check(self) -> None:
        status = self._parser.get_status_code()
        if self._parser.get_http_version() != "1.1" or not 100 <= status < 600:
            raise self._refused("a status line that is not 'HTTP/1.1 200 ...'")
        lengths = self._fields.keys() & {b"content-length", b"transfer-encoding"}
        self._until_end = status >= 200 and status not in (204, 304) and not lengths

    def _whole(self, body: bytes) -> None:
        status = self._parser.get_status_code()
        if status >= 200:
            self._answer = Answer(status, self._fields, body)
        elif self._interim >= MOST_INTERIM:
            raise self._refused("too many answers ahead of the last one")
        else:
            self._interim += 1


class StreamReader(_Reader):
    """An answer in chunks that need not end; `ended` once it has."""

    def __init__(self) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.ended = False

    def take(self) -> tuple[int, bytes] | None:
        """Status and what came of the body since; None before its head. Raises Malformed."""
        if self.fault is not None:
            raise self.fault.error()
        if self._head:
            return None
        self._wire = 0
        return self._parser.get_status_code(), self._take_body()

    def on_body(self, data: bytes) -> None:
        self._block += data

    def _check(self) -> None:
        if b"transfer-encoding" not in self._fields:
            raise self._refused("a stream that does not come in chunks")

    def on_message_complete(self) -> None:
        self.ended = True


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}


def answer(status: int, body: bytes = b"", *, last: bool = False, retry_after: bytes = b"") -> bytes:
    """An answer's bytes; `last` says that the connection ends after it."""
    return b"".join(
        (
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body)),
            b"Retry-After: %s\r\n" % retry_after if retry_after else b"",
            b"Connection: close\r\n\r\n" if last else b"\r\n",
            body,
        )
    )


def request(method: bytes, target: bytes, host: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    """A request's bytes; `fields` are whole field lines."""
    length = b"Content-Length: %d\r\n" % len(body) if body or method != b"GET" else b""
    return b"%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n%s" % (method, target, host, fields, length, body)
