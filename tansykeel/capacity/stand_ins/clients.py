"""Client connections, many in one process, and tasks on them at a steady rate."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec

from tansykeel.capacity.stand_ins.commands import commands, say, spent_seconds
from tansykeel.protocol.codec import Codec, Event, Piece
from tansykeel.protocol.frames import Answer, Hello, TaskOf
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect

CONNECT_WITHIN_S = 10.0
OPENED_AT_ONCE = 50
TICK_S = 0.01  # tasks of so long are sent together
PATIENCE_US = 10_000_000
ANSWERED_WITHIN_S = 10.0
BODY = bytes(1 << 20)  # what writes carry


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks number `first` to `first + count`, at a steady rate.

    Task n goes to store n % stores, and belongs to volume (n // stores) % volumes.
    """

    count: int
    rate: float
    stores: int
    volumes: int
    first: int
    size: int
    writes: bool = False


class Clients:
    """Connections to one gateway; counts answers."""

    def __init__(self, port: int) -> None:
        self.address = f"127.0.0.1:{port}"
        self.hub = Hub(Limits(high_water=1 << 30, stall=600.0))
        self.links: list[Link] = []
        self.silent: list[socket.socket] = []  # connected, and never a hello
        self.lost = 0
        self.delivered = 0
        self.other = 0
        self._next_stream = 1

    async def open(self, count: int, hello: bool) -> None:
        """Open so many more connections."""
        while count > 0:
            some = min(count, OPENED_AT_ONCE)
            socks = await asyncio.gather(*(connect(self.address, CONNECT_WITHIN_S) for _ in range(some)))
            if hello:
                self.links += [self._link(sock, len(self.links) + index) for index, sock in enumerate(socks)]
            else:
                self.silent += socks
            count -= some

    def _link(self, sock: socket.socket, number: int) -> Link:
        return Link(self.hub, sock, Codec("edge"), Hello(1, "client", f"c{number}"), self._event, self._gone)

    def _gone(self, link: Link, why: str) -> None:
        self.lost += 1

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Piece):
            self.delivered += event.last
        elif isinstance(event.record, Answer):
            if event.record.result != 0:
                self.other += 1
            elif not event.record.body:
                self.delivered += 1

    async def load(self, load: Load) -> None:
        """Send the tasks of a load over all connections in turn, and wait for their answers."""
        loop = asyncio.get_running_loop()
        answered_before = self.delivered + self.other
        begun = loop.time()
        sent = 0
        while sent < load.count:
            due = min(int((loop.time() - begun + TICK_S) * load.rate), load.count)
            for number in range(load.first + sent, load.first + due):
                self._send(number, load)
            sent = max(sent, due)
            await asyncio.sleep(TICK_S)
        end = loop.time() + ANSWERED_WITHIN_S
        while self.delivered + self.other - answered_before < load.count and loop.time() < end:
            await asyncio.sleep(TICK_S)

    def _send(self, number: int, load: Load) -> None:
        link = self.links[number % len(self.links)]
        stream, self._next_stream = self._next_stream, self._next_stream + 1
        volume = f"v{number // load.stores % load.volumes}"
        category, body = ("write", load.size) if load.writes else ("read", 0)
        shard = number % load.stores
        link.send(stream, TaskOf(volume, category, number, load.size, shard, PATIENCE_US, stream, False, body))
        if body:
            link.send_body(stream, [BODY[:body]])


async def serve_clients(port: int) -> None:
    """Clients of the gateway at this port; does as its commands say, and answers each with its counts."""
    clients = Clients(port)
    say(event="ready")
    async for command in commands():
        before = spent_seconds()
        await _obey(clients, command)
        say(
            delivered=clients.delivered,
            other=clients.other,
            lost=clients.lost,
            connections=len(clients.links) + len(clients.silent),
            spent=spent_seconds() - before,
        )
    for sock in clients.silent:
        sock.close()
    await clients.hub.stop()


async def _obey(clients: Clients, command: dict[str, Any]) -> None:
    match command["verb"]:
        case "open":
            await clients.open(command["count"], command["hello"])
        case "load":
            del command["verb"]
            await clients.load(msgspec.convert(command, Load))
        case "look":
            pass
