"""A stand-in for the list of stores: pushes changes or answers when asked, late by a stated time, with a capacity.

Rows and troubles come as JSON lines on standard input.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from tansykeel.audit.records import Listed, Recorder, now_us
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import MOST_ROWS, Hello, ListAsk, ListOf, Row
from tansykeel.standin.book import Book
from tansykeel.standin.control import commands
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

QUIET = 2.0  # seconds without a change after which an empty one is said, so that watchers can tell it from silence


class ListService:
    def __init__(self, record: Path, late_s: float, call_ms: float) -> None:
        self.record = Recorder(record)
        self.book = Book(late_s, call_ms / 1000)
        self.hub = Hub(Limits())
        self.watchers: set[Link] = set()
        self.links: set[Link] = set()
        self.ended = asyncio.Event()

    async def serve(self, address: str, ready: Any = lambda port: None) -> None:
        listener = listening(address)
        self.hub.start()
        accepting = asyncio.create_task(accept_all(listener, self._accept))
        controls = asyncio.create_task(commands(self._command))
        quiet = asyncio.create_task(self._stay_alive())
        ready(listener.getsockname()[1])
        await self.ended.wait()
        accepting.cancel()
        controls.cancel()
        quiet.cancel()
        await self.hub.stop()
        self.record.close()

    async def _stay_alive(self) -> None:
        while True:
            await asyncio.sleep(QUIET)
            for link in list(self.watchers):
                link.send(1, ListOf(False, self.book.version, ()))

    def _accept(self, sock: Any) -> None:
        if time.monotonic() < self.book.gone_until:
            sock.close()
            return
        self.links.add(Link(self.hub, sock, Codec("edge"), Hello(1, "list", "list"), self._event, self._gone))

    def _gone(self, link: Link, why: str) -> None:
        self.watchers.discard(link)
        self.links.discard(link)

    def _event(self, link: Link, event: Event) -> None:
        if not isinstance(event, Frame) or not isinstance(event.record, ListAsk):
            return
        now = time.monotonic()
        ready = self.book.asked(now)
        if ready is None:
            link.send(event.stream, ListOf(False, 0, (), False, True))
        else:
            asyncio.get_running_loop().call_later(ready - now, self._answer, link)

    def _answer(self, link: Link) -> None:
        if not link.lost:
            self.watchers.add(link)
            self._send(link, True, self.book.all_rows(time.monotonic()))

    def _command(self, command: dict[str, Any]) -> None:
        now = time.monotonic()
        match command["verb"]:
            case "rows":
                asyncio.get_running_loop().call_later(self.book.heard(now) - now, self._change, command["rows"], now)
            case "end":
                self.ended.set()
            case verb:
                self.book.trouble(verb, now, command["for_s"], command)
                if verb == "list_gone":
                    for link in list(self.links):
                        link.abort("the list is gone", reset=True)

    def _change(self, rows: list[dict[str, Any]], of: float) -> None:
        told = self.book.change(rows, of, time.monotonic())
        for link in list(self.watchers):
            self._send(link, False, told)

    def _send(self, link: Link, full: bool, rows: tuple[Row, ...]) -> None:
        for start in range(0, max(len(rows), 1), MOST_ROWS):
            page = rows[start : start + MOST_ROWS]
            link.send(1, ListOf(full, self.book.version, page, start + MOST_ROWS < len(rows)))
        edge = link.peer.name if link.peer else "?"
        self.record.add(Listed(now_us(), edge, full, tuple((row.name, row.state, row.boot) for row in rows)))
        self.record.flush()
