"""One connection to a store: it carries one request at a time, and no request is sent twice at this level."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansykeel.edge.clock import TICKS_PER_SECOND
from tansykeel.edge.tasks import Attempt
from tansykeel.http1 import codec
from tansykeel.http1.codec import AnswerReader
from tansykeel.http1.messages import Answer, Malformed
from tansykeel.interface import OutcomeKind
from tansykeel.platform.event_counts import StoreConnectionEnd
from tansykeel.platform.intake import TaskRequest
from tansykeel.platform.read_queue import ReadQueue
from tansykeel.transport.sockets import address_of, open_socket
from tansykeel.transport.stream import Stream

# Seconds after its head within which a request's last byte has to be written. The head states the time left, which may
# be up to 0.15 s too long when the last byte arrives; a task's deadline is up to 0.1 s before its client's.
WRITE_WITHIN = 0.15
ANSWER_READ = 16 << 10  # bytes of an answer that are read at once
STALE_WINDOW = 0.02  # seconds after a request within which the failure of a reused connection means that it was stale


class ConnectionPool(Protocol):
    """The events that a connection reports to its pool."""

    def connected(self, connection: StoreConnection) -> None:
        """Handle that the connection was established."""

    def connect_failed(self, retry: bool) -> None:
        """Handle a failed connect; with `retry`, another one may be tried for the same attempt."""

    def answered_twice(self, lateness: float) -> None:
        """Handle bytes that belong to no request and arrived `lateness` seconds after a complete answer."""

    def released(self, connection: StoreConnection) -> None:
        """Handle that an answer is complete and the connection may be reused."""

    def closed(self, connection: StoreConnection, reason: StoreConnectionEnd) -> None:
        """Handle that the connection was closed, by either side."""


class ConnectionGateway(Protocol):
    """What a connection needs from `Stores`, and the events that it reports to it."""

    read_queue: ReadQueue  # for long answers
    incomplete_bytes: int  # memory of all answers that are incomplete

    def now(self) -> float:
        """Return the time of the event loop's clock, in seconds."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> object:
        """Call after a delay."""

    def answers_exceed_memory(self) -> bool:
        """Whether the answers in memory exceed their limit."""

    def stale_connection_found(self, idle_time: float) -> None:
        """Handle that a connection turned out to be dead when it was reused after `idle_time` seconds idle."""

    def answer_received(self, attempt: Attempt, answer: Answer) -> None:
        """Handle a complete answer."""

    def malformed_answer_received(self, attempt: Attempt, why: str) -> None:
        """Handle an answer that can't be parsed."""

    def record_outcome(self, attempt: Attempt, how: OutcomeKind) -> None:
        """Report the outcome of an attempt that ended without an answer."""


class StoreConnection:
    """One connection to a store.

    `attempt` is the attempt whose answer is pending, `reader` parses that answer. The constructor raises OSError or
    ValueError if the connect can't be started.
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
        "_reads_in_turn",
        "_counted_memory",
    )

    def __init__(self, pool: ConnectionPool, gateway: ConnectionGateway, address: str, connect_timeout: float) -> None:
        self.pool, self.gateway, self.address = pool, gateway, address
        self.reader: AnswerReader | None = None
        self.attempt: Attempt | None = None
        self.is_up = False
        self.has_answered = False
        self.idle_since = gateway.now()
        self.connect_deadline = self.idle_since + connect_timeout
        self.idle_before_request = 0.0  # how many seconds it was idle before the last request
        self.sent_at = 0.0  # when the last request was passed to the stream
        host = address_of(address)
        self._reads_in_turn = False  # whether more of a pending answer is coming: it is read in turn with others
        self._counted_memory = 0  # of its reader, as counted in the sum over all connections
        self.stream = Stream(open_socket(host), self._on_data, self._on_end)
        self.stream.read_size, self.stream.defers_read = ANSWER_READ, self._defers_read
        try:
            self.stream.connect(host, self._on_connected)
        except OSError:
            self.stream.close()
            raise

    def send(self, attempt: Attempt, now: int) -> None:
        """Write the attempt's request; `now` is the time of the core's clock."""
        wanted: TaskRequest = attempt.held.request
        request = wanted.request
        seconds_left = max(attempt.deadline - now, 0) / TICKS_PER_SECOND
        self.attempt = attempt
        attempt.connection = self
        self.reader = AnswerReader()
        self._reads_in_turn = False
        self.sent_at = self.gateway.now()
        self.idle_before_request = self.sent_at - self.idle_since
        fields = b"X-Txn: %s\r\nX-Remaining: %.4f\r\n" % (request.fields[b"x-txn"], seconds_left)
        self.stream.write(codec.request(request.method, request.target, self.address.encode(), fields, request.body))
        if self.stream.unsent:
            self.gateway.call_later(WRITE_WITHIN, lambda: self._check_written(attempt))

    def has_written(self, attempt: Attempt) -> bool:
        """Whether the attempt's last byte was written, so that the store may have begun it."""
        return self.attempt is not attempt or not self.stream.unsent

    def _check_written(self, attempt: Attempt) -> None:
        """Close the connection if the attempt is still not fully written.

        By the time its last byte arrived, less time would be left than its head states.
        """
        if self.has_written(attempt):
            return
        self.attempt = None
        self.close(StoreConnectionEnd.NOT_WRITTEN)
        self.gateway.record_outcome(attempt, OutcomeKind.NO_CONNECTION)

    def close(self, reason: StoreConnectionEnd) -> None:
        """Close the connection; a pending answer is given up."""
        self.stream.close()
        self.stream.forget_unsent()
        self._close_reader()
        self.pool.closed(self, reason)

    def _close_reader(self) -> None:
        """Let go of the reader and of what it holds."""
        if self.reader:
            self.reader.close()
        self.reader = None
        self._count_memory(0)

    def _count_memory(self, memory: int) -> None:
        """Count the reader's memory in the sum over all connections."""
        self.gateway.incomplete_bytes += memory - self._counted_memory
        self._counted_memory = memory

    def _on_connected(self) -> None:
        self.is_up = True
        self.pool.connected(self)

    def _defers_read(self) -> bool:
        """Have more of a long answer read in turn with those of other connections."""
        if self._reads_in_turn:
            self.gateway.read_queue.add(self.stream.read_now)
        return self._reads_in_turn

    def _on_data(self, data: bytes) -> None:
        """Parse received data as part of the pending answer; anything else closes the connection."""
        if self.reader is None or self.attempt is None or self.stream.unsent:
            # These bytes are not the answer to a request: none is pending, or it was not fully written yet.
            if self.has_answered:
                self.pool.answered_twice(self.gateway.now() - self.idle_since)
            return self._reject_answer("data that answers no request")
        self.reader.feed(data)
        self._count_memory(self.reader.memory)
        if self.reader.memory > codec.MOST_BODY and self.gateway.answers_exceed_memory():
            return self._reject_answer("not enough memory for the answer")
        try:
            answer = self.reader.next()
        except Malformed as error:
            return self._reject_answer(str(error))
        self._reads_in_turn = answer is None
        if answer is not None:
            self._answer_complete(answer, reusable=self._reusable_after(answer))

    def _reusable_after(self, answer: Answer) -> bool:
        """Whether the connection may be reused: nothing may follow that could be read as the next request's answer."""
        assert self.attempt is not None and self.reader is not None
        # Where attempts may not be cancelled, the connection outlives an attempt that was given up. A store that
        # answers so late may also answer twice, so the connection is not reused.
        given_up = self.attempt.finished or self.attempt.held.answered
        return answer.keep_alive and not self.reader.has_extra_bytes and not given_up

    def _answer_complete(self, answer: Answer, reusable: bool) -> None:
        """Release or close the connection, then pass the answer on."""
        attempt, self.attempt = self.attempt, None
        self._close_reader()
        self.has_answered = True
        if reusable:
            self.pool.released(self)
        else:
            self.close(StoreConnectionEnd.NOT_REUSABLE)
        if attempt:
            self.gateway.answer_received(attempt, answer)

    def _reject_answer(self, why: str) -> None:
        """Close the connection because of bytes that are not a valid answer; the pending request may have run."""
        attempt, self.attempt = self.attempt, None
        self.close(StoreConnectionEnd.UNREADABLE)
        if attempt:
            self.gateway.malformed_answer_received(attempt, why)

    def _on_end(self, why: str) -> None:
        """Handle the end of the connection: by the store, by a failure, or because it was never established."""
        # An answer without a length is complete if the connection ends in order, but not if it is reset.
        if self.stream.finished and self.attempt and self.reader and (answer := self.reader.end()):
            return self._answer_complete(answer, reusable=False)
        attempt, self.attempt = self.attempt, None
        request_was_written = not self.stream.unsent
        nothing_received = self.reader is None or not self.reader.size
        self.close(StoreConnectionEnd.BY_STORE)
        if not self.is_up:
            self.pool.connect_failed(retry=True)
        elif attempt:
            self._report_lost_attempt(attempt, request_was_written, nothing_received)

    def _report_lost_attempt(self, attempt: Attempt, request_was_written: bool, nothing_received: bool) -> None:
        """Report the outcome of an attempt whose connection ended before its answer was complete."""
        if self.has_answered and nothing_received and self.gateway.now() - self.sent_at < STALE_WINDOW:
            self.gateway.stale_connection_found(self.idle_before_request)
        if request_was_written:
            how = OutcomeKind.RESET
        elif self.has_answered:
            how = (
                OutcomeKind.NOT_EXECUTED
            )  # it never ran, and the end of a reused connection says nothing about the store
        else:
            how = OutcomeKind.NO_CONNECTION
        self.gateway.record_outcome(attempt, how)
