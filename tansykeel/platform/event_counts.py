"""Counts by cause of closed connections, repeated attempts and rejected requests, and a trace of these events. No I/O.

With a trace a request can be followed by its id from its arrival to its answer. It writes one log line per event and is
off unless the environment has `TANSYKEEL_TRACE=1`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum


class ClientEnd(Enum):
    """Why a client's connection ended. The values are logged."""

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
    """Why a connection to a store ended. The values are logged."""

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
    """Counts of events by cause. `log(event, **fields)` writes the trace; None: no trace is written."""

    def __init__(self, log: Callable[..., None] | None = None) -> None:
        self.log = log
        self.client_ends = Counter[str]()
        self.store_connection_ends = Counter[str]()
        self.retries = Counter[str]()  # by the outcome of the attempt before it
        self.rejections = Counter[str]()  # answers that are not a store's, by cause

    def client_ended(self, end: ClientEnd, request_count: int) -> None:
        """Count a client's connection that was closed after that many requests."""
        self.client_ends[end.value] += 1
        self.trace("client ended", why=end.value, requests=request_count)

    def store_connection_ended(self, end: StoreConnectionEnd, store: str, request: bytes | None) -> None:
        """Count a connection to a store that was closed; `request`: the id of its open request, if it had one."""
        self.store_connection_ends[end.value] += 1
        self.trace("store connection ended", why=end.value, store=store, id=request)

    def attempt_sent(self, request: bytes, number: int, store: str, outcome_before: str) -> None:
        """Count an attempt that is to be sent, as a retry if it is not the first. `outcome_before`: of the one before
        it."""
        if number:
            self.retries[outcome_before] += 1
        self.trace("attempt", id=request, number=number, store=store, after=outcome_before)

    def rejected(self, request: bytes, cause: str) -> None:
        """Count a request whose answer is not a store's."""
        self.rejections[cause] += 1
        self.trace("rejected", id=request, cause=cause)

    def trace(self, event: str, **fields: object) -> None:
        """Write an event to the trace, if one is written."""
        if self.log:
            self.log(event, **fields)
