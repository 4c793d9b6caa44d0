"""Words to other gateways: one connection to each, opened with the first word. What can't be sent soon is lost, and
the module counts on that: what a gateway gave is gone there, whether it arrives or not."""

from __future__ import annotations

import asyncio

import msgspec

from tansykeel.protocol.codec import Codec
from tansykeel.protocol.frames import Hello, Share
from tansykeel.settings.records import PeersOf
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.sockets import connect

MOST_WAITING = 64  # words to one gateway while its connection opens, and bytes of them while it does not read
MOST_HELD = MOST_WAITING * 128


class Peer:
    """One other gateway."""

    def __init__(self, peers: Peers, address: str) -> None:
        self.peers, self.address = peers, address
        self.link: Link | None = None
        self.opening: asyncio.Task[None] | None = None
        self.waiting: list[Share] = []

    def tell(self, share: Share) -> None:
        if self.link is not None and not self.link.lost:
            if self.link.outgoing.held < MOST_HELD:
                self.link.send(0, share)
            return
        if len(self.waiting) < MOST_WAITING:
            self.waiting.append(share)
        if self.opening is None:
            self.opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        words: list[Share] = []
        try:
            sock = await connect(self.address, self.peers.settings.connect_timeout_ms / 1000)
            self.link = Link(self.peers.hub, sock, Codec("edge"), self.peers.hello, lambda link, event: None,
                             lambda link, why: None)
            words = self.waiting
        except (OSError, ValueError):
            pass  # it is down, or its address wrong: the words are lost
        finally:
            self.waiting, self.opening = [], None
        for share in words:
            self.tell(share)


class Peers:
    """All other gateways, by number."""

    def __init__(self, settings: PeersOf, me: int, hub: Hub, hello: Hello) -> None:
        self.settings, self.hub = settings, hub
        self.hello = msgspec.structs.replace(hello, role="peer")
        self.others = {number: Peer(self, address) for number, address in enumerate(settings.addresses) if number != me}

    def tell(self, peer: int | None, share: Share) -> None:
        if peer is not None:
            if peer in self.others:
                self.others[peer].tell(share)
            return
        for other in self.others.values():
            other.tell(share)

    def end(self) -> None:
        for other in self.others.values():
            if other.opening:
                other.opening.cancel()
            if other.link and not other.link.lost:
                other.link.close()
