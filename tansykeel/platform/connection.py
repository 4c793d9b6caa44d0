"""One connection to a store: it carries one request at a time, and the transport never sends one twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansykeel.edge.clock import TICKS_PER_SECOND
from tansykeel.edge.tasks import Attempt
from tansykeel.http1 import codec
from tansykeel.http1.codec import AnswerReader, Malformed
from tansykeel.interface import How
from tansykeel.platform.event_counts import StoreConnectionEnd
from tansykeel.platform.intake import TaskRequest
from tansykeel.transport.sockets import address_of, open_socket
from tansykeel.transport.stream import Stream

# Seconds after its head in which a request's last byte has to be written: the head tells the time that is left, which
# may be over by 0.15 s, and a task's deadline is up to 0.1 s before its client's.
WRITE_WITHIN = 0.15
STALE_WITHIN = 0.02  # seconds after a request in which a kept connection that was dead already shows it


class ConnectionPool(Protocol):
    """What a connection tells the pool that it is part of."""

    def connected(self, connection: StoreConnection) -> None:
        """The connection came up."""

    def connect_failed(self, retry: bool) -> None:
        """A connection did not come up; `retry`: another one may be tried for the same attempt."""

    def answered_twice(self, lateness: float) -> None:
        """Bytes that belong to no request came, `lateness` seconds after a whole answer."""

    def released(self, connection: StoreConnection) -> None:
        """An answer is whole and the connection may carry another request."""

    def closed(self, connection: StoreConnection, reason: StoreConnectionEnd) -> None:
        """The connection was closed, by either side."""


class ConnectionGateway(Protocol):
    """What a connection asks of its gateway, and reports to it."""

    def now(self) -> float:
        """Return the time in seconds of the event loop's clock."""

    def after(self, seconds: float, call: Callable[[], None]) -> object:
        """Call later."""

    def answers_exceed_memory(self) -> bool:
        """Whether the answers held take more memory than they may."""

    def found_stale(self, idle_time: float) -> None:
        """A connection that idled for `idle_time` seconds was dead when it was used again."""

    def answered(self, attempt: Attempt, answer: codec.Answer) -> None:
        """A whole answer came."""

    def malformed(self, attempt: Attempt, why: str) -> None:
        """An answer that can't be read came."""

    def outcome(self, attempt: Attempt, how: How) -> None:
        """The attempt ended without an answer."""


class StoreConnection:
    """One connection to a store; raises OSError or ValueError where it can't begin to connect.

    `attempt` is the one whose answer is owed, `reader` takes that answer in.
    """

    __slots__ = (
        "pool",
        "gateway",
        "stream",
        "address",
        "reader",
        "attempt",
        "is_up",
        "has_answered",
        "idle_since",
        "idle_before_request",
        "sent_at",
        "connect_deadline",
    )

    def __init__(self, pool: ConnectionPool, gateway: ConnectionGateway, address: str, connect_within: float) -> None:
        self.pool, self.gateway, self.address = pool, gateway, address
        self.reader: AnswerReader | None = None
        self.attempt: Attempt | None = None
        self.is_up = False
        self.has_answered = False
        self.idle_since = gateway.now()
        self.connect_deadline = self.idle_since + connect_within
        self.idle_before_request = 0.0  # seconds before the last request
        self.sent_at = 0.0  # when the last request was written
        host = address_of(address)
        self.stream = Stream(open_socket(host), self._data_received, self._ended)
        try:
            self.stream.connect(host, self._connected)
        except OSError:
            self.stream.close()
            raise

    def send(self, attempt: Attempt, now: int) -> None:
        """Write the attempt's request; `now` by the core's clock."""
        wanted: TaskRequest = attempt.held.request
        request = wanted.request
        seconds_left = max(attempt.deadline - now, 0) / TICKS_PER_SECOND
        self.attempt = attempt
        attempt.connection = self
        self.reader = AnswerReader()
        self.sent_at = self.gateway.now()
        self.idle_before_request = self.sent_at - self.idle_since
        fields = b"X-Txn: %s\r\nX-Remaining: %.4f\r\n" % (request.fields[b"x-txn"], seconds_left)
        self.stream.write(codec.request(request.method, request.target, self.address.encode(), fields, request.body))
        if self.stream.unsent:
            self.gateway.after(WRITE_WITHIN, lambda: self._check_written(attempt))

    def has_written(self, attempt: Attempt) -> bool:
        """Whether the attempt's last byte was written, so that its store may begin it."""
        return self.attempt is not attempt or not self.stream.unsent

    def _check_written(self, attempt: Attempt) -> None:
        """Guards against a request that is whole at its store long after it was told how much time is left."""
        if self.has_written(attempt):
            return
        self.attempt = None
        self.close(StoreConnectionEnd.NOT_WRITTEN)
        self.gateway.outcome(attempt, How.NO_CONNECTION)

    def close(self, reason: StoreConnectionEnd) -> None:
        """Close the connection; an answer that is still owed is given up."""
        self.stream.close()
        self.pool.closed(self, reason)

    def _connected(self) -> None:
        self.is_up = True
        self.pool.connected(self)

    def _data_received(self, data: bytes) -> None:
        if self.reader is None or self.attempt is None or self.stream.unsent:
            # What comes unasked, or before the request is whole, belongs to no request that is open.
            if self.has_answered:
                self.pool.answered_twice(self.gateway.now() - self.idle_since)
            return self._give_up("bytes that answer nothing")
        self.reader.feed(data)
        if self.reader.size > codec.MOST_BODY and self.gateway.answers_exceed_memory():
            return self._give_up("no memory for an answer so large")
        try:
            answer = self.reader.next()
        except Malformed as error:
            return self._give_up(str(error))
        if answer is not None:
            self._answered(answer, reusable=self._reusable_after(answer))

    def _reusable_after(self, answer: codec.Answer) -> bool:
        """Whether nothing more is to be expected that a next request would take for its answer."""
        assert self.attempt is not None and self.reader is not None
        # Guards against a second answer of a store that was so late that the first was given up: where attempts may
        # not be cancelled, the connection outlives them.
        given_up = self.attempt.finished or self.attempt.held.answered
        return answer.lasts and not self.reader.behind and not given_up

    def _answered(self, answer: codec.Answer, reusable: bool) -> None:
        attempt, self.attempt = self.attempt, None
        self.reader = None
        self.has_answered = True
        if reusable:
            self.pool.released(self)
        else:
            self.close(StoreConnectionEnd.NOT_REUSABLE)
        if attempt:
            self.gateway.answered(attempt, answer)

    def _give_up(self, why: str) -> None:
        """End over bytes that can't be an answer: what was asked may have run."""
        attempt, self.attempt = self.attempt, None
        self.close(StoreConnectionEnd.UNREADABLE)
        if attempt:
            self.gateway.malformed(attempt, why)

    def _ended(self, why: str) -> None:
        # An answer without a length is whole at the orderly end of its connection, never at a reset.
        if self.stream.finished and self.attempt and self.reader and (answer := self.reader.end()):
            return self._answered(answer, reusable=False)
        attempt, self.attempt = self.attempt, None
        request_was_written = not self.stream.unsent
        self.close(StoreConnectionEnd.BY_STORE)
        if not self.is_up:
            self.pool.connect_failed(retry=True)
        elif attempt:
            self._report_broken(attempt, request_was_written)

    def _report_broken(self, attempt: Attempt, request_was_written: bool) -> None:
        nothing_came = self.reader is None or not self.reader.size
        if self.has_answered and nothing_came and self.gateway.now() - self.sent_at < STALE_WITHIN:
            self.gateway.found_stale(self.idle_before_request)
        if request_was_written:
            how = How.RESET
        elif self.has_answered:
            how = How.MOOT  # it never ran, and on a connection used before that says nothing of the store
        else:
            how = How.NO_CONNECTION
        self.gateway.outcome(attempt, how)
