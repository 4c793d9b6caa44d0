"""Words to other gateways or control nodes: one connection a pair, opened by whoever has something to say first.

What can't be sent soon is lost, and everything that is said counts on that: what a gateway gave is gone there, whether
it arrives or not, and what is promised is asked for again. Two that open a connection at once keep that of the lower
number.
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

SECOND = 10_000
BOUNDS = {
    Urgency.LIVENESS: QueueLimit(64, SECOND // 2),
    Urgency.PROMISE: QueueLimit(64, 2 * SECOND),
    Urgency.HINT: QueueLimit(64, SECOND),
}
MOST_HELD = 16 << 10  # bytes that a connection holds unsent; words beyond wait, so that the urgent overtake the rest
PUMP = 0.01  # seconds between looks at a connection that is full
AT_ONCE = 1.0  # seconds in which two that opened a connection each take it for one of two opened at once
REST = 0.2  # seconds until a gateway that could not be reached is tried again


class Peer:
    """One other gateway."""

    def __init__(self, peers: Peers, number: int, address: str) -> None:
        self.peers, self.number, self.address = peers, number, address
        self.link: Link | None = None
        self.dialled = False  # whether the connection was opened here
        self.opening: asyncio.Task[None] | None = None
        self.pumping: asyncio.TimerHandle | None = None
        self.tried = 0.0
        self.send_queue = SendQueue(BOUNDS)

    def tell(self, urgency: Urgency, record: Fields) -> None:
        self.send_queue.put(clock(), urgency, record)
        self._pump()

    def state(self) -> str:
        return "up" if self._up() else "opening" if self.opening else "none"

    def came(self, link: Link) -> None:
        """It opened a connection to this gateway."""
        mine = self.link if self._up() else None
        at_once = asyncio.get_running_loop().time() < self.tried + AT_ONCE
        if mine is not None and self.dialled and self.peers.me < self.number and at_once:
            return  # it will take up that one instead, and close its own
        # Guards against a connection that is open at this end alone: whoever opens another has none any more.
        if mine is not None and mine is not link:
            mine.close()
        self.link, self.dialled = link, False
        self._pump()

    def drop(self, why: str) -> None:
        """Guards against a connection whose other end is gone and never said so: the next word opens another."""
        if self.link is not None and not self.link.lost:
            self.link.abort(why)
        self.link = None

    def end(self) -> None:
        if self.opening:
            self.opening.cancel()
        if self.pumping:
            self.pumping.cancel()
        if self.link is not None and not self.link.lost:
            self.link.close()

    def _up(self) -> bool:
        return self.link is not None and not self.link.lost and not self.link.closing

    def _pump(self) -> None:
        self.pumping = None
        if self._up():
            assert self.link is not None
            while self.link.outgoing.held < MOST_HELD and (record := self.send_queue.take(clock())) is not None:
                self.link.send(0, record)
            if self.send_queue:
                self._pump_in(PUMP)
            return
        if self.opening is None and self.send_queue:
            loop = asyncio.get_running_loop()
            if loop.time() < self.tried + REST:
                return self._pump_in(REST)
            self.tried = loop.time()
            self.opening = loop.create_task(self._open())

    def _pump_in(self, seconds: float) -> None:
        if self.pumping is None:
            self.pumping = asyncio.get_running_loop().call_later(seconds, self._pump)

    async def _open(self) -> None:
        try:
            sock = await connect(self.address, self.peers.connect_timeout)
        except (OSError, ValueError):
            return  # it is down, or its address wrong: the words wait until they are too late
        finally:
            self.opening = None
        if self._up():  # it opened one meanwhile
            sock.close()
        else:
            self.link, self.dialled = self.peers.link(sock), True
        self._pump()


class Peers:
    """All others of a kind, by number. `on_word(link, record)` for what they say on connections that were opened here.

    `hello` is said on connections that are opened here, and `greeting` after it on every connection, where there is
    one; `answered_by` is the role of whoever listens there; `connect_timeout` is in seconds.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        names: Iterable[str],
        me: int,
        hub: Hub,
        hello: Hello,
        connect_timeout: float,
        on_word: Callable[[Link, Any], None],
        answered_by: str = "edge",
        greeting: Fields | None = None,
    ) -> None:
        self.me, self.hub, self.hello, self.on_word = me, hub, hello, on_word
        self.connect_timeout, self.answered_by, self.greeting = connect_timeout, answered_by, greeting
        self.others = {number: Peer(self, number, address) for number, address in enumerate(addresses) if number != me}
        self.by_name = {name: self.others[number] for number, name in enumerate(names) if number != me}

    def tell(self, peer: int | None, urgency: Urgency, record: Fields) -> None:
        for other in self.others.values() if peer is None else filter(None, [self.others.get(peer)]):
            other.tell(urgency, record)

    def came(self, link: Link, hello: Hello) -> None:
        if (other := self.by_name.get(hello.name)) is not None:
            self._greet(link)
            other.came(link)

    def link(self, sock: Any) -> Link:
        link = Link(self.hub, sock, Codec(self.answered_by), self.hello, self._event, lambda link, why: None)
        self._greet(link)
        return link

    def end(self) -> None:
        for other in self.others.values():
            other.end()

    def _greet(self, link: Link) -> None:
        if self.greeting is not None:
            link.send(0, self.greeting)

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Frame) and not isinstance(event.record, Hello):
            self.on_word(link, event.record)
