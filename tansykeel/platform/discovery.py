"""Follows discovery: one watch from the version that is known. When a failed one is tried again the module says."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import MICROS
from tansykeel.errors import Problem
from tansykeel.http1 import codec
from tansykeel.platform.config import PHASES, Member, Members
from tansykeel.platform.objects import Objects
from tansykeel.transport.sockets import address_of, open_socket
from tansykeel.transport.stream import Stream

SILENT = 2.5  # seconds without a byte (a line comes each 2 s) after which a second watch is opened beside the first
AGAIN = 1.0  # seconds for a watch's first byte, then one more is opened: what all miss counts as told in 6 s
MOST_OBJECT = 4 << 20  # bytes of one object
_decode = msgspec.json.Decoder(Members).decode


@dataclass(frozen=True, slots=True)
class Row:
    name: str
    address: str
    zone: int
    shard: int
    state: str
    boot: int
    age: int


@dataclass(frozen=True, slots=True)
class Update:
    full: bool
    version: int
    rows: list[Row]
    failed: bool = False


def row_of(member: Member, zones: dict[str, int]) -> Row:
    """`up_since_ms` is by the clock that all machines share; its store is as old as that says."""
    since = int(member.up_since_ms)
    age = max(int((time.time() * 1000 - since) * 1000), MICROS) if since > 0 else 0
    return Row(member.id, member.host_port, zones.get(member.locality, 0), member.cell, PHASES[member.phase],
               max(since, 0), age)


class Watch:
    """One connection on which discovery tells what changes."""

    def __init__(self, owner: Discovery, address: str) -> None:
        self.owner = owner
        self.reader = codec.StreamReader()
        self.objects = Objects(MOST_OBJECT)
        self.heard = owner.now()
        self.spoke = False
        host = address_of(address)
        self.stream = Stream(open_socket(host), self._data, self._ended)
        try:
            self.stream.connect(host, self._up)
        except OSError:
            self.stream.close()
            raise
        self.host = address.encode()

    def _up(self) -> None:
        target = b"/catalog/members?stream=1&index=%d" % self.owner.revision
        self.stream.write(codec.request(b"GET", target, self.host))

    def _data(self, data: bytes) -> None:
        self.heard, self.spoke = self.owner.now(), True
        self.reader.feed(data)
        try:
            part = self.reader.take()
            if part is None:
                return
            if part[0] != 200:
                raise codec.Malformed(f"status {part[0]}")
            for text in self.objects.feed(part[1]):
                self.owner.told(self, _decode(text))
        except (msgspec.MsgspecError, ValueError) as error:
            self.stream.close()
            return self._ended(str(error), error.do if isinstance(error, Problem) else "")
        if self.reader.ended:
            self.stream.close()
            self._ended("the watch ended")

    def _ended(self, why: str, do: str = "") -> None:
        self.owner.ended(self, why, do)


class Discovery:
    """`changed()` after each change that the core was told of."""

    def __init__(self, core: Core, address: str, zones: dict[str, int], revision: int, clock: Callable[[], int],
                 now: Callable[[], float], changed: Callable[[], None], note: Callable[..., Any]) -> None:
        self.core, self.address, self.zones, self.revision = core, address, zones, revision
        self.clock, self.now, self.changed, self.note = clock, now, changed, note
        self.watches: list[Watch] = []  # the newest last; an older one goes once a newer one speaks
        self.first = asyncio.Event()  # a list was told
        self.over = False

    def ask(self) -> None:
        """Watch, if nothing is being watched."""
        if not self.watches and not self.over:
            self._open()

    def move(self, address: str) -> None:
        """Another address from now on. What is watched at the old one is let go once the new one speaks."""
        if address != self.address:
            self.note("discovery moves", to=address)
            self.address = address
            self._open()

    def look(self) -> None:
        """Guards against a watch that fell silent without an end, wherever in a line it did: another is opened beside
        it, and one more where that says nothing either."""
        now = self.now()
        if self.watches and now - (newest := self.watches[-1]).heard > (SILENT if newest.spoke else AGAIN):
            self.note("discovery is silent")
            for watch in [watch for watch in self.watches[:-1] if now - watch.heard > SILENT]:
                watch.stream.close()
                self.watches.remove(watch)
            self._open()

    def told(self, watch: Watch, members: Members) -> None:
        for older in self.watches[:self.watches.index(watch)]:
            older.stream.close()
            self.watches.remove(older)
        if members.revision < self.revision:
            return
        self.revision = members.revision
        rows = [row_of(member, self.zones) for member in members.members]
        self.core.listed(self.clock(), Update(members.complete, members.revision, rows))
        if rows or members.complete:
            self.note("list", revision=members.revision, complete=members.complete,
                      members=[(row.name, row.state) for row in rows[:20]])
        self.first.set()
        self.changed()

    def ended(self, watch: Watch, why: str, do: str = "") -> None:
        if watch in self.watches:
            self.watches.remove(watch)
        self.note("watch ended", why=why, **({"do": do} if do else {}))
        if not self.watches and not self.over:
            self.core.list_lost(self.clock())

    def end(self) -> None:
        self.over = True
        for watch in self.watches:
            watch.stream.close()
        self.watches.clear()

    def _open(self) -> None:
        try:
            self.watches.append(Watch(self, self.address))
        except OSError as error:
            self.note("no watch", why=error.strerror or type(error).__name__)
            if not self.watches:
                self.core.list_lost(self.clock())
