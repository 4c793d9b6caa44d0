"""One connection through a proxy between gateways and control nodes: two halves, and the frames between them."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol, cast

import msgspec

from tansykeel.audit.records import now_us
from tansykeel.protocol.frames import HEAD_BYTES, HEADER, MOST_FIELDS, Hello, Kind
from tansykeel.rehearse.connection_faults import ConnectionFault, ConnectionFaults, Direction, End
from tansykeel.rehearse.frame_recorder import FrameRecorder, Speaker
from tansykeel.rehearse.proxy_plan import NodeTarget
from tansykeel.transport.sockets import address_of

CONNECT_WITHIN = 5.0  # seconds
NO_LINGER = struct.pack("ii", 1, 0)  # closes a socket with a reset
MOST_HELD = 1 << 20  # bytes that faults keep back on one direction of a connection; then no more is read
STRANGER = End("", "", "", -1)  # an operator, or one that has not said hello: only what strikes everyone strikes it
HELLOS = msgspec.msgpack.Decoder(Hello)


class Proxy(Protocol):
    """What a connection needs of the proxy that holds it."""

    faults: ConnectionFaults
    recorder: FrameRecorder
    connections: set[ProxiedConnection]

    def end_of(self, name: str) -> End:
        """Return who says hello by this name, and where it lies."""

    def hold(self, moment: int, frame: HeldFrame) -> None:
        """Keep a frame back until a moment."""

    def count(self, sender: Speaker, receiver: Speaker, size: int) -> None:
        """Count a frame for both ends."""


class HeldFrame:
    """A frame that a fault keeps back, or the end of a connection that follows those frames (`data` None)."""

    __slots__ = ("data", "sender")

    def __init__(self, sender: HalfConnection, data: bytes | None) -> None:
        self.sender = sender
        self.data = data

    def go_on(self) -> None:
        """It is due."""
        self.sender.goes_on(self.data)


class HalfConnection(asyncio.Protocol):
    """The proxy's connection to one of the two ends: what comes in here goes on through the other half."""

    def __init__(self, connection: ProxiedConnection, speaker: Speaker, direction: Direction) -> None:
        self.connection = connection
        self.speaker = speaker
        self.direction = direction  # from this end to the other
        self.transport: asyncio.Transport | None = None
        self.other: HalfConnection
        self.held = 0  # bytes that faults keep back
        self._frames_held = 0
        self._buffer = bytearray()
        self._waiting: list[bytes] = []  # for this end, until it is connected
        self._lost = False

    # asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The end is connected: all that waited for it leaves."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.connection.takes_up():
            self.transport.abort()
        for data in self._waiting:
            self.transport.write(data)
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Take all whole frames, and keep the rest of one."""
        buffer = self._buffer
        buffer += data
        now = now_us()
        start = 0
        at_once: list[bytes] = []
        while len(buffer) - start >= HEAD_BYTES:
            kind, _, _, length, _ = HEADER.unpack_from(buffer, start)
            if length > MOST_FIELDS:
                self.connection.abort()  # the other end would refuse it, and these bytes are no frames
                buffer.clear()
                return
            end = start + HEAD_BYTES + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[start:end])
            start = end
            if self._passes_at_once(now, kind, frame):
                at_once.append(frame)
        del buffer[:start]
        if at_once:
            self.other.send(b"".join(at_once))

    def connection_lost(self, error: Exception | None) -> None:
        """This end is gone; the other one learns it when all that came before has gone on."""
        self._lost = True
        self._keep_back(self.direction.goes_on(now_us()), None)

    def pause_writing(self) -> None:
        """This end reads too slowly: nothing more is read for it."""
        self.other.pause()

    def resume_writing(self) -> None:
        """It reads again."""
        self.other.resume()

    # Between the halves

    def send(self, data: bytes) -> None:
        """Send to this end, once it is connected."""
        if self._lost:
            return
        if self.transport is not None:
            self.transport.write(data)
            return
        self._waiting.append(data)
        self.connection.connect()

    def goes_on(self, data: bytes | None) -> None:
        """A frame that came in here was kept back until now."""
        self._frames_held -= 1
        if data is None:
            self.connection.close()
            return
        self.held -= len(data)
        self.other.send(data)
        if self.held < MOST_HELD:
            self.resume()

    def pause(self) -> None:
        """Read no more from this end."""
        if self.transport is not None and self.transport.is_reading():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read from this end again."""
        if self.transport is not None and not self._lost and not self.transport.is_reading():
            self.transport.resume_reading()

    def _passes_at_once(self, now: int, kind: int, frame: bytes) -> bool:
        """Write a frame down, and keep it back where a fault strikes."""
        if kind == Kind.HELLO and not self.speaker.incarnation:
            self.connection.hello(self, frame)
        proxy = self.connection.proxy
        receiver = self.other.speaker
        moment = self.direction.goes_on(now)
        proxy.recorder.add(now, 0 if self.other.is_lost else moment, kind, frame, self.speaker, receiver)
        proxy.count(self.speaker, receiver, len(frame))
        if moment <= now and not self._frames_held:
            return True
        self._keep_back(moment, frame)
        return False

    @property
    def is_lost(self) -> bool:
        """Whether this end was connected and is gone."""
        return self._lost

    def _keep_back(self, moment: int, frame: bytes | None) -> None:
        self._frames_held += 1
        self.held += len(frame or b"")
        if self.held >= MOST_HELD:
            self.pause()
        self.connection.proxy.hold(moment, HeldFrame(self, frame))


class ProxiedConnection:
    """One connection that somebody opened to a control node. Its far half is opened with the first frame for it."""

    def __init__(self, proxy: Proxy, node: NodeTarget) -> None:
        self.proxy = proxy
        self.node = node
        target = proxy.end_of(node.name)
        self.dialer = HalfConnection(self, Speaker(STRANGER), Direction(proxy.faults, STRANGER, target))
        self.target = HalfConnection(self, Speaker(target), Direction(proxy.faults, target, STRANGER))
        self.dialer.other, self.target.other = self.target, self.dialer
        self._connecting: asyncio.Task[None] | None = None
        self._ended = False

    def hello(self, half: HalfConnection, frame: bytes) -> None:
        """Learn who speaks at one end."""
        try:
            hello = HELLOS.decode(frame[HEAD_BYTES:])
        except msgspec.DecodeError:
            return  # its receiver will refuse it
        half.speaker.incarnation = hello.boot
        if half is self.dialer:
            half.speaker.end = self.proxy.end_of(hello.name)
            self.dialer.direction.leads(self.dialer.speaker.end, self.target.speaker.end)
            self.target.direction.leads(self.target.speaker.end, self.dialer.speaker.end)

    def struck_by(self, fault: ConnectionFault) -> bool:
        """Whether a fault strikes either direction."""
        return fault.strikes(self.dialer.speaker.end, self.target.speaker.end)

    def connect(self) -> None:
        """Open the far half, once."""
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def takes_up(self) -> bool:
        """A half is connected; False where the connection ended before."""
        if not self._ended:
            self.proxy.connections.add(self)
        return not self._ended

    def close(self) -> None:
        """Close both halves once what was written has left."""
        for transport in self._end():
            transport.close()

    def abort(self) -> None:
        """Reset both halves: what was written and has not left is lost, and the ends see an error."""
        for transport in self._end():
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            transport.abort()

    def _end(self) -> list[asyncio.Transport]:
        """Stop connecting, and return what is to be closed."""
        self._ended = True
        self.proxy.connections.discard(self)
        if self._connecting is not None:
            self._connecting.cancel()
        halves = (self.dialer, self.target)
        return [half.transport for half in halves if half.transport is not None and not half.is_lost]

    async def _connect(self) -> None:
        host, port = address_of(self.node.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                await loop.create_connection(lambda: self.target, host, port)
        except OSError:  # also a timeout: the node is not there, and whoever asked sees its connection end
            self.abort()
