"""One client's connection: serves its requests one at a time and rejects malformed ones.

A connection that the gateway ends is closed in one direction first and read for a while (a lingering close), since
closing a socket with unread bytes resets the connection and may destroy an answer that the client has not read yet.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from tansykeel.http1 import codec
from tansykeel.http1.codec import RequestReader
from tansykeel.http1.messages import Malformed, Request
from tansykeel.platform.event_counts import ClientEnd, EventCounts
from tansykeel.platform.read_queue import ReadQueue
from tansykeel.platform.request_rules import connection_may_end
from tansykeel.transport.stream import Stream

REQUEST_TIMEOUT = 2.0  # seconds for a whole request, from the connection's start or the request's first byte
IDLE_TIMEOUT = 30.0  # seconds after which an idle connection that has sent a request before is closed
CROWDED_IDLE_TIMEOUT = 2.0  # the same while `Clients.is_crowded`
LINGER = 1.0  # seconds for which a connection that the gateway ends is still read after its half-close
MAX_DRAINED_BYTES = 256 << 10  # read and discarded while a connection is ended
MAX_PIPELINED_BYTES = 80 << 10  # read behind a request that is not answered yet; a client that sends more gets a 413
SHORT_READ, LONG_READ = 2 << 10, 16 << 10  # bytes read at once of a request, and of one that is longer
MAX_REQUESTS_PER_TURN = 16  # of one client, of those that are answered at once
MANY_READS = 32  # reads of one request, after which its last byte may have arrived long before it is read
WRITE_STALL_TIMEOUT = 5.0  # seconds in which a client takes no byte of its answer
WRITE_TIMEOUT = 30.0  # seconds in which a client has to take its whole answer

ERROR_RESPONSES = {status: codec.answer(status, last=True) for status in codec.REASONS if status >= 400}


class Handler(Protocol):
    """Receives the requests of all clients."""

    def request(self, client: Client, request: Request) -> None:
        """Handle a request; it is answered with `Client.answer` or `Client.reject`, now or later."""
        ...

    def client_disconnected(self, client: Client) -> None:
        """Cancel the client's open request: its connection was closed or the request rejected."""
        ...


class ClientOwner(Protocol):
    """What a connection needs of `Clients`, which has all of them by what they wait for."""

    handler: Handler
    counts: EventCounts
    read_queue: ReadQueue  # for long requests
    max_unread_bytes: int
    unread_bytes: int  # memory of requests of all clients that are incomplete or pipelined behind an open one
    errors: Counter[int]  # error answers sent, by status
    conns: dict[Client, None]
    awaiting_request: dict[Client, None]
    keep_alive: dict[Client, None]
    lingering: dict[Client, None]
    with_unsent: dict[Client, None]
    now: Callable[[], float]  # the event loop's time in seconds
    later: Callable[[Callable[[], None]], object]  # calls in the next turn of the event loop
    received_at: Callable[[Stream, bool], int]

    def is_crowded(self) -> bool:
        """Whether so many connections are open that idle ones are closed early."""
        ...


class Client:
    """One client connection. `open_request`: the id of its request that is not answered yet, if it has one."""

    __slots__ = (
        "owner",
        "stream",
        "reader",
        "since",
        "requests",
        "open_request",
        "ending",
        "half_closed",
        "drained",
        "end_reason",
        "_processing",
        "_reads",
        "_reads_in_turn",
        "_counted_memory",
        "_unsent_before",
        "_last_progress",
    )

    def __init__(self, owner: ClientOwner, sock: socket.socket) -> None:
        self.owner, self.reader = owner, RequestReader()
        self.stream = Stream(sock, self._data_received, self._stream_ended)
        self.stream.read_size, self.stream.defers_read = SHORT_READ, self._defers_read
        self.since = owner.now()  # when it became idle, began to send a request, was answered or began to end
        self.requests = 0  # received whole on this connection
        self.open_request: bytes | None = None
        self.ending = self.half_closed = self._processing = False
        self.drained = 0  # bytes read and discarded since it began to end
        self.end_reason: ClientEnd | None = None  # set once the gateway has begun to end it
        self._reads = 0  # reads since the first byte of the request that is being received
        self._reads_in_turn = False  # whether more is coming than a short request: it is read in turn with others
        self._counted_memory = 0  # of its reader, as counted in the sum over all clients
        # Unsent bytes of the answer at the last check, and when their number last changed.
        self._unsent_before, self._last_progress = 0, self.since
        self.stream.read()

    @property
    def idle(self) -> bool:
        """Whether all its answers were sent whole and no byte of a further request was read."""
        return not self.ending and connection_may_end(
            has_open_request=self.open_request is not None,
            has_sent_more=self.reader.partial or self.reader.waits,
            has_unsent_answer=bool(self.stream.unsent),
        )

    @property
    def has_sent_more(self) -> bool:
        """Whether anything arrived behind the open request, read or not: requests, a part of one, or an end of file."""
        return self.reader.waits or self.reader.partial or not self.stream.quiet()

    def answer(self, data: bytes, last: bool) -> None:
        """Send the answer to the open request; with `last` the connection ends after it."""
        self.open_request = None
        self.since = self.owner.now()
        self.owner.keep_alive[self] = None
        self._write(data)
        if last:
            self._linger(ClientEnd.LAST_ANSWER)
        elif self.reader.waits and not self._processing:
            self.owner.later(self._process_requests)

    def reject(self, status: int) -> None:
        """Send an error and end the connection. The error is the answer of an open request, which is cancelled."""
        if self.open_request is not None:
            self.owner.handler.client_disconnected(self)
        self.open_request = None
        self.since = self.owner.now()
        self.owner.errors[status] += 1
        self._write(ERROR_RESPONSES[status])
        self._linger(ClientEnd.REJECTED)

    def _write(self, data: bytes) -> None:
        self.stream.write(data)
        if self.stream.unsent:
            self.owner.with_unsent[self] = None

    def end(self, reason: ClientEnd) -> None:
        """End the connection between requests, with a lingering close: a request may arrive at this moment, and
        closing over its unread bytes would reset the connection and lose an answer that the client has not read."""
        self.since = self.owner.now()
        self._linger(reason)

    @property
    def has_sent_nothing(self) -> bool:
        """Whether no byte of a first request has arrived, read or not."""
        return not (self.requests or self.ending or self.reader.partial) and self.stream.quiet()

    def close(self, reason: ClientEnd) -> None:
        """Close the connection at once; an open request is cancelled."""
        if self in self.owner.conns:
            self.owner.counts.client_ended(self.end_reason or reason, self.requests)
        owner = self.owner
        for held in (owner.conns, owner.awaiting_request, owner.keep_alive, owner.lingering, owner.with_unsent):
            held.pop(self, None)
        self.stream.close()
        self.stream.forget_unsent()
        self._close_reader()
        if self.open_request is not None:
            self.owner.handler.client_disconnected(self)

    def _linger(self, reason: ClientEnd) -> None:
        """Begin a lingering close: half-close the connection once its answer is sent, and read on for a while.

        A client that is still sending would otherwise never read the error that it was sent: a close with unread
        bytes resets the connection.
        """
        self.ending = True
        self.end_reason = self.end_reason or reason
        self.owner.keep_alive.pop(self, None)
        self.owner.awaiting_request.pop(self, None)
        self.owner.lingering[self] = None
        self._close_reader()
        if not self.stream.unsent:
            self._half_close()

    def _half_close(self) -> None:
        self.half_closed = True
        self.stream.half_close()

    def _close_reader(self) -> None:
        """Read nothing more and let go of what was read."""
        self.reader.close()
        self._count_memory()

    def _count_memory(self) -> None:
        """Count the reader's memory in the sum over all clients."""
        memory = self.reader.memory
        self.owner.unread_bytes += memory - self._counted_memory
        self._counted_memory = memory

    def _defers_read(self) -> bool:
        """Have more of a long request read in turn with those of other clients."""
        if self._reads_in_turn:
            self.owner.read_queue.add(self.stream.read_now)
        return self._reads_in_turn

    def _data_received(self, data: bytes) -> None:
        """Take bytes that were read, and choose how the next ones are read."""
        filled = len(data) >= self.stream.read_size
        if self.ending:
            self._drain(data)
        else:
            self._take_request_bytes(data)
        self._reads_in_turn = filled or self.ending or self.reader.partial or self.reader.waits
        self.stream.read_size = LONG_READ if self._reads_in_turn else SHORT_READ

    def _drain(self, data: bytes) -> None:
        self.drained += len(data)
        if self.drained > MAX_DRAINED_BYTES:
            self.stream.read(False)

    def _take_request_bytes(self, data: bytes) -> None:
        if self.open_request is None and not self.reader.partial:
            self.since = self.owner.now()
        self._reads = self._reads + 1 if self.reader.partial else 0
        may_be_late = self._reads_in_turn or self._reads > MANY_READS
        self.reader.feed(data, self.owner.received_at(self.stream, may_be_late))
        self._count_memory()
        # Bounds the memory of all clients together: many may send large bodies and never complete them.
        out_of_memory = self.reader.memory > codec.MOST_HEAD and self.owner.unread_bytes > self.owner.max_unread_bytes
        if self.open_request is not None:
            # Pipelined bytes are read, within a bound, to find an end of file behind them, so that no attempt begins
            # for a client that has disconnected.
            if out_of_memory or self.reader.size > MAX_PIPELINED_BYTES:
                self.reject(413)
        elif out_of_memory:
            self.reject(503)
        else:
            self._process_requests()

    def _process_requests(self) -> None:
        """Handle the requests that were read whole, up to the first that is not answered at once; of many that are, a
        part in each turn of the event loop."""
        self._processing = True
        last = self.requests + MAX_REQUESTS_PER_TURN
        try:
            while self.open_request is None and not self.ending and not self.stream.closed:
                if self.requests >= last:
                    self.owner.later(self._process_requests)
                    break
                try:
                    request = self.reader.next()
                except Malformed as error:
                    return self.reject(error.status)
                if request is None:
                    break
                self.requests += 1
                self.owner.awaiting_request.pop(self, None)
                self.owner.keep_alive.pop(self, None)
                self.owner.handler.request(self, request)
        finally:
            self._processing = False
            self._count_memory()

    def _stream_ended(self, why: str) -> None:
        self.close(ClientEnd.BY_CLIENT if self.stream.finished else ClientEnd.BROKEN)

    def check_timeouts(self, now: float) -> None:
        """End the connection if it has stalled, sent no whole request or idled for too long."""
        waited = now - self.since
        if self.open_request is not None:
            pass
        elif self.stream.unsent:
            # A client that takes its answer slowly is not stalled: one that takes no byte of it is.
            if len(self.stream.unsent) != self._unsent_before:
                self._unsent_before, self._last_progress = len(self.stream.unsent), now
            if now - max(self.since, self._last_progress) > WRITE_STALL_TIMEOUT:
                self.close(ClientEnd.STALLED)
            elif waited > WRITE_TIMEOUT:
                self.close(ClientEnd.SLOW)
        elif self.ending:
            if not self.half_closed:
                self.since = now  # the whole answer has been sent; LINGER runs from here
                self._half_close()
            elif waited > LINGER:
                self.close(ClientEnd.LAST_ANSWER)
        elif self.reader.partial or not self.requests:
            # `quiet` here and below: after a stall of the gateway, a request may have arrived that is not read yet.
            if waited > REQUEST_TIMEOUT and self.stream.quiet():
                self.reject(408)
        elif waited > (CROWDED_IDLE_TIMEOUT if self.owner.is_crowded() else IDLE_TIMEOUT) and self.stream.quiet():
            self.end(ClientEnd.IDLE)
