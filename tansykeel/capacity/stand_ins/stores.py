"""Stores that answer each attempt at once, many in one process."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tansykeel.capacity.stand_ins.commands import commands, say, spent_seconds
from tansykeel.protocol.codec import Codec, Event, Piece
from tansykeel.protocol.frames import HandOffOf, Hello, OutcomeOf
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

BODY = bytes(1 << 20)  # what reads are answered with


class InstantStore:
    """One store: it listens on a port of its own and delivers whatever comes."""

    def __init__(self, hub: Hub, shard: int) -> None:
        self.shard = shard
        self.outcomes = 0
        self.last_attempt_at = 0.0  # by the monotonic clock
        self._hub = hub
        self._hello = Hello(1, "store", f"s{shard}", 1)
        self._listener = listening("127.0.0.1:0")

    @property
    def port(self) -> int:
        """Where it listens."""
        port: int = self._listener.getsockname()[1]
        return port

    def start(self) -> asyncio.Task[None]:
        """Accept connections until the task is cancelled."""
        return asyncio.create_task(accept_all(self._listener, self._accept))

    def _accept(self, sock: Any) -> None:
        Link(self._hub, sock, Codec("edge"), self._hello, self._event, lambda link, why: None)

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Piece):
            if event.last:
                self._deliver(link, event.stream, 0)
        elif isinstance(event.record, HandOffOf):
            self.last_attempt_at = time.monotonic()
            if not event.record.writes:
                self._deliver(link, event.stream, event.record.size)

    def _deliver(self, link: Link, stream: int, size: int) -> None:
        self.outcomes += 1
        link.send(stream, OutcomeOf("delivered", self.shard, body=size))
        if size:
            link.send_body(stream, [BODY[:size]])


async def serve_stores(count: int) -> None:
    """So many stores, numbered from 0; says their ports, and what they did at each command."""
    hub = Hub(Limits())
    stores = [InstantStore(hub, shard) for shard in range(count)]
    accepting = [store.start() for store in stores]
    say(ports=[store.port for store in stores])
    async for _ in commands():
        say(outcomes=sum(store.outcomes for store in stores), connections=len(hub.links), spent=spent_seconds())
    for task in accepting:
        task.cancel()
    await hub.stop()
