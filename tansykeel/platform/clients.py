"""Clients' connections: requests one at a time, an error for what can't be read, and an end for what says nothing."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from tansykeel.http1 import codec
from tansykeel.http1.codec import Malformed, Request, RequestReader
from tansykeel.platform.event_counts import ClientEnd, EventCounts
from tansykeel.platform.request_rules import connection_may_end
from tansykeel.transport.stream import Stream

UNASKED = 2.0  # seconds for a whole request, from the connection's start or the request's first byte
IDLE = 30.0  # seconds after which a connection that asked before and idles is closed
SPARED = 2.0  # seconds for which one that idles is kept though there is a crowd
EVICTION_GRACE = 0.25  # seconds for which one is kept, silent or idle, though others need its place
CROWD = 0.25  # part of all connections that may be held from which there is a crowd
LINGER = 1.0  # seconds that a client which was told an error has to read it
MOST_DRAINED = 256 << 10  # bytes read and let go meanwhile
MOST_AHEAD = 80 << 10  # bytes read ahead of a request that is not answered yet; who sends more is told an error
LINGERING = 8  # places for those that were ended and may still send
MANY_READS = 32  # reads of one request, after which its last byte may have come long before it is read
STALL = 5.0  # seconds in which a client takes none of its answer
SLOWEST = 30.0  # seconds in which it has to have taken all of it

ERRORS = {status: codec.answer(status, last=True) for status in codec.REASONS if status >= 400}


class Handler(Protocol):
    """Each call is answered by `Client.answer` or `Client.turn_away`, now or later."""

    def request(self, client: Client, request: Request) -> None: ...
    def client_left(self, client: Client) -> None: ...


class Client:
    """`open`: the id of its request that is not answered."""

    __slots__ = (
        "owner",
        "stream",
        "reader",
        "since",
        "asked",
        "open",
        "ending",
        "closed_half",
        "drained",
        "end_reason",
        "_busy",
        "_reads",
        "_left",
        "_took",
    )

    def __init__(self, owner: Clients, sock: socket.socket) -> None:
        self.owner, self.reader = owner, RequestReader()
        self.stream = Stream(sock, self._data, self._ended)
        self.since = owner.now()  # when it began to idle, to send a request, or to be told an error
        self.asked = 0
        self.open: bytes | None = None
        self.ending = self.closed_half = self._busy = False
        self.drained = 0
        self.end_reason: ClientEnd | None = None  # once it is settled that it ends
        self._reads = 0  # since the request that is coming began
        self._left, self._took = 0, self.since  # of its answer not taken at the last look; when it last took some
        self.stream.read()

    @property
    def idle(self) -> bool:
        """Whether it has had its answers whole and nothing was read of a further request."""
        return not self.ending and connection_may_end(
            has_open_request=self.open is not None,
            has_sent_more=self.reader.partial or self.reader.waits,
            has_unsent_answer=bool(self.stream.unsent),
        )

    @property
    def has_sent_more(self) -> bool:
        """Whether more has come than the open request, read or not: whole requests, a part of one, or an end."""
        return self.reader.waits or self.reader.partial or not self.stream.quiet()

    def answer(self, data: bytes, last: bool) -> None:
        """The answer to its open request; `last`: the connection ends with it."""
        self.open = None
        self.since = self.owner.now()
        self.owner.resting[self] = None
        self.stream.write(data)
        if last:
            self._linger(ClientEnd.LAST_ANSWER)
        elif self.reader.waits and not self._busy:
            self.owner.later(self._next)

    def turn_away(self, status: int) -> None:
        """Tell an error and end the connection. A request that is open is given up: this is its answer."""
        if self.open is not None:
            self.owner.handler.client_left(self)
        self.open = None
        self.since = self.owner.now()
        self.owner.errors[status] += 1
        self.stream.write(ERRORS[status])
        self._linger(ClientEnd.REJECTED)

    def end(self, reason: ClientEnd) -> None:
        """End the connection between requests. Guards against a request that comes in this moment: a close over
        unread bytes would reset the connection, and an answer that its client has not read would go with it."""
        self.since = self.owner.now()
        self._linger(reason)

    @property
    def has_said_nothing(self) -> bool:
        """Whether it has not asked yet and no byte of a request has come, read or not."""
        return not (self.asked or self.ending or self.reader.partial) and self.stream.quiet()

    def close(self, reason: ClientEnd) -> None:
        """Close the connection at once. A request that is open is given up."""
        if self in self.owner.conns:
            self.owner.counts.client_ended(self.end_reason or reason, self.asked)
        for held in (self.owner.conns, self.owner.silent, self.owner.resting, self.owner.lingering):
            held.pop(self, None)
        self.stream.close()
        if self.open is not None:
            self.owner.handler.client_left(self)

    def _linger(self, reason: ClientEnd) -> None:
        """Guards against an error that a client which is still sending never reads: a close with bytes unread
        would reset the connection, so it is closed in one direction and read for a while."""
        self.ending = True
        self.end_reason = self.end_reason or reason
        self.owner.resting.pop(self, None)
        self.owner.silent.pop(self, None)
        self.owner.lingering[self] = None
        self.reader.clear()
        if not self.stream.unsent:
            self._half_close()

    def _half_close(self) -> None:
        self.closed_half = True
        self.stream.half_close()

    def _data(self, data: bytes) -> None:
        if self.ending:
            self.drained += len(data)
            if self.drained > MOST_DRAINED:
                self.stream.read(False)
            return
        if self.open is None and not self.reader.partial:
            self.since = self.owner.now()
        self._reads = self._reads + 1 if self.reader.partial else 0
        self.reader.feed(data, self.owner.received_at(self.stream, self._reads > MANY_READS))
        # Guards against many that send large bodies and never end them: the memory is not theirs alone.
        crammed = self.reader.size > codec.MOST_HEAD and self.owner.unread_bytes() > self.owner.most_bytes
        if self.open is not None:
            # Guards against a client whose end stands unread behind what it sent ahead: it is read to its end, within
            # a bound, so that nothing begins for one that has gone.
            if crammed or self.reader.size > MOST_AHEAD:
                self.turn_away(413)
        elif crammed:
            self.turn_away(503)
        else:
            self._next()

    def _next(self) -> None:
        """Take what is there, one request after the other's answer."""
        self._busy = True
        try:
            while self.open is None and not self.ending and not self.stream.closed:
                try:
                    request = self.reader.next()
                except Malformed as error:
                    return self.turn_away(error.status)
                if request is None:
                    break
                self.asked += 1
                self.owner.silent.pop(self, None)
                self.owner.resting.pop(self, None)
                self.owner.handler.request(self, request)
        finally:
            self._busy = False

    def _ended(self, why: str) -> None:
        self.close(ClientEnd.BY_CLIENT if self.stream.finished else ClientEnd.BROKEN)

    def check_timeouts(self, now: float) -> None:
        """End the connection if it stalls, says nothing or idles for too long."""
        waited = now - self.since
        if self.open is not None:
            pass
        elif self.stream.unsent:
            # Guards against an end under an answer that its client takes slowly: only one that takes none stalls.
            if len(self.stream.unsent) != self._left:
                self._left, self._took = len(self.stream.unsent), now
            if now - max(self.since, self._took) > STALL:
                self.close(ClientEnd.STALLED)
            elif waited > SLOWEST:
                self.close(ClientEnd.SLOW)
        elif self.ending:
            if not self.closed_half:
                self.since = now  # it has all of its answer from now on
                self._half_close()
            elif waited > LINGER:
                self.close(ClientEnd.LAST_ANSWER)
        elif self.reader.partial or not self.asked:
            # Here and below: guards against an end over a request that has come and is not read yet, after a stall.
            if waited > UNASKED and self.stream.quiet():
                self.turn_away(408)
        elif waited > (SPARED if self.owner.crowded() else IDLE) and self.stream.quiet():
            self.end(ClientEnd.IDLE)


class Clients:
    """All of them, `most` at once, with `most_bytes` of requests that are not taken yet.

    Who has said nothing for a while makes room first, then who idles longest.
    """

    def __init__(
        self,
        handler: Handler,
        most: int,
        most_bytes: int,
        now: Callable[[], float],
        later: Callable[[Callable[[], None]], object],
        received_at: Callable[[Stream, bool], int],
        counts: EventCounts,
    ) -> None:
        """`received_at(stream, late)`: when the bytes came that were read from a stream just now, by the core's clock;
        `late`: whether they may have waited although the loop runs as it should."""
        self.handler, self.most, self.most_bytes, self.now, self.later = handler, most, most_bytes, now, later
        self.received_at, self.counts = received_at, counts
        self.conns: dict[Client, None] = {}
        self.silent: dict[Client, None] = {}  # of them, without a whole request, the oldest first
        self.resting: dict[Client, None] = {}  # had an answer, the one longest ago first
        self.lingering: dict[Client, None] = {}  # ended here or told an error, the one longest ago first
        self.errors = Counter[int]()  # told to clients, by status
        self.unanswered = Counter[str]()  # new connections that were closed here with no answer, by cause

    def accept(self, sock: socket.socket) -> None:
        if len(self.conns) >= self.most - LINGERING and len(self.lingering) < LINGERING:
            self.make_room()
        if len(self.conns) >= self.most and not self._make_place_for_new():
            self.unanswered["no room"] += 1
            sock.close()
            return
        client = Client(self, sock)
        self.conns[client] = self.silent[client] = None

    def make_room(self) -> None:
        """Guards against a crowd that is silent or stays: not against one that asks. A client that has only just
        connected has its request on the way; one that has begun to ask is told to come back."""
        before = self.now() - EVICTION_GRACE
        if client := self._spare(before):
            return self._shed(client, "made room", client.end, ClientEnd.ROOM)
        begun = next((client for client in self.silent if client.reader.partial and client.since <= before), None)
        if begun:
            begun.turn_away(503)

    def close_one_for_descriptor(self) -> bool:
        """A descriptor is needed at once: close who was told of it longest ago, else who can best be spared."""
        told = next((client for client in self.lingering if not client.stream.unsent), None)
        if client := told or self._spare(self.now() - EVICTION_GRACE):
            self._shed(client, "made room", client.close, ClientEnd.ROOM)
        return client is not None

    def _make_place_for_new(self) -> bool:
        """As `make_place`; in a flood the oldest of those that have said nothing yet goes, however new it is."""
        if self.close_one_for_descriptor():
            return True
        oldest = next((client for client in self.silent if client.has_said_nothing), None)
        if oldest:
            self._shed(oldest, "made room, new", oldest.close, ClientEnd.ROOM)
        return oldest is not None

    def _spare(self, before: float) -> Client | None:
        """Who has said nothing since `before` for longest, else who idles since then for longest."""
        silent = next((client for client in self.silent if client.has_said_nothing), None)
        if silent and silent.since <= before:
            return silent
        resting = next((client for client in self.resting if client.idle and client.stream.quiet()), None)
        return resting if resting and resting.since <= before else None

    def crowded(self) -> bool:
        """Guards against clients that ask once and stay for good: they take the connections that the others need."""
        return len(self.conns) - len(self.lingering) > self.most * CROWD

    def unread_bytes(self) -> int:
        """Bytes of requests that are not whole, or wait behind another."""
        return sum(client.reader.size for client in self.conns)

    def unsent_bytes(self) -> int:
        """Bytes of answers that clients have not taken yet."""
        return sum(len(client.stream.unsent) for client in self.conns)

    def check_timeouts(self) -> None:
        now = self.now()
        for client in list(self.conns):
            client.check_timeouts(now)

    def close_idle(self) -> None:
        """End all that have no request open and none on the way, as far as can be seen from here: who has only just
        connected, or had an answer, is given time to ask."""
        before = self.now() - EVICTION_GRACE
        for client in list(self.conns):
            if client.idle and client.since <= before and client.stream.quiet():
                self._shed(client, "the gateway ends", client.end, ClientEnd.GATEWAY_ENDS)

    def turn_away_begun(self) -> None:
        """Refuse whoever has begun to ask and not ended."""
        for client in list(self.conns):
            if client.open is None and client.reader.partial and not client.ending:
                client.turn_away(503)

    def close_all(self) -> None:
        """The end: who lingers has had all that it was owed."""
        for client in list(self.conns):
            client.stream.discard()
            client.close(ClientEnd.GATEWAY_ENDS)

    def _shed(self, client: Client, cause: str, end: Callable[[ClientEnd], None], reason: ClientEnd) -> None:
        if not client.asked and not client.ending:
            self.unanswered[cause] += 1
        end(reason)
