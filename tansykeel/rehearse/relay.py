"""The fault relay of a rehearsal on sockets: every connection between two gateways goes through it, frame by frame.

For each pair and direction of opening it listens on a port of its own. It knows frames by their heads and words by
their records, so that whole words are lost, repeated or overtaken and never a part of one. What passes is written
down: the judge believes what was seen here, and no gateway's own word.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from tansykeel.audit.records import Recorder, Said, now_us
from tansykeel.protocol.frames import DECODERS, HEAD_BYTES, HEADER, MOST_FIELDS, Hello, Kind, Watch
from tansykeel.rehearse.faults import Faults, Way, ways_of
from tansykeel.standin.control import commands
from tansykeel.transport.sockets import address_of

MOST_HELD = 1 << 20  # bytes kept back on one way of one connection; then no more is read
FLUSH = 0.2  # seconds between writings of what passed
WORDS = (Kind.WATCH, Kind.SHARE)


class Relay:
    """`targets` are the gateways' own addresses by number, `zones` where each lies."""

    def __init__(self, targets: list[str], zones: list[int], names: list[str], seed: int, record: Path) -> None:
        self.targets, self.zones, self.names = targets, zones, names
        self.faults = Faults(Random(seed))
        self.recorder = Recorder(record)
        self.joints: set[Joint] = set()
        self.servers: list[asyncio.Server] = []

    async def open(self) -> dict[str, int]:
        """A port for each pair, as `from-to`."""
        ports = {}
        for a in range(len(self.targets)):
            for b in range(len(self.targets)):
                if a != b:
                    server = await asyncio.start_server(self._taker(a, b), "127.0.0.1", 0)
                    self.servers.append(server)
                    ports[f"{a}-{b}"] = server.sockets[0].getsockname()[1]
        return ports

    def cause(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        ways = ways_of(detail, self.zones)
        self.faults.cause(now_us(), verb, int(for_s * 1e6), detail, ways)
        if verb == "link_half_open":
            for joint in list(self.joints):
                joint.half_open(ways)

    def end(self) -> None:
        for server in self.servers:
            server.close()
        for joint in list(self.joints):
            joint.end()
        self.recorder.close()

    def _taker(self, a: int, b: int) -> Callable[..., Any]:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            joint = Joint(self, a, b)
            self.joints.add(joint)
            try:
                await joint.run(reader, writer)
            finally:
                self.joints.discard(joint)

        return take


class Joint:
    """One connection that gateway `a` opened to `b`. The far half is opened once something comes out for it."""

    def __init__(self, relay: Relay, a: int, b: int) -> None:
        self.relay, self.a, self.b = relay, a, b
        self.lanes: list[Lane] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there = Lane(self.relay, (self.a, self.b))
        back = Lane(self.relay, (self.b, self.a))
        back.writer = writer
        self.lanes = [there, back]
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(work) for work in (there.read(reader), self._onward(there, back), back.write())]
        try:
            await asyncio.wait(self.tasks)
        finally:
            self.end()

    async def _onward(self, there: Lane, back: Lane) -> None:
        try:
            await there.something()
            host, port = address_of(self.relay.targets[self.b])
            reader, there.writer = await asyncio.open_connection(host, port)
        except OSError:
            return self.end()  # it is not there: whoever asked sees its connection end
        self.tasks.append(asyncio.get_running_loop().create_task(back.read(reader)))
        await there.write()

    def half_open(self, ways: frozenset[Way]) -> None:
        """Whoever is told on a way sees the connection end; whoever tells does not, and tells nobody."""
        for lane in self.lanes:
            if lane.way in ways and lane.writer is not None:
                lane.swallows = True
                lane.writer.close()

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for lane in self.lanes:
            if lane.writer is not None:
                lane.writer.close()


class Lane:
    """One direction of one connection."""

    def __init__(self, relay: Relay, way: Way) -> None:
        self.relay, self.way = relay, way
        self.writer: asyncio.StreamWriter | None = None
        self.swallows = False
        self.hello: Hello | None = None
        self.heap: list[tuple[int, int, bytes]] = []  # when it comes out, order, frame; an empty one is the end
        self.count = self.held = 0
        self.news = asyncio.Event()
        self.room = asyncio.Event()

    async def read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                head = await reader.readexactly(HEAD_BYTES)
                kind, _, _, length, _ = HEADER.unpack_from(head)
                if length > MOST_FIELDS:
                    break
                self._came(kind, head + await reader.readexactly(length))
                while self.held > MOST_HELD:
                    self.room.clear()
                    await self.room.wait()
        except (asyncio.IncompleteReadError, OSError):
            pass
        self._put(self.relay.faults.passes(now_us(), self.way, 0, whole=False), b"")

    async def something(self) -> None:
        """Until the first frame comes out."""
        while not self.heap or self.heap[0][0] > now_us():
            await self._rest()

    async def write(self) -> None:
        assert self.writer is not None
        try:
            while True:
                await self.something()
                _, _, frame = heapq.heappop(self.heap)
                self.held -= len(frame)
                self.room.set()
                if self.swallows:
                    continue
                if not frame:
                    break
                self.writer.write(frame)
                await self.writer.drain()
        except OSError:
            pass
        self.writer.close()

    async def _rest(self) -> None:
        self.news.clear()
        rest = max(self.heap[0][0] - now_us(), 0) / 1e6 if self.heap else None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.news.wait(), rest)

    def _came(self, kind: int, frame: bytes) -> None:
        now = now_us()
        whole = kind in WORDS
        out = [] if self.swallows and whole else self.relay.faults.passes(now, self.way, len(frame), whole=whole)
        if kind == Kind.HELLO:
            self.hello = self._record(Kind.HELLO, frame)
        elif kind == Kind.WATCH and self.hello is not None:
            watch: Watch | None = self._record(Kind.WATCH, frame)
            if watch is not None:
                for passed in out or [0]:
                    self.relay.recorder.add(
                        Said(
                            now,
                            passed,
                            self.hello.name,
                            self.hello.boot,
                            self.relay.names[self.way[1]],
                            watch.what,
                            watch.word,
                        )
                    )
        self._put(out, frame)

    def _record(self, kind: Kind, frame: bytes) -> Any:
        """None for one that its receiver will refuse."""
        try:
            return DECODERS[kind].decode(frame[HEAD_BYTES:])
        except msgspec.DecodeError:
            return None

    def _put(self, moments: list[int], frame: bytes) -> None:
        for moment in moments:
            self.count += 1
            self.held += len(frame)
            heapq.heappush(self.heap, (moment, self.count, frame))
        self.news.set()


async def serve(plan: dict[str, Any], record: Path, say: Callable[..., None]) -> None:
    """Relay until standard input ends; each line of it is a trouble. `plan`: targets, zones, names, seed."""
    relay = Relay(plan["targets"], plan["zones"], plan["names"], plan["seed"], record)
    say(event="ready", ports=await relay.open())
    over = asyncio.Event()

    def carry_out(told: dict[str, Any]) -> None:
        if told["verb"] == "end":
            over.set()
        else:
            relay.cause(told["verb"], told["for_s"], told["detail"])

    controls = asyncio.create_task(commands(carry_out))
    while not over.is_set():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(over.wait(), FLUSH)
        relay.recorder.flush()
    controls.cancel()
    relay.end()
