"""One connection: a codec that is fed from a reused buffer, and an Outgoing that is emptied as the peer reads.

Bounds, each by name in `Limits`: a peer with more than `high_water` bytes waiting for it is not read from until it
took them down to half of that; one that takes nothing for `stall` seconds, or says no hello within that time, is
dropped. A connection holds no receive buffer while it waits: all connections of a hub read into the one of the hub.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from mmap import mmap

from tansykeel.protocol.codec import Codec, Event
from tansykeel.protocol.frames import Error, Fields, Hello, ProtocolError
from tansykeel.protocol.outgoing import Done, Outgoing
from tansykeel.transport.sockets import send_without_delay

RECEIVE_BYTES = 256 << 10  # most of one read: four chunks of a body, so that a large body costs few reads
HELD_RECEIVE_BYTES = 2 << 10  # most of one read whose wait began before a hold: sees that the peer left, takes little
BATCH = 256 << 10  # bytes handed to the socket at once
SWEEP = 0.25  # seconds between looks at stalled peers


def _resolve(waiting: asyncio.Future[None]) -> None:
    """End a wait, once: a reader may be called again before it is removed."""
    if not waiting.done():
        waiting.set_result(None)


@dataclass(frozen=True, slots=True)
class Limits:
    high_water: int = 8 << 20
    stall: float = 10.0


class Hub:
    """What the connections of one program share: limits, the receive buffer, the look at stalled peers."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.links: set[Link] = set()
        self.receive_buffer = memoryview(mmap(-1, RECEIVE_BYTES))  # pages that no read reached take no memory
        self._sweeping: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._sweeping = asyncio.get_running_loop().create_task(self._sweep())

    async def stop(self) -> None:
        """Close all connections at once and end the sweeping."""
        if self._sweeping:
            self._sweeping.cancel()
        for link in list(self.links):
            link.abort("the program ends")
        await asyncio.sleep(0)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            now = asyncio.get_running_loop().time()
            for link in list(self.links):
                link.look(now)


class Link:
    """`on_event(link, event)` for all that the peer says, hello included; `on_lost(link, why)` once, at the end."""

    def __init__(
        self,
        hub: Hub,
        sock: socket.socket,
        codec: Codec,
        hello: Hello,
        on_event: Callable[[Link, Event], None],
        on_lost: Callable[[Link, str], None],
    ) -> None:
        self.hub, self.sock, self.codec = hub, sock, codec
        self.on_event, self.on_lost = on_event, on_lost
        self.outgoing = Outgoing()
        self.lost = self.closing = False
        self.holds: set[str] = set()  # reasons not to read for now
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._born = loop.time()
        self._sending_since: float | None = None
        self._may_read: asyncio.Future[None] | None = None
        self._work: asyncio.Future[None] | None = None
        sock.setblocking(False)
        send_without_delay(sock)
        self.outgoing.frame(0, hello)
        hub.links.add(self)
        self._tasks = [loop.create_task(self._read()), loop.create_task(self._write())]
        for task in self._tasks:
            task.add_done_callback(self._ended)

    @property
    def peer(self) -> Hello | None:
        return self.codec.peer

    def send(self, stream: int, record: Fields) -> None:
        if not self.lost:
            self.outgoing.frame(stream, record)
            self._wake_writer()

    def send_body(self, stream: int, parts: list[bytes], done: Done | None = None) -> None:
        """The bytes announced by the stream's frame; `done` is called once, also when the peer is lost."""
        if self.lost:
            if done:
                done()
            return
        self.outgoing.body(stream, parts, done)
        self._wake_writer()

    def drop_body(self, stream: int) -> None:
        if self.outgoing.drop(stream):
            self._wake_writer()

    def hold_reading(self, reason: str) -> None:
        self.holds.add(reason)

    def read_on(self, reason: str) -> None:
        self.holds.discard(reason)
        if not self.holds and self._may_read and not self._may_read.done():
            self._may_read.set_result(None)

    def close(self) -> None:
        """End the connection once all that waits is sent."""
        self.closing = True
        self.hold_reading("closing")
        self._wake_writer()

    def abort(self, why: str, reset: bool = False) -> None:
        """End it now; with `reset` the peer sees a reset and not an orderly end."""
        if self.lost:
            return
        self.lost = True
        self.hub.links.discard(self)
        current = asyncio.current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        if reset:
            with suppress(OSError):  # an orderly end, where the system lacks the memory for another
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self._loop.call_soon(self.sock.close)  # after the cancelled calls have let go of it
        self.outgoing.clear()
        self.on_lost(self, why)

    def look(self, now: float) -> None:
        """Guards against peers that connect and say nothing, or never read: each would hold memory for good."""
        if self._sending_since is not None and now - self._sending_since > self.hub.limits.stall:
            self.abort(f"it took nothing for {self.hub.limits.stall:g} s")
        elif self.codec.peer is None and now - self._born > self.hub.limits.stall:
            self.abort(f"no hello within {self.hub.limits.stall:g} s")

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Guards against a handler's exception that nobody sees: it goes to the program, the connection ends."""
        if not task.cancelled() and (error := task.exception()):
            self.abort("a handler failed")
            self._loop.call_exception_handler({"message": "a connection's handler failed", "exception": error})

    def _wake_writer(self) -> None:
        if self.outgoing.held > self.hub.limits.high_water:
            self.hold_reading("it does not read")
        if self._work and not self._work.done():
            self._work.set_result(None)

    async def _read(self) -> None:
        try:
            while not self.lost:
                while self.holds:
                    self._may_read = self._loop.create_future()
                    await self._may_read
                await self._readable()
                self._read_once(HELD_RECEIVE_BYTES if self.holds else RECEIVE_BYTES)
        except ProtocolError as error:
            self.send(0, Error(str(error)[:500]))
            self.close()
        except OSError as error:
            self.abort(error.strerror or type(error).__name__)

    async def _readable(self) -> None:
        """Wait until the socket has bytes, or its end, without a buffer to read them into."""
        readable = self._loop.create_future()
        self._loop.add_reader(self.sock, _resolve, readable)
        try:
            await readable
        finally:
            self._loop.remove_reader(self.sock)

    def _read_once(self, most: int) -> None:
        """Read what is there, at most so many bytes, and hand on its events.

        Nothing is awaited between the read and the codec, which copies what it keeps: so one buffer serves all.
        """
        buffer = self.hub.receive_buffer
        try:
            size = self.sock.recv_into(buffer, most)
        except BlockingIOError:  # the kernel may announce bytes that it drops afterwards
            return
        if not size:
            self.abort("closed by the peer")
            return
        for event in self.codec.receive(buffer[:size]):
            self.on_event(self, event)
            if self.lost:
                return

    async def _write(self) -> None:
        sendall, sock, outgoing = self._loop.sock_sendall, self.sock, self.outgoing
        try:
            while True:
                if not outgoing:
                    if self.closing:
                        return self.abort("closed here")
                    self._work = self._loop.create_future()
                    await self._work
                    continue
                blocks = outgoing.take(BATCH)
                self._sending_since = self._loop.time()
                await sendall(sock, blocks[0] if len(blocks) == 1 else b"".join(blocks))
                self._sending_since = None
                if self.holds and outgoing.held <= self.hub.limits.high_water / 2:
                    self.read_on("it does not read")
        except OSError as error:
            self.abort(error.strerror or type(error).__name__)
