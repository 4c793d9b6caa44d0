"""Follows the list of stores: one connection to its service, asked when the module says so.

The service says an empty change where it has none for 2 s. What it has counts as told 6 s after it could be reached, so
one clock runs for its last whole word; without one in time the connection is ended, and the module calls anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tansykeel.edge.core import Core
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import Hello, ListAsk, ListOf, Row
from tansykeel.settings.records import ListOf as ListSettings
from tansykeel.transport.link import Hub, Link
from tansykeel.transport.sockets import connect

CONNECT_WITHIN = 1.0  # seconds; a connection not made by then counts as a failed call
SILENT = 2.5  # seconds without a whole word after which the connection is ended, and for the answer to a call
LOOK = 0.25  # seconds between looks at the clock


class StoreListClient:
    def __init__(self, core: Core, hub: Hub, settings: ListSettings, hello: Hello, clock: Callable[[], int]) -> None:
        self.core, self.hub, self.settings, self.hello, self.clock = core, hub, settings, hello, clock
        self.link: Link | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.rows: list[Row] = []
        self.ended = False
        self.heard = 0.0  # by the loop's clock: when the last word came, or the call for it went
        self._looking: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Watch the list: over the connection that stands, or a new one."""
        if self.ended:
            return
        if self.link is not None and not self.link.lost:
            self._call(self.link)
        elif self.connecting is None:
            self.connecting = asyncio.get_running_loop().create_task(self._connect())

    def end(self) -> None:
        self.ended = True
        if self.connecting:
            self.connecting.cancel()
        if self._looking:
            self._looking.cancel()

    async def _connect(self) -> None:
        try:
            sock = await connect(self.settings.address, CONNECT_WITHIN)
        except (OSError, ValueError):
            self.connecting = None
            self.core.list_unavailable(self.clock())
            return
        self.connecting = None
        self.link = Link(self.hub, sock, Codec("list"), self.hello, self._event, self._lost)
        self._call(self.link)

    def _call(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        self.heard = loop.time()
        link.send(1, ListAsk(True))
        if self._looking is None:
            self._looking = loop.call_later(LOOK, self._look)

    def _look(self) -> None:
        """Guards against a list that stands still, wherever in a word: silence looks like no news."""
        loop, self._looking = asyncio.get_running_loop(), None
        if self.ended or self.link is None or self.link.lost:
            return
        if loop.time() - self.heard > SILENT:
            self.link.abort("the list is silent")
        else:
            self._looking = loop.call_later(LOOK, self._look)

    def _event(self, link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or not isinstance(event.record, ListOf):
            return
        update = event.record
        self.rows += update.rows
        if update.more:
            return
        rows, self.rows = tuple(self.rows), []
        self.heard = asyncio.get_running_loop().time()
        if not (rows or update.full or update.failed) and update.version == self.core.list_version:
            return  # no news
        self.core.apply_list_update(self.clock(), ListOf(update.full, update.version, rows, False, update.failed))

    def _lost(self, link: Link, why: str) -> None:
        self.rows = []
        if not self.ended:
            self.core.list_unavailable(self.clock())
