"""A gateway on real loopback sockets in the test's own loop, with scripted stores and raw clients around it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path

from tansykeel.edge.program import Edge, clock
from tansykeel.protocol.codec import Codec, Frame, Piece
from tansykeel.protocol.frames import (
    Answer,
    Cancel,
    HandOffOf,
    Hello,
    ListOf,
    OutcomeOf,
    Row,
    TaskOf,
    chunk_head,
)
from tansykeel.settings.build import Script, facts_of, script
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, connect, listening

BASE = """
gateway("edge", peer_stall_s = {stall}, body_memory = {memory}, connection_memory = {memory}, largest_body = 1 << 20,
        connect_timeout_ms = {connect}, stop_within_s = 3)
category("read", soft_limit_ms = 2000, cut_off_ms = {deadline})
category("write", soft_limit_ms = 2000, cut_off_ms = {deadline}, writes = True)
category("pay", soft_limit_ms = 2000, cut_off_ms = {deadline}, writes = True, repeat = "stamped", window_ms = 9000)
category("post", soft_limit_ms = 2000, cut_off_ms = {deadline}, writes = True, repeat = "one-shot")
category("log", soft_limit_ms = 2000, cut_off_ms = {deadline}, writes = True, ordered = True)
plan("basic", rate = 100)
volume("v", plan = "basic")
sizes(largest = 300, usual = 1)
rules({rules})
"""
DEFAULTS = {
    "stall": 5,
    "memory": 64 << 20,
    "connect": 500,
    "deadline": 5000,
    "rules": "hand_offs = 3, answer_grace_ms = 50",
}


class FakeStore:
    """A store that does as `reply(store, link, stream, request, body)` says; it notes what it was handed."""

    def __init__(self, name, shard, reply):
        self.name, self.shard, self.reply = name, shard, reply
        self.handed, self.cancelled, self.bodies = [], [], {}
        self.boot, self.age, self.says_hello = 1, 0, True
        self.links = []

    async def start(self):
        self.hub = Hub(Limits())
        self.listener = listening("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepting = asyncio.create_task(accept_all(self.listener, self.accept))
        return self

    def accept(self, sock):
        link = Link(
            self.hub,
            sock,
            Codec("edge"),
            Hello(1, "store", self.name, self.boot, self.age),
            self.event,
            lambda link, why: None,
        )
        if not self.says_hello:
            link.outgoing.clear()
        self.links.append(link)

    def event(self, link, event):
        if isinstance(event, Piece):
            request, parts = self.bodies[link, event.stream]
            parts.append(event.data)
            if event.last:
                self.take(link, event.stream, request, b"".join(parts))
        elif isinstance(event.record, HandOffOf):
            if event.record.body:
                self.bodies[link, event.stream] = event.record, []
            else:
                self.take(link, event.stream, event.record, b"")
        elif isinstance(event.record, Cancel):
            self.cancelled.append(event.stream)

    def take(self, link, stream, request, body):
        self.handed.append(request)
        self.reply(self, link, stream, request, body)

    async def stop(self):
        self.accepting.cancel()
        await self.hub.stop()
        self.listener.close()


def deliver(store, link, stream, request, body):
    data = b"" if request.writes else bytes([request.key % 256]) * request.size
    link.send(stream, OutcomeOf("delivered", store.shard, body=len(data)))
    link.send_body(stream, [data])


def tell(how):
    return lambda store, link, stream, request, body: link.send(stream, OutcomeOf(how, store.shard))


def hang(store, link, stream, request, body):
    pass


def reset(store, link, stream, request, body):
    link.abort("dies", reset=True)


class Client:
    def __init__(self, stage):
        self.stage = stage
        self.answers, self.bodies, self.count, self.lost, self.said = {}, {}, 0, asyncio.Event(), []

    async def start(self):
        sock = await connect(f"127.0.0.1:{self.stage.port}", 5)
        self.link = Link(self.stage.hub, sock, Codec("edge"), Hello(1, "client", "c"), self.event, self.gone)
        return self

    def gone(self, link, why):
        self.lost.set()

    def event(self, link, event):
        if isinstance(event, Frame):
            self.said.append(event.record)
            if isinstance(event.record, Answer):
                assert event.stream not in self.answers, "a second final answer"
                self.answers[event.stream] = event.record
        else:
            self.bodies[event.stream] = self.bodies.get(event.stream, b"") + event.data

    def ask(self, category="read", size=100, shard=0, key=7, patience=4.0, body=None, volume="v"):
        """Send a task; a write's body goes with it, or only the bytes given."""
        self.count += 1
        writes = category != "read"
        self.link.send(
            self.count,
            TaskOf(volume, category, key, size, shard, int(patience * 1e6), self.count, False, size if writes else 0),
        )
        if writes and body is None:
            self.link.send_body(self.count, [b"w" * size])
        return self.count

    def send_part(self, task, size):
        """Some bytes of a body, and no more for now."""
        raw = chunk_head(task, size) + b"w" * size
        self.link.outgoing._frames.append(raw)
        self.link.outgoing.held += len(raw)
        self.link._wake_writer()

    async def answer(self, task):
        await until(lambda: task in self.answers)
        return self.answers[task]


async def until(true, seconds=15.0):
    """Wait until something is so. The bound only ends a test that has failed."""
    end = asyncio.get_running_loop().time() + seconds
    while not true():
        assert asyncio.get_running_loop().time() < end, "it did not come to that"
        await asyncio.sleep(0.005)


class Stage:
    def __init__(self, settings, stores):
        self.settings, self.stores = settings, stores
        self.hub = Hub(Limits(stall=60, high_water=1 << 30))
        self.port = 0
        self.version = 1

    async def client(self):
        return await Client(self).start()

    def listed(self, *rows, full=False):
        """Tell the gateway's core of the list as its connection would."""
        self.version += 1
        self.edge.core.apply_list_update(clock(), ListOf(full, self.version, rows))

    def row(self, store, state="ready"):
        return Row(store.name, store.address, 0, store.shard, state, store.boot, store.age)


def settings_with(stores, extra="", **changes):
    text = BASE.format(**(DEFAULTS | changes)) + extra
    text += "".join(f'store("{s.name}", address = "{s.address}", shard = {s.shard})\n' for s in stores)
    collected = Script()
    script.run_text(text, Path("test.star"), collected.verbs())
    return collected.settings("test.star")


@asynccontextmanager
async def staged(*stores, extra="", **changes):
    for store in stores:
        await store.start()
    made = settings_with(stores, extra, **changes)
    stage = Stage(made, stores)
    stage.hub.start()
    stage.edge = Edge(made, facts_of(made, 0, 1), 1, sample=10**9)
    ready = asyncio.get_running_loop().create_future()
    serving = asyncio.create_task(stage.edge.serve(ready.set_result))
    stage.port = await ready
    try:
        yield stage
    finally:
        stage.edge.stopping.set()
        stage.code = await serving
        await stage.hub.stop()
        for store in stores:
            await store.stop()
    assert not stage.edge.failed, "the gateway's own code failed"


def free_address():
    sock = listening("127.0.0.1:0")
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    sock.close()
    return address


def run_test(coroutine, seconds=40):
    async def bounded():
        async with asyncio.timeout(seconds):
            await coroutine

    asyncio.run(bounded())
