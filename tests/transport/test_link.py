"""Connections over real loopback sockets: bounds on what a peer may leave unread, faults answered once."""

from __future__ import annotations

import asyncio
import resource
import socket

import pytest

from tansykeel.protocol.codec import Codec, Frame, Piece
from tansykeel.protocol.frames import Answer, Error, Hello, TaskOf, pack
from tansykeel.transport.link import Hub, Limits, Link
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
