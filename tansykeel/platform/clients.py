"""All client connections: accepts them, makes room for new ones, and ends those that are idle or stalled."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

from tansykeel.platform.client_connection import Client, Handler
from tansykeel.platform.event_counts import ClientEnd, EventCounts
from tansykeel.platform.read_queue import ReadQueue
from tansykeel.transport.stream import Stream

EVICTION_GRACE = 0.25  # seconds before a connection that is idle or sends no request may be evicted for another
CROWDED_FRACTION = 0.25  # of the most connections: with more than that open, the gateway is crowded
LINGERING_RESERVE = 8  # connections of the maximum that are kept free for ones in a lingering close


class Clients:
    """All client connections, `max_connections` at once, with `max_unread_bytes` of requests that are not handled yet.

    Connections that have sent nothing for a while are evicted first, then those that have been idle for longest.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        max_unread_bytes: int,
        now: Callable[[], float],
        later: Callable[[Callable[[], None]], object],
        received_at: Callable[[Stream, bool], int],
        counts: EventCounts,
    ) -> None:
        """`received_at(stream, late)` returns, by the core's clock, when the bytes arrived that were just read from a
        stream; `late`: they may have waited to be read although the event loop was not stalled."""
        self.handler, self.max_connections, self.max_unread_bytes, self.now, self.later = (
            handler,
            max_connections,
            max_unread_bytes,
            now,
            later,
        )
        self.received_at, self.counts = received_at, counts
        self.read_queue = ReadQueue(later, now)
        self.unread_bytes = 0  # memory of requests that are incomplete or pipelined behind an open one
        self.conns: dict[Client, None] = {}
        self.awaiting_request: dict[Client, None] = {}  # no whole request received yet, oldest connection first
        self.keep_alive: dict[Client, None] = {}  # answered and waiting for a further request, longest ago first
        self.lingering: dict[Client, None] = {}  # in a lingering close, the one begun longest ago first
        self.with_unsent: dict[Client, None] = {}  # whose answers may not have left whole
        self.errors = Counter[int]()  # error answers sent, by status
        self.unanswered = Counter[str]()  # connections that the gateway ended before their first request, by cause

    def accept(self, sock: socket.socket) -> None:
        """Take a new connection, evicting another one if there are too many; close it if none can be evicted."""
        if len(self.conns) >= self.max_connections - LINGERING_RESERVE and len(self.lingering) < LINGERING_RESERVE:
            self.make_room()
        if len(self.conns) >= self.max_connections and not self._close_one_for_new():
            self.unanswered["no room"] += 1
            sock.close()
            return
        client = Client(self, sock)
        self.conns[client] = self.awaiting_request[client] = None

    def make_room(self) -> None:
        """End one connection so that new ones find room, if one is idle or sends no whole request.

        A connection younger than EVICTION_GRACE is kept, since its request may be on the way. One that has sent a part
        of its first request is rejected with 503. A connection with an open request is never ended here.
        """
        before = self.now() - EVICTION_GRACE
        if client := self._eviction_candidate(before):
            return self._evict(client, "made room", client.end, ClientEnd.ROOM)
        partial = next(
            (client for client in self.awaiting_request if client.reader.partial and client.since <= before), None
        )
        if partial:
            partial.reject(503)

    def close_one_for_descriptor(self) -> bool:
        """Close a connection at once to free its descriptor: the one that has lingered for longest with its answer
        sent, else an eviction candidate. Return whether there was one."""
        lingering = next((client for client in self.lingering if not client.stream.unsent), None)
        if client := lingering or self._eviction_candidate(self.now() - EVICTION_GRACE):
            self._evict(client, "made room", client.close, ClientEnd.ROOM)
        return client is not None

    def _close_one_for_new(self) -> bool:
        """As `close_one_for_descriptor`; where that finds none, as in a flood of new connections, close the oldest that
        has sent nothing, whatever its age."""
        if self.close_one_for_descriptor():
            return True
        oldest = next((client for client in self.awaiting_request if client.has_sent_nothing), None)
        if oldest:
            self._evict(oldest, "made room, new", oldest.close, ClientEnd.ROOM)
        return oldest is not None

    def _eviction_candidate(self, before: float) -> Client | None:
        """Return the oldest connection that has sent nothing since `before`, else the one idle for longest since
        then."""
        unused = next((client for client in self.awaiting_request if client.has_sent_nothing), None)
        if unused and unused.since <= before:
            return unused
        idle = next((client for client in self.keep_alive if client.idle and client.stream.quiet()), None)
        return idle if idle and idle.since <= before else None

    def is_crowded(self) -> bool:
        """Whether so many connections are open that idle ones are closed early. Clients that send one request and keep
        their connection would otherwise take the ones that others need."""
        return len(self.conns) - len(self.lingering) > self.max_connections * CROWDED_FRACTION

    def unsent_bytes(self) -> int:
        """Return the bytes of answers that clients have not taken yet."""
        self.with_unsent = {client: None for client in self.with_unsent if client.stream.unsent}
        return sum(len(client.stream.unsent) for client in self.with_unsent)

    def check_timeouts(self) -> None:
        """End every connection that has stalled, sent no whole request or idled for too long."""
        now = self.now()
        for client in list(self.conns):
            client.check_timeouts(now)

    def close_idle(self) -> None:
        """End all idle connections with nothing left to read. One that was opened or answered within EVICTION_GRACE is
        kept, since its next request may be on the way."""
        before = self.now() - EVICTION_GRACE
        for client in list(self.conns):
            if client.idle and client.since <= before and client.stream.quiet():
                self._evict(client, "the gateway ends", client.end, ClientEnd.GATEWAY_ENDS)

    def reject_partial_requests(self) -> None:
        """Reject with 503 every client whose request is incomplete."""
        for client in list(self.conns):
            if client.open_request is None and client.reader.partial and not client.ending:
                client.reject(503)

    def close_all(self) -> None:
        """Close all connections as the gateway ends, lingering ones too: their answers were sent."""
        for client in list(self.conns):
            client.stream.discard()
            client.close(ClientEnd.GATEWAY_ENDS)

    def _evict(self, client: Client, cause: str, end: Callable[[ClientEnd], None], reason: ClientEnd) -> None:
        """End a connection with `end(reason)`; counted in `unanswered` by `cause` if it has sent no whole request."""
        if not client.requests and not client.ending:
            self.unanswered[cause] += 1
        end(reason)
