"""Follows the list of stores over one connection to the list service; the decision module says when to ask.

The service sends an empty change after each 2 s without news. A gateway is expected to know a change 6 s after the
service could be reached. So that a stalled connection is noticed well before, it is closed 2.5 s after the last
complete message, and the module then asks again.
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

CONNECT_TIMEOUT = 1.0  # seconds; a connection that is not made by then counts as a failed call
SILENCE_TIMEOUT = 2.5  # seconds without a complete message, or an answer, after which the connection is closed
CHECK_INTERVAL = 0.25  # seconds between checks for silence


class StoreListClient:
    """Requests the list of stores, passes it on to the core, and closes a connection that is silent for too long."""

    def __init__(self, core: Core, hub: Hub, settings: ListSettings, hello: Hello, clock: Callable[[], int]) -> None:
        self.core, self.hub, self.settings, self.hello, self.clock = core, hub, settings, hello, clock
        self.link: Link | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.rows: list[Row] = []  # of a message that is not complete yet
        self.ended = False
        self.last_message = 0.0  # by the loop's clock: when the last complete message came or the last request went
        self._check: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Request the list and its changes, over the open connection or a new one."""
        if self.ended:
            return
        if self.link is not None and not self.link.lost:
            self._send_request(self.link)
        elif self.connecting is None:
            self.connecting = asyncio.get_running_loop().create_task(self._connect())

    def end(self) -> None:
        """Stop for good: no more requests, and nothing more for the core."""
        self.ended = True
        if self.connecting:
            self.connecting.cancel()
        if self._check:
            self._check.cancel()

    async def _connect(self) -> None:
        try:
            sock = await connect(self.settings.address, CONNECT_TIMEOUT)
        except (OSError, ValueError):
            self.connecting = None
            self.core.list_unavailable(self.clock())
            return
        self.connecting = None
        self.link = Link(self.hub, sock, Codec("list"), self.hello, self._on_event, self._on_lost)
        self._send_request(self.link)

    def _send_request(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        self.last_message = loop.time()
        link.send(1, ListAsk(True))
        if self._check is None:
            self._check = loop.call_later(CHECK_INTERVAL, self._check_silence)

    def _check_silence(self) -> None:
        """Close the connection after too long a silence, also in the middle of a message: a stalled service would
        otherwise look like one without news."""
        loop, self._check = asyncio.get_running_loop(), None
        if self.ended or self.link is None or self.link.lost:
            return
        if loop.time() - self.last_message > SILENCE_TIMEOUT:
            self.link.abort("the list service is silent")
        else:
            self._check = loop.call_later(CHECK_INTERVAL, self._check_silence)

    def _on_event(self, link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or not isinstance(event.record, ListOf):
            return
        update = event.record
        self.rows += update.rows
        if update.more:
            return
        rows, self.rows = tuple(self.rows), []
        self.last_message = asyncio.get_running_loop().time()
        if not (rows or update.full or update.failed) and update.version == self.core.list_version:
            return  # an empty change: no news
        self.core.apply_list_update(self.clock(), ListOf(update.full, update.version, rows, False, update.failed))

    def _on_lost(self, link: Link, why: str) -> None:
        self.rows = []
        if not self.ended:
            self.core.list_unavailable(self.clock())
