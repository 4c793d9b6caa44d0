"""Follows the list of stores: one connection to its service, asked when the module says so."""

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


class Listing:
    def __init__(self, core: Core, hub: Hub, settings: ListSettings, hello: Hello, clock: Callable[[], int]) -> None:
        self.core, self.hub, self.settings, self.hello, self.clock = core, hub, settings, hello, clock
        self.link: Link | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.rows: list[Row] = []
        self.ended = False

    def ask(self) -> None:
        """Watch the list: over the connection that stands, or a new one."""
        if self.ended:
            return
        if self.link is not None and not self.link.lost:
            self.link.send(1, ListAsk(True))
        elif self.connecting is None:
            self.connecting = asyncio.get_running_loop().create_task(self._connect())

    def end(self) -> None:
        self.ended = True
        if self.connecting:
            self.connecting.cancel()

    async def _connect(self) -> None:
        try:
            sock = await connect(self.settings.address, CONNECT_WITHIN)
        except (OSError, ValueError):
            self.connecting = None
            self.core.list_lost(self.clock())
            return
        self.connecting = None
        self.link = Link(self.hub, sock, Codec("list"), self.hello, self._event, self._lost)
        self.link.send(1, ListAsk(True))

    def _event(self, link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or not isinstance(event.record, ListOf):
            return
        update = event.record
        self.rows += update.rows
        if update.more:
            return
        rows, self.rows = tuple(self.rows), []
        self.core.listed(self.clock(), ListOf(update.full, update.version, rows, False, update.failed))

    def _lost(self, link: Link, why: str) -> None:
        self.rows = []
        if not self.ended:
            self.core.list_lost(self.clock())
