"""Follows discovery: one watch from the version that is known. When a failed one is tried again the module says.

What discovery has counts as told 6 s after it could be reached, whatever came meanwhile, so one clock runs for the
last word: a whole object, or an empty line between two. A head, part of an object, or empty lines within one are none.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from tansykeel.edge.core import Core
from tansykeel.edge.tasks import MICROSECONDS_PER_TICK
from tansykeel.errors import Problem
from tansykeel.http1 import codec
from tansykeel.platform.config import PHASES, Member, Members
from tansykeel.platform.objects import Objects
from tansykeel.platform.start_age import StartAge
from tansykeel.transport.sockets import address_of, lacks_descriptor, open_socket
from tansykeel.transport.stream import Stream

SILENT = 2.5  # seconds without a word (a line comes each 2 s) after which a second watch is opened beside the first
AGAIN = 1.0  # seconds for the first byte of a watch, and for the first word of one beside a silent one
MOST_WATCHES = 4  # at once
LONGEST_WAIT = 12.0  # seconds for which the oldest watch without a word is kept though others are opened
MOST_OBJECT = 4 << 20  # bytes of one object
MICROSECONDS = 1_000_000  # in a second
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


class RowReader:
    """Turns members of discovery's list into rows. Reads the wall clock, which may be stepped: see `start_age`."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.start_age = StartAge(time.time(), time.monotonic())  # wall clock: a later step shows against this reading

    def row(self, member: Member, known_without: float | None) -> Row:
        """Return the member's row. `known_without`: when the list was last known to be without this change."""
        since = max(int(member.up_since_ms), 0)
        age = 0
        if since:
            # wall clock: starts are told by it; of this and the first reading the younger age counts
            seconds = self.start_age.age(since, time.time(), time.monotonic(), known_without)
            age = max(int(seconds * MICROSECONDS), MICROSECONDS_PER_TICK)
        zone = self.zones.get(member.locality, 0)
        return Row(member.id, member.host_port, zone, member.cell, PHASES[member.phase], since, age)


class Watch:
    """One connection on which discovery tells what changes."""

    def __init__(self, owner: Discovery, address: str, index: int) -> None:
        self.owner, self.index = owner, index
        self.reader = codec.StreamReader()
        self.objects = Objects(MOST_OBJECT)
        self.address, self.opened = address, owner.now()
        self.spoke = self.told = False  # whether a byte came, and a word
        host = address_of(address)
        self.stream = Stream(open_socket(host), self._data, self._ended)
        try:
            self.stream.connect(host, self._up)
        except OSError:
            self.stream.close()
            raise
        self.host = address.encode()

    def _up(self) -> None:
        target = b"/catalog/members?stream=1&index=%d" % self.index
        self.stream.write(codec.request(b"GET", target, self.host))

    def _data(self, data: bytes) -> None:
        self.spoke = True
        self.reader.feed(data)
        try:
            part = self.reader.take()
            if part is None:
                return
            if part[0] != 200:
                raise codec.Malformed(f"status {part[0]}")
            for text in self.objects.feed(part[1]):
                if not self.stream.closed:
                    self.owner.told(self, _decode(text))
            if part[1] and not self.objects.open and not self.stream.closed:
                self.owner.word(self)
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

    def __init__(
        self,
        core: Core,
        address: str,
        rows: RowReader,
        revision: int,
        clock: Callable[[], int],
        now: Callable[[], float],
        changed: Callable[[], None],
        free_descriptors: Callable[[], None],
        note: Callable[..., Any],
    ) -> None:
        self.core, self.address, self.rows, self.revision = core, address, rows, revision
        self.clock, self.now, self.changed, self.free_descriptors, self.note = (
            clock,
            now,
            changed,
            free_descriptors,
            note,
        )
        self.watches: list[Watch] = []  # the newest last; an older one goes once a newer one has a word
        self.heard = now()  # when the last word came
        self.last_word: float | None = None  # monotonic time of the last word of any watch, None before the first
        self.moved = False  # the address changed, and nothing was told there yet
        self.first_list = asyncio.Event()  # a list was told
        self.over = False

    def ensure_watch(self) -> None:
        """Watch, if nothing is being watched at the address."""
        if not self._here() and not self.over:
            self._open()

    def change_address(self, address: str) -> None:
        """Another address from now on. What spoke at the old one is let go once the new one has a word."""
        if address == self.address or self.over:
            return
        self.note("discovery moves", to=address)
        self.address, self.moved, self.heard = address, True, self.now()
        for watch in [watch for watch in self.watches if not watch.told]:
            self._let_go(watch)
        self._open()

    def check_timeouts(self) -> None:
        """Guards against a watch that fell silent without an end, wherever in an object it did, that trickles, or that
        never came up: another is opened beside it, and one more where that has no word either."""
        now, here = self.now(), self._here()
        if here and now - here[-1].opened > AGAIN and (not here[-1].spoke or now - self.heard > SILENT):
            self.note("discovery is silent")
            self._open()

    def caught_up(self) -> bool:
        """Whether all that discovery has said was read."""
        return all(watch.stream.quiet() for watch in self.watches)

    def word(self, watch: Watch) -> None:
        """It lives: what was opened before it is not needed any more."""
        watch.told = True
        self.last_word = time.monotonic()
        if watch.address == self.address:
            self.heard = self.now()
            for older in self.watches[: self.watches.index(watch)]:
                self._let_go(older)

    def told(self, watch: Watch, members: Members) -> None:
        known_without = self.last_word
        self.word(watch)
        first = self.moved and watch.address == self.address
        anew = members.revision < self.revision
        if anew and not first:
            return
        if anew and watch.index and not members.complete:
            # Guards against a discovery that counts from another beginning: what changed since our count is not all.
            self._let_go(watch)
            return self._open(index=0)
        self.moved = self.moved and not first
        self.revision = members.revision
        rows = [self.rows.row(member, known_without) for member in members.members]
        self.core.apply_list_update(self.clock(), Update(members.complete, members.revision, rows), anew)
        if rows or members.complete:
            self.note(
                "list",
                revision=members.revision,
                complete=members.complete,
                members=[(row.name, row.state) for row in rows[:20]],
            )
        self.first_list.set()
        self.changed()

    def ended(self, watch: Watch, why: str, do: str = "") -> None:
        if watch in self.watches:
            self.watches.remove(watch)
        self.note("watch ended", why=why, **({"do": do} if do else {}))
        self._lost()

    def stop(self) -> None:
        self.over = True
        for watch in list(self.watches):
            self._let_go(watch)

    def _here(self) -> list[Watch]:
        """The watches at the address that counts; what another still tells is no sign that this one lives."""
        return [watch for watch in self.watches if watch.address == self.address]

    def _let_go(self, watch: Watch) -> None:
        watch.stream.close()
        self.watches.remove(watch)

    def _lost(self) -> None:
        if not self._here() and not self.over:
            self.core.list_unavailable(self.clock())

    def _open(self, index: int | None = None) -> None:
        if not self._here():
            self.heard = self.now()
        try:
            self.watches.append(Watch(self, self.address, self.revision if index is None else index))
        except OSError as error:
            self.note("no watch", why=error.strerror or type(error).__name__)
            if lacks_descriptor(error):
                self.free_descriptors()
            return self._lost()
        if len(self.watches) > MOST_WATCHES:
            self._let_go(self._least_promising())

    def _least_promising(self) -> Watch:
        """Return the watch that makes room for another. Guards against a discovery that is slow or crowded: of those
        that wait for their first word the one opened first is kept for a while, and the next one goes."""
        waiting = [watch for watch in self._here()[:-1] if not watch.told]
        if not waiting:
            return self.watches[0]
        if len(waiting) > 1 and self.now() - waiting[0].opened <= LONGEST_WAIT:
            return waiting[1]
        return waiting[0]
