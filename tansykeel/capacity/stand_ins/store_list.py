"""A list of stores that pushes the whole list or changes of one row when told to, and counts their bytes."""

from __future__ import annotations

import asyncio
from typing import Any

from tansykeel.capacity.stand_ins.commands import commands, say
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import MOST_ROWS, Hello, ListAsk, ListOf, Row, pack
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

STREAM = 1
LEAST_PAUSE_S = 0.001
LATER_BOOT, JUST_STARTED_US = 1_000_000, 1_000_000


class StoreList:
    """The list of stores `s0` to `s(count - 1)`, each at an address where nobody listens."""

    def __init__(self, count: int) -> None:
        self.rows = tuple(
            Row(f"store-{shard:04}", f"127.0.0.1:{10_000 + shard}", shard % 5, shard, "ready", 1_000 + shard, 0)
            for shard in range(count)
        )
        self.version = 1
        self.bytes_sent = 0
        self.watchers: set[Link] = set()

    def accept(self, hub: Hub, sock: Any) -> None:
        """Take a gateway's connection."""
        Link(hub, sock, Codec("edge"), Hello(1, "list", "list"), self._event, self._gone)

    def _gone(self, link: Link, why: str) -> None:
        self.watchers.discard(link)

    def _event(self, link: Link, event: Event) -> None:
        if isinstance(event, Frame) and isinstance(event.record, ListAsk):
            self.watchers.add(link)
            self.push_whole()

    def push_whole(self) -> None:
        """Push all rows, in as many frames as it takes."""
        self.version += 1
        for start in range(0, len(self.rows), MOST_ROWS):
            page = self.rows[start : start + MOST_ROWS]
            self._push(ListOf(True, self.version, page, start + MOST_ROWS < len(self.rows)))

    def push_change(self, number: int) -> None:
        """Push one row as after a restart: with another boot id."""
        row = self.rows[number % len(self.rows)]
        boot = LATER_BOOT + self.version
        self.push_rows((Row(row.name, row.address, row.zone, row.shard, "ready", boot, JUST_STARTED_US),))

    def push_rows(self, rows: tuple[Row, ...]) -> None:
        """Push a change of these rows."""
        self.version += 1
        self._push(ListOf(False, self.version, rows))

    def _push(self, update: ListOf) -> None:
        for link in self.watchers:
            link.send(STREAM, update)
            self.bytes_sent += len(pack(STREAM, update))


async def serve_store_list(count: int) -> None:
    """A list of so many stores; each command pushes it or changes of it, and is answered with the bytes of that."""
    hub, listener = Hub(Limits()), listening("127.0.0.1:0")
    stores = StoreList(count)
    accepting = asyncio.create_task(accept_all(listener, lambda sock: stores.accept(hub, sock)))
    say(port=listener.getsockname()[1])
    async for command in commands():
        before = stores.bytes_sent
        for number in range(command.get("times", 0)):
            if command["verb"] == "whole":
                stores.push_whole()
            elif command["verb"] == "change":
                stores.push_change(number)
            await asyncio.sleep(max(command["pause_s"], LEAST_PAUSE_S))
        say(bytes=stores.bytes_sent - before, watchers=len(stores.watchers))
    accepting.cancel()
    await hub.stop()
