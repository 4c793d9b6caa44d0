"""A stand-in store on loopback: a store's behaviour behind the gateway's protocol, objects and marks in lmdb.

Faults come as JSON lines on standard input, one verb each; the end of the input ends the process.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import numpy

from tansykeel.audit.records import Began, Recorder, now_us
from tansykeel.protocol.codec import Codec, Event, Piece
from tansykeel.protocol.frames import Cancel, Cut, HandOffOf, Hello, OutcomeOf, Probe, Probed
from tansykeel.settings.shape import Shape
from tansykeel.standin import content
from tansykeel.standin.behaviour import Behaviour, Work
from tansykeel.standin.control import commands
from tansykeel.standin.model import NEVER
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

MAP_SIZE = 4 << 30  # sparse: what lmdb may grow to
FLUSH = 0.2  # seconds between writes of the record


def ms() -> float:
    return time.monotonic_ns() / 1e6


class LmdbMarks:
    """Marks that outlive a process, shared by all stores of a rehearsal."""

    def __init__(self, environment: Any) -> None:
        self.environment = environment

    def first(self, group: str, mark: int, window_us: int, now_us: int) -> bool:
        name = f"{group}/{mark}".encode()
        with self.environment.begin(write=True) as marks:
            seen = marks.get(name)
            if seen is not None and now_us - int(seen) < window_us:
                return False
            marks.put(name, str(now_us).encode())
        return True


class Coming:
    """A hand-off whose body is still on its way, or one that is at the store."""

    __slots__ = ("link", "stream", "parts", "missing", "work")

    def __init__(self, link: Link, stream: int, work: Work) -> None:
        self.link, self.stream, self.work = link, stream, work
        self.parts: list[bytes] = []
        self.missing = work.request.body


class Store:
    def __init__(
        self,
        name: str,
        shard: int,
        zone: int,
        shape: Shape,
        data: Path,
        record: Path,
        seed: int,
        tell: Callable[..., None] = lambda **fields: None,
    ) -> None:
        self.tell = tell  # told of each start: boot, address
        self.name, self.shape = name, shape
        self.record = Recorder(record)
        # Objects belong to the shard, so that a store that replaces this one holds the same; marks to all, for a
        # stamped category may say that all stores, or those of a zone, drop its repeats.
        self.objects = self._open(data / f"shard-{shard}")
        draw = numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, shard])))
        self.behaviour = Behaviour(
            name,
            shard,
            zone,
            shape,
            draw.random,
            draw.standard_normal,
            LmdbMarks(self._open(data / "marks")),
            now_us,
            self.record.add,
            self._tell,
            self._write,
        )
        self.hub = Hub(Limits())
        self.links: set[Link] = set()
        self.coming: dict[tuple[Link, int], Coming] = {}
        self.listener: Any = None
        self.accepting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.refuse_until = self.silent_until = 0.0
        self.ended = asyncio.Event()
        self.verbs = {
            "die": self._die,
            "restart": self._restart,
            "refuse": self._refuse,
            "reset": self._reset,
            "silent": self._silent,
            "cut": self._cut,
            "end": lambda _: self.ended.set(),
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
        self.behaviour.boot((time.time_ns() & (2**56 - 1)) | 1, cold)
        self.accepting = asyncio.get_running_loop().create_task(accept_all(self.listener, self._accept))
        self.tell(event="up", address=self.address, boot=self.behaviour.boot_id)

    def _down(self) -> None:
        """Every connection is reset and nothing listens; work in hand is lost."""
        if self.accepting:
            self.accepting.cancel()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        for link in list(self.links):
            link.abort("down", reset=True)
        self.coming.clear()
        asyncio.get_running_loop().call_soon(self.listener.close)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH)
            self.record.flush()

    # Connections

    def _accept(self, sock: Any) -> None:
        if ms() < self.refuse_until or len(self.links) >= self.shape.connections:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")  # the peer sees a reset
            sock.close()
            return
        hello = Hello(1, "store", self.name, self.behaviour.boot_id, self.behaviour.age())
        link = Link(self.hub, sock, Codec("edge"), hello, self._event, self._gone)
        if ms() < self.silent_until:
            link.outgoing.clear()
        self.links.add(link)

    def _gone(self, link: Link, why: str) -> None:
        self.links.discard(link)
        for key in [key for key in self.coming if key[0] is link]:
            here = self.coming.pop(key)
            if not here.missing:
                self.behaviour.lose(here.work)

    def _event(self, link: Link, event: Event) -> None:
        if ms() < self.silent_until:
            return
        if isinstance(event, Piece):
            if here := self.coming.get((link, event.stream)):
                here.parts.append(event.data)
                here.missing -= len(event.data)
                if not here.missing:
                    self._take(here)
            return
        match event.record:
            case HandOffOf() as request:
                edge = link.peer.name if link.peer else "?"
                here = self.coming[link, event.stream] = Coming(link, event.stream, Work(None, edge, request))
                here.work.seat = here
                if request.body:
                    self.record.add(Began(now_us(), self.name, edge, request.task, request.number))
                else:
                    self._take(here)
            case Cancel() | Cut():
                if here := self.coming.get((link, event.stream)):
                    self.behaviour.cancel(here.work)
                    self._arm()
            case Probe():
                link.send(event.stream, Probed(self.behaviour.model.load()))

    # Work

    def _take(self, here: Coming) -> None:
        self.behaviour.take(here.work)
        self._arm()

    def _arm(self) -> None:
        if self.timer:
            self.timer.cancel()
        due = self.behaviour.model.due()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(due - ms(), 0) / 1000, self._due) if due < NEVER else None

    def _due(self) -> None:
        self.timer = None
        self.behaviour.advance()
        self._arm()

    def _write(self, work: Work) -> None:
        if work.request.writes:
            with self.objects.begin(write=True) as objects:
                objects.put(f"{work.request.volume}/{work.request.key}".encode(), b"".join(work.seat.parts))

    def _read(self, request: HandOffOf) -> bytes:
        with self.objects.begin() as objects:
            found = objects.get(f"{request.volume}/{request.key}".encode())
        if found is not None and len(found) == request.size:
            return bytes(found)
        return content.body(request.key, 0, request.size)

    def _tell(self, work: Work, how: str, elsewhere: int) -> None:
        here: Coming = work.seat
        self.coming.pop((here.link, here.stream), None)
        body = self._read(work.request) if how == "delivered" and not work.request.writes else b""
        here.link.send(
            here.stream,
            OutcomeOf(
                how,  # type: ignore[arg-type]
                self.behaviour.shard,
                self.behaviour.model.load(),
                -1,
                elsewhere,
                len(body),
            ),
        )
        if body:
            here.link.send_body(here.stream, [body])

    # Troubles, each `for_s` seconds long where it lasts; those of the store itself lie in its behaviour

    def _command(self, command: dict[str, Any]) -> None:
        verb = command.pop("verb")
        if not self.behaviour.trouble(verb, command.get("for_s", 1.0), command):
            self.verbs[verb](command)
        self._arm()

    def _refuse(self, command: dict[str, Any]) -> None:
        self.refuse_until = ms() + command["for_s"] * 1000

    def _reset(self, command: dict[str, Any]) -> None:
        """Connections that stand are reset too."""
        self._refuse(command)
        self._cut(command)

    def _cut(self, command: dict[str, Any]) -> None:
        for link in list(self.links):
            link.abort("cut", reset=True)

    def _silent(self, command: dict[str, Any]) -> None:
        """Half-open: what comes is read and let go, nothing is answered."""
        self.silent_until = ms() + command["for_s"] * 1000

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
