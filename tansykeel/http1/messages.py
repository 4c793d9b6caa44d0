"""The messages of HTTP/1.1 that are read here, and what may be wrong with one."""

from __future__ import annotations

from dataclasses import dataclass

from tansykeel.errors import Problem

REQUEST_OVERHEAD, FIELD_OVERHEAD = 400, 100  # bytes of memory that a request, and a field, takes beside its text

Fields = dict[bytes, bytes]


class Malformed(Problem, ValueError):
    """A message of HTTP that can't be read, or could be read in two ways; `status` is what its client is told."""

    advice = "look at the client or the store that sent it; its connection has ended"

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a message. A reader keeps this and not the exception, whose traceback keeps what was read."""

    text: str
    status: int

    def error(self) -> Malformed:
        """Return a new exception that tells it."""
        return Malformed(self.text, self.status)


@dataclass(eq=False, slots=True)  # not frozen: that costs a call for each field
class Request:
    """A whole request."""

    method: bytes
    target: bytes
    fields: Fields  # names in lower case
    body: bytes
    received_at: int = 0  # when its last byte came, as the reader was told

    @property
    def keep_alive(self) -> bool:
        """Whether the client wants the connection to stay open after its answer."""
        return not _has_token(self.fields, b"connection", b"close")

    @property
    def overhead(self) -> int:
        """Bytes of memory that it takes beside its body and the values of its fields."""
        return REQUEST_OVERHEAD + FIELD_OVERHEAD * len(self.fields) + len(self.target)


@dataclass(eq=False, slots=True)
class Answer:
    """A whole answer."""

    status: int
    fields: Fields
    body: bytes

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after it."""
        return not _has_token(self.fields, b"connection", b"close")


def _has_token(fields: Fields, name: bytes, token: bytes) -> bool:
    """Whether a field that is a list of tokens has this one."""
    value = fields.get(name)
    return value is not None and token in [part.strip(b" \t") for part in value.lower().split(b",")]
