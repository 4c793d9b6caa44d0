"""Connections over real loopback sockets: bounds on what a peer may leave unread, faults answered once."""

from __future__ import annotations

import asyncio
import gc
import resource
import socket
import tracemalloc

import pytest

from tansykeel.protocol.codec import Codec, Frame, Piece
from tansykeel.protocol.frames import Answer, Error, Hello, TaskOf, pack
from tansykeel.protocol.outgoing import Outgoing
from tansykeel.transport.link import HELD_RECEIVE_BYTES, Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, connect, listening

HELLO = Hello(1, "edge", "e")
DEFAULT = Limits()


class Seen:
    def __init__(self):
        self.events, self.lost = [], asyncio.Event()
        self.why = ""

    def event(self, link, event):
        self.events.append(event)

    def gone(self, link, why):
        self.why = why
        self.lost.set()


def within(seconds, coroutine):
    async def bounded():
        async with asyncio.timeout(seconds):
            return await coroutine

    return asyncio.run(bounded())


async def pair(limits=DEFAULT):
    hub, seen = Hub(limits), Seen()
    hub.start()
    near, far = await tcp_pair()
    link = Link(hub, near, Codec("client"), HELLO, seen.event, seen.gone)
    far.setblocking(False)
    return hub, link, far, seen


async def tcp_pair():
    listener = listening("127.0.0.1:0")
    far = await connect(f"127.0.0.1:{listener.getsockname()[1]}", 5)
    near, _ = await asyncio.get_running_loop().sock_accept(listener)
    listener.close()
    return near, far


def test_a_fault_is_answered_by_one_error_frame_and_the_end():
    async def play():
        hub, _, far, seen = await pair()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(far, pack(0, Hello(1, "client", "c")) + b"\xff" * 40)
        got = b""
        while data := await loop.sock_recv(far, 4096):
            got += data
        await seen.lost.wait()
        await hub.stop()
        far.close()
        return [event.record for event in Codec("edge").receive(got)]

    hello, error = within(10, play())
    assert hello == HELLO and isinstance(error, Error) and "unknown frame kind 255" in error.text


def test_a_peer_that_does_not_read_is_not_read_from_and_then_dropped():
    async def play():
        hub, link, far, seen = await pair(Limits(high_water=100_000, stall=0.4))
        loop, event, freed, sent = asyncio.get_running_loop(), link.on_event, [], asyncio.Event()

        def send_all(link, record):  # with its hello, which is bounded by the same 0.4 s, and before the next read
            event(link, record)
            for stream in range(0 if sent.is_set() else 400):
                link.send(stream, Answer(0, body=60_000))
                link.send_body(stream, [bytes(60_000)], lambda: freed.append(1))
            sent.set()

        link.on_event = send_all
        await loop.sock_sendall(far, pack(0, Hello(1, "client", "c")))
        await sent.wait()
        assert "it does not read" in link.holds
        await loop.sock_sendall(far, pack(9, TaskOf("v", "r", 1, 1, 0, 1, 1)))
        await seen.lost.wait()
        far.close()
        await hub.stop()
        return seen, len(freed)

    seen, freed = within(20, play())
    assert "took nothing for 0.4 s" in seen.why and freed == 400
    assert not any(isinstance(e, Frame) and isinstance(e.record, TaskOf) for e in seen.events)


def test_a_peer_that_reads_again_is_read_from_again():
    async def play():
        hub, link, far, seen = await pair(Limits(high_water=100_000, stall=10))
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(far, pack(0, Hello(1, "client", "c")))
        link.send(1, Answer(0, body=20_000_000))
        link.send_body(1, [bytes(20_000_000)])
        assert link.holds
        await loop.sock_sendall(far, pack(9, TaskOf("v", "r", 1, 1, 0, 1, 1)))
        codec, size = Codec("edge"), 0
        while size < 20_000_000:
            for event in codec.receive(await loop.sock_recv(far, 1 << 20)):
                size += len(event.data) if isinstance(event, Piece) else 0
        while len(seen.events) < 2:
            await asyncio.sleep(0.01)
        assert not link.holds and seen.events[1].stream == 9
        far.close()
        await seen.lost.wait()
        await hub.stop()

    within(20, play())


class SizesRead(Codec):
    """A codec that also keeps how many bytes each read brought."""

    def __init__(self, expect):
        super().__init__(expect)
        self.sizes = []

    def receive(self, data):
        self.sizes.append(len(data))
        return super().receive(data)


def write_of(size, stream):
    """The bytes of one write whose body has so many bytes."""
    written = Outgoing()
    written.frame(stream, TaskOf("v", "w", 1, size, 0, 1, 1, body=size))
    written.body(stream, [bytes(index % 251 for index in range(size))])
    blocks = []
    while written:
        blocks += written.take(size)
    return b"".join(blocks)


def body_of(seen):
    return b"".join(event.data for event in seen.events if isinstance(event, Piece))


async def writing_pairs(hub, count):
    """Connections of one hub, all past their hello: links, far ends, what each link told."""
    links, far_ends, told = [], [], []
    for number in range(count):
        seen, (near, far) = Seen(), await tcp_pair()
        links.append(Link(hub, near, SizesRead("client"), HELLO, seen.event, seen.gone))
        far.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(far, pack(0, Hello(1, "client", f"c{number}")))
        far_ends.append(far)
        told.append(seen)
    return links, far_ends, told


async def end_all(hub, far_ends):
    await hub.stop()
    for far in far_ends:
        far.close()


@pytest.mark.parametrize("size", [1 << 10, 2 << 10, 4 << 10, 8 << 10, 100_000, 300_000])
def test_a_connection_that_carried_a_body_holds_no_receive_buffer(size):
    """Memory of connections that idle after a write is that of idle ones: no sum of buffers, whatever the body."""
    count, whole = 40, write_of(size, 1)

    async def play():
        hub = Hub(Limits())
        links, far_ends, told = await writing_pairs(hub, count)
        while not all(seen.events for seen in told):
            await asyncio.sleep(0.01)
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for far, seen in zip(far_ends, told, strict=True):
            await asyncio.get_running_loop().sock_sendall(far, whole)
            while len(body_of(seen)) < size:
                await asyncio.sleep(0.001)
            seen.events.clear()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await end_all(hub, far_ends)
        return (after - before) / count

    assert within(30, play()) < 4 << 10


def test_a_large_body_arrives_whole_in_large_reads():
    size = 1 << 20

    async def play():
        hub = Hub(Limits())
        (link,), far_ends, (seen,) = await writing_pairs(hub, 1)
        while not seen.events:
            await asyncio.sleep(0.01)
        link.hold_reading("the body comes first")
        far_ends[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * size)
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(far_ends[0], write_of(size, 1)))
        await asyncio.sleep(0.1)
        link.read_on("the body comes first")
        while len(body_of(seen)) < size:
            await asyncio.sleep(0.01)
        await sending
        await end_all(hub, far_ends)
        return body_of(seen), link.codec.sizes

    body, sizes = within(20, play())
    assert body == bytes(index % 251 for index in range(size))
    assert max(sizes) > 128 << 10


def test_connections_of_one_hub_keep_their_bodies_apart():
    """Guards against bytes of one connection in the body of another, now that all read into one buffer."""
    size, count = 300_000, 8

    async def play():
        hub, loop = Hub(Limits()), asyncio.get_running_loop()
        _, far_ends, told = await writing_pairs(hub, count)
        bodies = [bytes([number + 1]) * size for number in range(count)]
        for number, far in enumerate(far_ends):
            written = Outgoing()
            written.frame(1, TaskOf("v", "w", 1, size, 0, 1, 1, body=size))
            written.body(1, [bodies[number]])
            loop.create_task(loop.sock_sendall(far, b"".join(written.take(2 * size))))
        while not all(len(body_of(seen)) == size for seen in told):
            await asyncio.sleep(0.01)
        await end_all(hub, far_ends)
        return [body_of(seen) for seen in told] == bodies

    assert within(20, play())


def test_a_hold_that_comes_while_a_read_waits_lets_little_in():
    """Guards against a full buffer from each idle connection after the gateway has no memory left for bodies."""

    async def play():
        hub = Hub(Limits())
        (link,), (far,), (seen,) = await writing_pairs(hub, 1)
        while not seen.events:
            await asyncio.sleep(0.01)
        read_before = sum(link.codec.sizes)
        link.hold_reading("no memory")
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(far, write_of(100_000, 1)))
        await asyncio.sleep(0.2)
        read_held = sum(link.codec.sizes) - read_before
        link.read_on("no memory")
        while len(body_of(seen)) < 100_000:
            await asyncio.sleep(0.01)
        await sending
        await end_all(hub, [far])
        return read_held

    assert within(20, play()) <= HELD_RECEIVE_BYTES


def test_a_peer_that_leaves_as_a_hold_comes_is_seen_to_leave():
    async def play():
        hub = Hub(Limits())
        (link,), (far,), (seen,) = await writing_pairs(hub, 1)
        while not seen.events:
            await asyncio.sleep(0.01)
        link.hold_reading("no memory")
        far.shutdown(socket.SHUT_WR)
        await seen.lost.wait()
        await end_all(hub, [far])
        return seen.why

    assert within(10, play()) == "closed by the peer"


def test_a_peer_without_a_hello_is_dropped():
    async def play():
        hub, _, far, seen = await pair(Limits(stall=0.3))
        await seen.lost.wait()
        far.close()
        await hub.stop()
        return seen.why

    assert "no hello within 0.3 s" in within(10, play())


def test_out_of_descriptors_it_rests_and_accepts_when_some_are_free():
    """Guards against an accept loop that spins, or ends, when no descriptor is left."""

    async def play():
        listener, taken, pressed = listening("127.0.0.1:0"), [], []
        accepting = asyncio.create_task(accept_all(listener, taken.append, lambda: pressed.append(1)))
        far = await connect(f"127.0.0.1:{listener.getsockname()[1]}", 5)
        while not taken:
            await asyncio.sleep(0.01)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        waiting = socket.socket()
        waiting.setblocking(False)
        held = [socket.socket() for _ in range(20)]
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(s.fileno() for s in held) + 1, hard))
        try:
            waiting.connect_ex(listener.getsockname())
            while not pressed:
                await asyncio.sleep(0.01)
            assert len(taken) == 1 and len(pressed) < 5
            held.pop().close()
            while len(taken) < 2:
                await asyncio.sleep(0.01)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        accepting.cancel()
        for sock in [*taken, *held, far, waiting, listener]:
            sock.close()

    within(10, play())


@pytest.mark.parametrize("text", ["x", "x:", ":5", "x:99999", "x:a"])
def test_a_bad_address_is_named(text):
    with pytest.raises(ValueError, match="legal: host:port"):
        listening(text)
