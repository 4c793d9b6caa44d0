"""A stand-in for the list of stores: pushes changes or answers when asked, late by a stated time, with a capacity.

Rows come as JSON lines on standard input. A call takes `call_ms` of the one service there is; one that would wait
longer than `timeout_ms` fails.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from tansykeel.audit.records import Listed, Recorder, now_us
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import MOST_ROWS, Hello, ListAsk, ListOf, Row
from tansykeel.standin.control import commands
from tansykeel.transport.link import Hub, Limits, Link, accept_all, listening


class ListService:
    def __init__(self, record: Path, late_s: float, call_ms: float, timeout_ms: float = 2000.0) -> None:
        self.record = Recorder(record)
        self.late, self.call, self.timeout = late_s, call_ms / 1000, timeout_ms / 1000
        self.hub = Hub(Limits())
        self.version = 1
        self.rows: dict[str, tuple[Row, float]] = {}  # with the moment that its age belongs to
        self.watchers: set[Link] = set()
        self.links: set[Link] = set()
        self.busy_until = 0.0
        self.extra_late = self.late_until = self.gone_until = 0.0
        self.ended = asyncio.Event()
        self.last_push = 0.0

    async def serve(self, address: str, ready: Any = lambda port: None) -> None:
        listener = listening(address)
        self.hub.start()
        accepting = asyncio.create_task(accept_all(listener, self._accept))
        controls = asyncio.create_task(commands(self._command))
        ready(listener.getsockname()[1])
        await self.ended.wait()
        accepting.cancel()
        controls.cancel()
        await self.hub.stop()
        self.record.close()

    def _accept(self, sock: Any) -> None:
        if time.monotonic() < self.gone_until:
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
        start = max(self.busy_until, now)
        if start - now > self.timeout:
            link.send(event.stream, ListOf(False, 0, (), False, True))
            return
        self.busy_until = start + self.call
        asyncio.get_running_loop().call_later(self.busy_until - now, self._answer, link)

    def _answer(self, link: Link) -> None:
        if not link.lost:
            self.watchers.add(link)
            self._send(link, True, self.version, list(self.rows.values()))

    def _command(self, command: dict[str, Any]) -> None:
        match command["verb"]:
            case "rows":
                self._later(command["rows"])
            case "late":
                self.extra_late, self.late_until = command["late_s"], time.monotonic() + command["for_s"]
            case "gone":
                self.gone_until = time.monotonic() + command["for_s"]
                for link in list(self.links):
                    link.abort("the list is gone", reset=True)
            case "end":
                self.ended.set()

    def _later(self, rows: list[dict[str, Any]]) -> None:
        """Changes come late, and in their order."""
        now = time.monotonic()
        late = 0.0 if not self.rows else self.late + (self.extra_late if now < self.late_until else 0.0)
        self.last_push = max(self.last_push, now + late)
        asyncio.get_running_loop().call_later(self.last_push - now, self._change, rows, now)

    def _change(self, rows: list[dict[str, Any]], of: float) -> None:
        changed = [(Row(**row), of) for row in rows]
        self.version += 1
        self.rows.update({row.name: (row, moment) for row, moment in changed})
        for link in list(self.watchers):
            self._send(link, False, self.version, changed)
        for row, _ in changed:
            if row.state == "gone":
                del self.rows[row.name]

    def _send(self, link: Link, full: bool, version: int, rows: list[tuple[Row, float]]) -> None:
        now = time.monotonic()
        told = [Row(row.name, row.address, row.zone, row.shard, row.state, row.boot,
                    row.age + int((now - moment) * 1e6) if row.age else 0) for row, moment in rows]
        for start in range(0, max(len(told), 1), MOST_ROWS):
            page = tuple(told[start:start + MOST_ROWS])
            link.send(1, ListOf(full, version, page, start + MOST_ROWS < len(told)))
        edge = link.peer.name if link.peer else "?"
        self.record.add(Listed(now_us(), edge, full, tuple((row.name, row.state, row.boot) for row in told)))
        self.record.flush()
