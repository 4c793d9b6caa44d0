"""Connections to other gateways or control nodes: one per pair, opened by the side that first has a record to send.

A record that cannot be sent in time is dropped, and the protocols above allow for that: units that a gateway gives away
are deducted whether or not they arrive, and requests that go unanswered are repeated. If both sides open a connection
at the same time, they keep the one that the side with the lower number opened.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from tansykeel.cluster.send_queue import QueueLimit, SendQueue, Urgency
from tansykeel.edge.clock import clock
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Fields, Hello
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.sockets import connect

TICKS_PER_SECOND = 10_000  # a tick of the clock is a tenth of a millisecond
BOUNDS = {
    Urgency.LIVENESS: QueueLimit(64, TICKS_PER_SECOND // 2),
    Urgency.PROMISE: QueueLimit(64, 2 * TICKS_PER_SECOND),
    Urgency.HINT: QueueLimit(64, TICKS_PER_SECOND),
}
# From this on a connection gets no further records: they stay in the send queue, where urgent ones overtake the others
MAX_UNSENT_BYTES = 16 << 10
FLUSH_INTERVAL_S = 0.01  # between attempts to send on a connection that is full
# A connection that the peer opens within this time of an attempt of this side counts as opened at the same time
SIMULTANEOUS_OPEN_S = 1.0
RECONNECT_DELAY_S = 0.2  # from one attempt to open a connection to the next


class Peer:
    """One other gateway or control node: its connection, if there is one, and the records that wait for it."""

    def __init__(self, peers: Peers, number: int, address: str) -> None:
        self.peers, self.number, self.address = peers, number, address
        self.link: Link | None = None
        self.opened_here = False  # whether this side opened the connection
        self.opening: asyncio.Task[None] | None = None
        self.flush_timer: asyncio.TimerHandle | None = None
        self.last_attempt = 0.0  # by the loop's time
        self.send_queue = SendQueue(BOUNDS)

    def send(self, urgency: Urgency, record: Fields) -> None:
        """Queue a record; a connection is opened if there is none."""
        self.send_queue.put(clock(), urgency, record)
        self._flush()

    def state(self) -> str:
        """Return the state of the connection as the status reports it: up, opening or none."""
        return "up" if self._up() else "opening" if self.opening else "none"

    def accept(self, link: Link) -> None:
        """Take over a connection that the peer opened, unless both sides opened one and this side's is to be kept."""
        current = self.link if self._up() else None
        simultaneous = asyncio.get_running_loop().time() < self.last_attempt + SIMULTANEOUS_OPEN_S
        if current is not None and self.opened_here and self.peers.number < self.number and simultaneous:
            return  # the peer takes over the connection that this side opened, and closes this one
        # A peer that opens another connection has none any more: the current one is only half open.
        if current is not None and current is not link:
            current.close()
        self.link, self.opened_here = link, False
        self._flush()

    def drop(self, why: str) -> None:
        """Abort the connection; the next record opens another.

        Guards against a connection whose other end has disappeared without closing it.
        """
        if self.link is not None and not self.link.lost:
            self.link.abort(why)
        self.link = None

    def close(self) -> None:
        """Close the connection once what was passed to it is sent; records in the send queue are lost."""
        if self.opening:
            self.opening.cancel()
        if self.flush_timer:
            self.flush_timer.cancel()
        if self.link is not None and not self.link.lost:
            self.link.close()

    def _up(self) -> bool:
        return self.link is not None and not self.link.lost and not self.link.closing

    def _flush(self) -> None:
        """Move records from the send queue to the connection as far as it has room; without one, open it."""
        self.flush_timer = None
        if self._up():
            assert self.link is not None
            while self.link.outgoing.held < MAX_UNSENT_BYTES and (record := self.send_queue.take(clock())) is not None:
                self.link.send(0, record)
            if self.send_queue:
                self._flush_in(FLUSH_INTERVAL_S)
            return
        if self.opening is None and self.send_queue:
            loop = asyncio.get_running_loop()
            if loop.time() < self.last_attempt + RECONNECT_DELAY_S:
                return self._flush_in(RECONNECT_DELAY_S)
            self.last_attempt = loop.time()
            self.opening = loop.create_task(self._open())

    def _flush_in(self, seconds: float) -> None:
        if self.flush_timer is None:
            self.flush_timer = asyncio.get_running_loop().call_later(seconds, self._flush)

    async def _open(self) -> None:
        try:
            sock = await connect(self.address, self.peers.connect_timeout)
        except (OSError, ValueError):
            return  # the peer is down or its address is wrong: records stay queued until they expire
        finally:
            self.opening = None
        if self._up():  # the peer opened one meanwhile
            sock.close()
        else:
            self.link, self.opened_here = self.peers.create_link(sock), True
        self._flush()


class Peers:
    """All other gateways, or all other control nodes of a region, by number and by name.

    `number` is the index of this program itself in `addresses` and `names`. `on_record(link, record)` is called for
    records that arrive on connections opened by this side. `hello` is sent on those connections; `greeting`, if any, is
    the first record after the hello on every connection. `listener_role` is the role that the other side has in its
    hello when this side connects to it; `connect_timeout` is in seconds.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        names: Iterable[str],
        number: int,
        hub: Hub,
        hello: Hello,
        connect_timeout: float,
        on_record: Callable[[Link, Any], None],
        listener_role: str = "edge",
        greeting: Fields | None = None,
    ) -> None:
        self.number, self.hub, self.hello, self.on_record = number, hub, hello, on_record
        self.connect_timeout, self.listener_role, self.greeting = connect_timeout, listener_role, greeting
        self.others = {other: Peer(self, other, address) for other, address in enumerate(addresses) if other != number}
        self.by_name = {name: self.others[other] for other, name in enumerate(names) if other != number}

    def send(self, peer: int | None, urgency: Urgency, record: Fields) -> None:
        """Queue a record for the peer with this number, or for all peers if it is None."""
        for other in self.others.values() if peer is None else filter(None, [self.others.get(peer)]):
            other.send(urgency, record)

    def accept(self, link: Link, hello: Hello) -> None:
        """Pass a connection that another program opened to the peer that its hello names; unknown names are ignored."""
        if (other := self.by_name.get(hello.name)) is not None:
            self._greet(link)
            other.accept(link)

    def create_link(self, sock: Any) -> Link:
        """Start the protocol on a socket that this side connected."""
        link = Link(self.hub, sock, Codec(self.listener_role), self.hello, self._event, lambda link, why: None)
        self._greet(link)
        return link

    def close(self) -> None:
        """Close the connections to all peers."""
        for other in self.others.values():
            other.close()

    def _greet(self, link: Link) -> None:
        if self.greeting is not None:
            link.send(0, self.greeting)

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Frame) and not isinstance(event.record, Hello):
            self.on_record(link, event.record)
