"""A stand-in store on loopback: the model behind the gateway's protocol, objects and marks in lmdb.

Faults come as JSON lines on standard input, one verb each; the end of the input ends the process.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import numpy

from tansykeel.audit.records import Arrived, Began, Ended, Fell, Ran, Recorder, Told, Up, now_us
from tansykeel.protocol.codec import Codec, Event, Piece
from tansykeel.protocol.frames import Cancel, Cut, HandOffOf, Hello, OutcomeOf, Probe, Probed
from tansykeel.standin import content
from tansykeel.standin.control import commands
from tansykeel.standin.model import NEVER, Job, Model, Shape
from tansykeel.transport.link import Hub, Limits, Link, accept_all, listening

MAP_SIZE = 4 << 30  # sparse: what lmdb may grow to
FLUSH = 0.2  # seconds between writes of the record


def ms() -> float:
    return time.monotonic_ns() / 1e6


class Work:
    """One hand-off at the store."""

    __slots__ = ("link", "stream", "request", "parts", "missing", "job")

    def __init__(self, link: Link, stream: int, request: HandOffOf) -> None:
        self.link, self.stream, self.request = link, stream, request
        self.parts: list[bytes] = []
        self.missing = request.body
        self.job: Job | None = None


class Use:
    """Units served for each volume by gateway, told to the others late."""

    def __init__(self) -> None:
        self.late = 0.0  # ms
        self.coming: deque[tuple[float, str, str, float]] = deque()
        self.total: dict[str, float] = {}
        self.by_edge: dict[tuple[str, str], float] = {}
        self.told: dict[tuple[str, str], float] = {}

    def served(self, now: float, volume: str, edge: str, units: float) -> None:
        self.coming.append((now, volume, edge, units))

    def elsewhere(self, now: float, volume: str, edge: str) -> int:
        while self.coming and self.coming[0][0] <= now - self.late:
            _, v, e, units = self.coming.popleft()
            self.total[v] = self.total.get(v, 0.0) + units
            self.by_edge[v, e] = self.by_edge.get((v, e), 0.0) + units
        others = self.total.get(volume, 0.0) - self.by_edge.get((volume, edge), 0.0)
        new = int(others - self.told.get((volume, edge), 0.0))
        self.told[volume, edge] = self.told.get((volume, edge), 0.0) + new
        return new


class Store:
    def __init__(self, name: str, shard: int, zone: int, shape: Shape, data: Path, record: Path, seed: int,
                 tell: Callable[..., None] = lambda **fields: None) -> None:
        self.tell = tell  # told of each start: boot, address
        self.name, self.shard, self.zone, self.shape = name, shard, zone, shape
        self.record = Recorder(record)
        # Objects belong to the shard, so that a store that replaces this one holds the same; marks to all, for a
        # stamped category may say that all stores, or those of a zone, drop its repeats.
        self.objects = self._open(data / f"shard-{shard}")
        self.marks = self._open(data / "marks")
        self.generator = numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, shard])))
        self.hub = Hub(Limits())
        self.links: set[Link] = set()
        self.works: dict[tuple[Link, int], Work] = {}
        self.use = Use()
        self.listener: Any = None
        self.accepting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.refuse_until = self.silent_until = self.reset_until = 0.0
        self.draining = False
        self.boot = 0
        self.ended = asyncio.Event()
        self.verbs = {
            "slow": self._fault("slow"), "errors": self._fault("errors"), "full": self._fault("full"),
            "neighbour": self._fault("neighbour"), "stand": self._fault("stand"), "heavy": self._heavy,
            "pauses": self._pauses, "late": self._late, "drain": self._drain, "die": self._die,
            "restart": self._restart, "refuse": self._refuse, "silent": self._silent, "reset": self._reset,
            "cut": self._cut, "end": lambda _: self.ended.set(),
        }

    @staticmethod
    def _open(path: Path) -> Any:
        path.mkdir(parents=True, exist_ok=True)
        return lmdb.open(str(path), map_size=MAP_SIZE, sync=False, metasync=False, max_readers=64)

    async def serve(self, address: str, cold: bool) -> None:
        self.hub.start()
        self.listener = listening(address)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self._boot(cold)
        controls = asyncio.create_task(commands(self._command))
        flushing = asyncio.create_task(self._flush())
        await self.ended.wait()
        for task in (controls, flushing):
            task.cancel()
        await self.hub.stop()
        self.record.close()

    # Its life

    def _boot(self, cold: bool) -> None:
        now = ms()
        self.born, self.boot, self.draining = now, self.boot + 1, False
        self.boot_id = (time.time_ns() & (2**56 - 1)) | 1
        self.model = Model(self.shape, now, cold, self.generator.random, self.generator.standard_normal)
        self.cold_start = cold
        self.record.add(Up(now_us(), self.name, self.boot_id, self.shard, self.zone, cold, self.model.full_units))
        self.accepting = asyncio.get_running_loop().create_task(accept_all(self.listener, self._accept))
        self.tell(event="up", address=self.address, boot=self.boot_id)

    def _down(self) -> None:
        """Every connection is reset and nothing listens; work in hand is lost."""
        if self.accepting:
            self.accepting.cancel()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        for link in list(self.links):
            link.abort("down", reset=True)
        self.works.clear()
        asyncio.get_running_loop().call_soon(self.listener.close)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH)
            self.record.flush()

    # Connections

    def _accept(self, sock: Any) -> None:
        if ms() < max(self.reset_until, self.refuse_until) or len(self.links) >= self.shape.connections:
            sock.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER: the peer sees a reset
            sock.close()
            return
        silent = ms() < self.silent_until
        age = int((ms() - self.born) * 1000) if self.cold_start else 0
        hello = Hello(1, "store", self.name, self.boot_id, age)
        link = Link(self.hub, sock, Codec("edge"), hello, self._ignore if silent else self._event, self._gone)
        if silent:
            link.outgoing.clear()
        self.links.add(link)

    def _ignore(self, link: Link, event: Event) -> None:
        pass

    def _gone(self, link: Link, why: str) -> None:
        self.links.discard(link)
        for work in [work for (owner, _), work in self.works.items() if owner is link]:
            self._drop(work, "lost")

    def _event(self, link: Link, event: Event) -> None:
        if ms() < self.silent_until:
            return
        if isinstance(event, Piece):
            work = self.works.get((link, event.stream))
            if work:
                work.parts.append(event.data)
                work.missing -= len(event.data)
                if not work.missing:
                    self._take(work)
            return
        match event.record:
            case HandOffOf() as request:
                work = self.works[link, event.stream] = Work(link, event.stream, request)
                if request.body:
                    self.record.add(Began(now_us(), self.name, self._edge(link), request.task, request.number))
                else:
                    self._take(work)
            case Cancel() | Cut():
                if work := self.works.get((link, event.stream)):
                    self._cancel(work)
            case Probe():
                link.send(event.stream, Probed(self.model.load()))

    @staticmethod
    def _edge(link: Link) -> str:
        return link.peer.name if link.peer else "?"

    # Work

    def _take(self, work: Work) -> None:
        request, now = work.request, ms()
        self.record.add(Arrived(now_us(), self.name, self.boot_id, self._edge(work.link), request.task,
                                request.number, request.volume, request.key, request.units))
        if request.shard not in (-1, self.shard):
            return self._tell(work, "moot")
        if self.draining:
            return self._tell(work, "full")
        self._advance(now)
        work.job = Job(work, request.units, request.writes, (request.volume, request.key), request.number)
        was_up = not self.model.fallen
        taken = self.model.offer(now, work.job)
        if self.model.fallen and was_up:
            self.record.add(Fell(now_us(), self.name))
        if taken != "taken":
            self._tell(work, taken)
        self._arm()

    def _cancel(self, work: Work) -> None:
        self.record.add(Ended(now_us(), self.name, work.request.task, work.request.number))
        if work.job is None or self.model.cancel(work.job):
            self._tell(work, "cancelled")
        # otherwise its work goes on, and its outcome is told when it ends

    def _drop(self, work: Work, how: str) -> None:
        """The connection is gone: nobody will hear; what runs goes on where the store is like that."""
        self.record.add(Ended(now_us(), self.name, work.request.task, work.request.number))
        if work.job is None or self.model.cancel(work.job):
            self.works.pop((work.link, work.stream), None)
            self.record.add(Told(now_us(), self.name, work.request.task, work.request.number, how))

    def _advance(self, now: float) -> None:
        for job in self.model.advance(now):
            self._done(job.handle)

    def _arm(self) -> None:
        if self.timer:
            self.timer.cancel()
        due = self.model.due()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(due - ms(), 0) / 1000, self._due) if due < NEVER else None

    def _due(self) -> None:
        self.timer = None
        self._advance(ms())
        self._arm()

    def _done(self, work: Work) -> None:
        request, link = work.request, work.link
        effect = self._effect(request, b"".join(work.parts))
        self.record.add(Ran(now_us(), self.name, request.task, request.number, request.mark, effect))
        if link.lost:
            self.works.pop((link, work.stream), None)
            self.record.add(Told(now_us(), self.name, request.task, request.number, "lost"))
            return
        edge = self._edge(link)
        self.use.served(ms(), request.volume, edge, request.units)
        self._tell(work, "delivered", b"" if request.writes else self._read(request))

    def _effect(self, request: HandOffOf, body: bytes) -> bool:
        """Do the write, unless its mark is known within the group that drops repeats."""
        if request.repeat == "stamped":
            group = {"all": "all", "zone": f"zone-{self.zone}", "shard": f"shard-{self.shard}"}[request.scope]
            name = f"{group}/{request.mark}".encode()
            with self.marks.begin(write=True) as marks:
                seen = marks.get(name)
                if seen is not None and now_us() - int(seen) < request.window:
                    return False
                marks.put(name, str(now_us()).encode())
        if request.writes:
            with self.objects.begin(write=True) as objects:
                objects.put(f"{request.volume}/{request.key}".encode(), body)
        return True

    def _read(self, request: HandOffOf) -> bytes:
        with self.objects.begin() as objects:
            found = objects.get(f"{request.volume}/{request.key}".encode())
        if found is not None and len(found) == request.size:
            return bytes(found)
        return content.body(request.key, 0, request.size)

    def _tell(self, work: Work, how: str, body: bytes = b"") -> None:
        request, link = work.request, work.link
        self.works.pop((link, work.stream), None)
        if link.lost:
            return
        self.record.add(Told(now_us(), self.name, request.task, request.number, how))
        elsewhere = self.use.elsewhere(ms(), request.volume, self._edge(link)) if how == "delivered" else 0
        link.send(work.stream, OutcomeOf(how, self.shard, self.model.load(), -1, elsewhere,  # type: ignore[arg-type]
                                         len(body)))
        if body:
            link.send_body(work.stream, [body])

    # Faults: each verb with its figures, `for_s` seconds long where it lasts

    def _command(self, command: dict[str, Any]) -> None:
        self._advance(ms())
        self.verbs[command["verb"]](command)
        self._arm()

    def _fault(self, name: str) -> Any:
        def start(command: dict[str, Any]) -> None:
            self.model.faults.put(name, ms() + command["for_s"] * 1000, command.get("how_much", 1.0))
        return start

    def _heavy(self, command: dict[str, Any]) -> None:
        self._fault("heavy")(command)
        self.model.faults.put("heavy_share", ms() + command["for_s"] * 1000, command["share"])

    def _pauses(self, command: dict[str, Any]) -> None:
        now = ms()
        self.model.pauses(now, now + command["for_s"] * 1000, command["every_s"] * 1000, command["pause_ms"])

    def _late(self, command: dict[str, Any]) -> None:
        self.use.late = command["late_s"] * 1000
        asyncio.get_running_loop().call_later(command["for_s"], setattr, self.use, "late", 0.0)

    def _refuse(self, command: dict[str, Any]) -> None:
        self.refuse_until = ms() + command["for_s"] * 1000

    def _reset(self, command: dict[str, Any]) -> None:
        """Connections that stand are reset too."""
        self.reset_until = ms() + command["for_s"] * 1000
        self._cut(command)

    def _cut(self, command: dict[str, Any]) -> None:
        for link in list(self.links):
            link.abort("cut", reset=True)

    def _silent(self, command: dict[str, Any]) -> None:
        """Half-open: what comes is read and let go, nothing is answered."""
        self.silent_until = ms() + command["for_s"] * 1000

    def _drain(self, command: dict[str, Any]) -> None:
        self.draining = True

    def _die(self, command: dict[str, Any]) -> None:
        self._down()
        self.record.close()
        os._exit(0)

    def _restart(self, command: dict[str, Any]) -> None:
        self._down()

        def up() -> None:
            self.listener = listening(self.address)
            self._boot(cold=True)
        asyncio.get_running_loop().call_later(max(command["down_s"], 0.05), up)
