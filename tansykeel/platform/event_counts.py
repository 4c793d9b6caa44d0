"""Why connections were closed, attempts repeated and requests rejected: counts, and lines for a trace. No I/O.

With a trace each request can be followed by its id through all that becomes of it; it costs a line an event and is off
unless the environment has `TANSYKEEL_TRACE=1`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum


class ClientEnd(Enum):
    """Why a client's connection ended."""

    BY_CLIENT = "the client ended it"
    BROKEN = "it broke"
    LAST_ANSWER = "its last answer was given"
    REJECTED = "it was told an error"
    IDLE = "it idled"
    STALLED = "it took nothing of its answer"
    SLOW = "it took too long over its answer"
    ROOM = "room was needed"
    GATEWAY_ENDS = "the gateway ends"


class StoreConnectionEnd(Enum):
    """Why a connection to a store ended."""

    BY_STORE = "the store ended it, or it broke"
    NOT_UP = "it did not come up in time"
    IDLE = "it idled"
    ROOM = "room was needed"
    MOVED = "its store has another address or is gone"
    GIVEN_UP = "its attempt was cancelled or timed out"
    NOT_WRITTEN = "its request was not written in time"
    NOT_REUSABLE = "nothing may follow its answer"
    UNREADABLE = "what came is no answer"
    ABANDONED = "its answer has no end"


class EventCounts:
    """Counts by reason. `note(event, **fields)` writes the trace; None: there is none."""

    def __init__(self, note: Callable[..., None] | None = None) -> None:
        self.note = note
        self.client_ends = Counter[str]()
        self.store_connection_ends = Counter[str]()
        self.retries = Counter[str]()  # by the outcome of the attempt before
        self.rejections = Counter[str]()  # answers other than a store's, by cause

    def client_ended(self, end: ClientEnd, had_asked: int) -> None:
        """A client's connection was closed after so many requests."""
        self.client_ends[end.value] += 1
        self.trace("client ended", why=end.value, requests=had_asked)

    def store_connection_ended(self, end: StoreConnectionEnd, store: str, request: bytes | None) -> None:
        """A connection to a store was closed; `request`: the id of the one whose answer it owed."""
        self.store_connection_ends[end.value] += 1
        self.trace("store connection ended", why=end.value, store=store, id=request)

    def attempt_sent(self, request: bytes, number: int, store: str, outcome_before: str) -> None:
        """An attempt was decided on; `outcome_before`: of the attempt before it."""
        if number:
            self.retries[outcome_before] += 1
        self.trace("attempt", id=request, number=number, store=store, after=outcome_before)

    def rejected(self, request: bytes, cause: str) -> None:
        """A request was answered otherwise than by a store."""
        self.rejections[cause] += 1
        self.trace("rejected", id=request, cause=cause)

    def trace(self, event: str, **fields: object) -> None:
        """Write a line of the trace, if there is one."""
        if self.note:
            self.note(event, **fields)
