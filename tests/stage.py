"""A gateway on loopback sockets in the test's own event loop, with scripted stores and plain clients."""

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
    """A store that calls `reply(store, link, stream, request, body)` for each hand-off and records what it received."""

    def __init__(self, name, shard, reply):
        self.name, self.shard, self.reply = name, shard, reply
        self.received, self.cancelled, self.bodies = [], [], {}
        self.boot, self.age, self.sends_hello = 1, 0, True
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
            self.on_event,
            lambda link, why: None,
        )
        if not self.sends_hello:
            link.outgoing.clear()
        self.links.append(link)

    def on_event(self, link, event):
        if isinstance(event, Piece):
            request, parts = self.bodies[link, event.stream]
            parts.append(event.data)
            if event.last:
                self.receive(link, event.stream, request, b"".join(parts))
        elif isinstance(event.record, HandOffOf):
            if event.record.body:
                self.bodies[link, event.stream] = event.record, []
            else:
                self.receive(link, event.stream, event.record, b"")
        elif isinstance(event.record, Cancel):
            self.cancelled.append(event.stream)

    def receive(self, link, stream, request, body):
        self.received.append(request)
        self.reply(self, link, stream, request, body)

    async def stop(self):
        self.accepting.cancel()
        await self.hub.stop()
        self.listener.close()


def deliver(store, link, stream, request, body):
    """Reply with the outcome "delivered"; a read gets a body made of its key."""
    data = b"" if request.writes else bytes([request.key % 256]) * request.size
    link.send(stream, OutcomeOf("delivered", store.shard, body=len(data)))
    link.send_body(stream, [data])


def reply_outcome(how):
    """Return a reply with this outcome."""
    return lambda store, link, stream, request, body: link.send(stream, OutcomeOf(how, store.shard))


def hang(store, link, stream, request, body):
    """Never reply."""


def reset(store, link, stream, request, body):
    """Reset the connection."""
    link.abort("dies", reset=True)


class Client:
    """A client that records the final answers, the bodies and all frames that it receives."""

    def __init__(self, stage):
        self.stage = stage
        self.answers, self.bodies, self.last_id, self.lost, self.received = {}, {}, 0, asyncio.Event(), []

    async def start(self):
        sock = await connect(f"127.0.0.1:{self.stage.port}", 5)
        self.link = Link(self.stage.hub, sock, Codec("edge"), Hello(1, "client", "c"), self.on_event, self.on_lost)
        return self

    def on_lost(self, link, why):
        self.lost.set()

    def on_event(self, link, event):
        if isinstance(event, Frame):
            self.received.append(event.record)
            if isinstance(event.record, Answer):
                assert event.stream not in self.answers, "a second final answer"
                self.answers[event.stream] = event.record
        else:
            self.bodies[event.stream] = self.bodies.get(event.stream, b"") + event.data

    def ask(self, category="read", size=100, shard=0, key=7, patience=4.0, body=None, volume="v"):
        """Send a task and return its id. A write's whole body is sent too, but nothing of it if `body` is given."""
        self.last_id += 1
        writes = category != "read"
        self.link.send(
            self.last_id,
            TaskOf(volume, category, key, size, shard, int(patience * 1e6), self.last_id, False, size if writes else 0),
        )
        if writes and body is None:
            self.link.send_body(self.last_id, [b"w" * size])
        return self.last_id

    def send_part(self, task, size):
        """Send some bytes of a body and leave it incomplete."""
        raw = chunk_head(task, size) + b"w" * size
        self.link.outgoing._frames.append(raw)
        self.link.outgoing.held += len(raw)
        self.link._wake_writer()

    async def answer(self, task):
        """Wait for a task's final answer."""
        await until(lambda: task in self.answers)
        return self.answers[task]


async def until(condition, seconds=15.0):
    """Wait until the condition holds. The time limit only ends a test that has failed."""
    end = asyncio.get_running_loop().time() + seconds
    while not condition():
        assert asyncio.get_running_loop().time() < end, "the condition was not met in time"
        await asyncio.sleep(0.005)


class Stage:
    """A running gateway with its stores and settings; makes clients and sends the gateway list updates."""

    def __init__(self, settings, stores):
        self.settings, self.stores = settings, stores
        self.hub = Hub(Limits(stall=60, high_water=1 << 30))
        self.port = 0
        self.version = 1

    async def client(self):
        """Connect a client."""
        return await Client(self).start()

    def update_list(self, *rows, full=False):
        """Give the gateway's core a list update, as the connection to the list service would."""
        self.version += 1
        self.edge.core.apply_list_update(clock(), ListOf(full, self.version, rows))

    def row(self, store, state="ready"):
        """Return a store's row of the list."""
        return Row(store.name, store.address, 0, store.shard, state, store.boot, store.age)


def settings_with(stores, extra="", **changes):
    """Return the settings of a gateway with these stores; `changes` replace DEFAULTS, `extra` is added as text."""
    text = BASE.format(**(DEFAULTS | changes)) + extra
    text += "".join(f'store("{s.name}", address = "{s.address}", shard = {s.shard})\n' for s in stores)
    collected = Script()
    script.run_text(text, Path("test.star"), collected.verbs())
    return collected.settings("test.star")


@asynccontextmanager
async def staged(*stores, extra="", **changes):
    """Run a gateway with these stores while the block runs."""
    for store in stores:
        await store.start()
    settings = settings_with(stores, extra, **changes)
    stage = Stage(settings, stores)
    stage.hub.start()
    stage.edge = Edge(settings, facts_of(settings, 0, 1), 1, sample=10**9)
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
    """Return a loopback address whose port is free."""
    sock = listening("127.0.0.1:0")
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    sock.close()
    return address


def run_test(coroutine, seconds=40):
    """Run a test's coroutine; it fails after `seconds`."""

    async def bounded():
        async with asyncio.timeout(seconds):
            await coroutine

    asyncio.run(bounded())
