"""A platform gateway in the test's own event loop, with fake stores and discovery, and plain clients."""

from __future__ import annotations

import asyncio
import errno
import json
import re
import socket
import time
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from tansykeel.http1 import codec
from tansykeel.platform import connection
from tansykeel.platform.config import read
from tansykeel.platform.event_counts import ClientEnd, StoreConnectionEnd
from tansykeel.platform.program import Gateway
from tansykeel.transport.sockets import listening

SETTINGS = {
    "Classes": [
        {"Deadline": 3e9, "Name": "read", "Objective": 6e8, "Repeat": "idempotent", "Value": 2.0},
        {"Deadline": 6e9, "Name": "write", "Objective": 75e7, "Repeat": "idempotent", "Value": 2.0},
    ],
    "Limits": {"MostTries": 3, "Cancel": True, "DialTimeout": 25e7, "IdleClose": 15e9},
    "Rules": {},
    "Siblings": 1,
    "Me": 0,
    "Zone": 0,
    "MembershipMode": "push",
    "Dcs": ["a"],
    "Plans": [{"Name": "basic", "Rate": 1000.0}],
    "Specifics": {"Largest": 8, "UsualUnits": 2.0, "ChangesData": [False, True], "TellsElsewhere": True},
}
SMALL_BUFFER = 4_096  # bytes of a socket's buffer
VOLUME, DATA = b"00000003b4d60021", b"7f3a9c21e0b4d655"


def ok(body=b"data", fields=b""):
    """Return the bytes of a store's answer 200."""
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (fields, len(body), body)


class FakeServer:
    """A server that runs `talk(reader, writer)` of its subclass for each connection."""

    async def start(self):
        self.writers = []
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _talk(self, reader, writer):
        self.writers.append(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.talk(reader, writer)
        writer.close()

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class FakeStore(FakeServer):
    """A store. `reply(request)` returns the bytes to answer with, None for no answer, b'' to reset the connection."""

    def __init__(self, name, shard, reply=lambda request: ok()):
        self.name, self.shard, self.reply = name, shard, reply
        self.requests, self.phase, self.since = [], "Ready", 0

    async def talk(self, reader, writer):
        requests = codec.RequestReader()
        while data := await reader.read(65536):
            requests.feed(data)
            while (request := requests.next()) is not None:
                self.requests.append(request)
                answer = self.reply(request)
                if answer == b"":
                    return writer.transport.abort()
                if answer is not None:
                    writer.write(answer)

    def row(self, **changes):
        """Return the store's object in discovery's list."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "a",
            "flavor": "m",
            "cell": self.shard,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.since,
        } | changes


class FakeDiscovery(FakeServer):
    """The discovery service. `send_update` sends an object to all watches.

    `mute` says, for one watch after another, after what each falls silent: "connect", "head", "object" (in the middle
    of one), "empty" (an empty line). `drip(text)` sends more to those. "end" closes the watch at once.
    """

    def __init__(self, mute=(), indent=None):
        self.mute, self.indent = list(mute), indent
        self.revision, self.rows, self.watch_requests, self.muted = 5, [], [], set()  # muted: writers of silent watches

    async def talk(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        mute = self.mute.pop(0) if self.mute else None
        if mute == "end":
            self.watch_requests.append(head.split(b" ")[1].decode())
            return
        if mute:
            self.muted.add(writer)
        if mute != "connect":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = self.text(self.rows, True)
        for part in {None: (text[:7], text[7:]), "object": (text[:40],), "empty": (b"\n",)}.get(mute, ()):
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()
        self.watch_requests.append(head.split(b" ")[1].decode())
        await reader.read()

    def drip(self, text):
        """Send bytes to the silent watches."""
        for writer in self.muted:
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def text(self, rows, full):
        """Return the line for a list of rows, `full` or a change."""
        message = {"revision": self.revision, "complete": full, "members": rows}
        return json.dumps(message, indent=self.indent).encode() + b"\n"

    def send_update(self, rows, full=False):
        """Send the rows as the next revision to all watches that are not silent."""
        self.revision += 1
        text = self.text(rows, full)
        for writer in self.writers:
            if writer not in self.muted:
                for part in (text[:7], text[7:]):
                    writer.write(b"%x\r\n%s\r\n" % (len(part), part))


class ClientConnection:
    """A client's connection to the gateway."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.rest = reader, writer, bytearray()

    async def answer(self):
        """Return the next answer, None if the connection ends without one."""
        while not (head := re.search(rb"(?s)^.*?Content-Length: (\d+)\r\n(?:[^\r\n]+\r\n)*\r\n", self.rest)) or len(
            self.rest
        ) < head.end() + int(head[1]):
            try:
                data = await self.reader.read(65536)
            except OSError:
                return None
            if not data:
                return None
            self.rest += data
        answers = codec.AnswerReader()
        answers.feed(bytes(self.rest[: head.end() + int(head[1])]))
        del self.rest[: head.end() + int(head[1])]
        return answers.next()

    async def ended(self):
        """Whether the connection ends without further bytes."""
        with suppress(OSError):
            return await self.reader.read(1) == b""
        return True

    async def ask(self, *arguments, **changes):
        """Send a request, as `request_bytes` makes it, and return its answer."""
        self.writer.write(request_bytes(*arguments, **changes))
        return await self.answer()


def request_bytes(id=1, method=b"GET", body=b"", path=b"/api/" + VOLUME + b"/" + DATA, **changes):
    """Return the bytes of a request, a write if it has a body. `changes`: header fields, None to leave one out."""
    fields = {
        "host": "origin.svc",
        "x-txn": f"{id:016x}",
        "x-lane": "write" if body else "read",
        "x-storage-class": "basic",
        "x-remaining": "2.5",
        "x-extent": "units=2,shard=0,hosts=1",
    }
    fields |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [f"{name}: {value}".encode() for name, value in fields.items() if value is not None]
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"%s %s HTTP/1.1\r\n%s\r\n\r\n%s" % (b"PUT" if body else method, path, b"\r\n".join(lines), body)


class Stage:
    """A running gateway, its fake discovery, and the clients that a test opens."""

    def __init__(self, gateway, list_, path):
        self.gateway, self.list, self.path = gateway, list_, path
        self.port = 0
        self.connections = []

    async def connected_socket(self, receive=0):
        """Return a client's socket, for tests that read an exact number of bytes. `receive`: its receive buffer."""
        sock = socket.socket()
        if receive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        return sock

    async def client(self, receive=0):
        """Open a client's connection. `receive`: the size of its receive buffer."""
        connection = ClientConnection(*await asyncio.open_connection(sock=await self.connected_socket(receive)))
        self.connections.append(connection)
        return connection


def configuration(tmp_path: Path, discovery: str, known=(), **changes):
    """Write a configuration file and return its path."""
    file = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": list(known)},
        "settings": SETTINGS,
    } | changes
    path = tmp_path / "config.json"
    path.write_text(json.dumps(file))
    return path


@asynccontextmanager
async def staged(tmp_path, *stores, list_=None, known=True, **changes):
    """Run a gateway with these stores. `known`: whether the configuration's list has them, or a dict of the fields that
    differ in it."""
    list_ = await (list_ or FakeDiscovery()).start()
    for store in stores:
        await store.start()
        if known:
            list_.rows.append(store.row())
    rows = [row | known for row in list_.rows] if isinstance(known, dict) else list_.rows
    path = configuration(tmp_path, list_.address, rows if known else (), **changes)
    listener = listening("127.0.0.1:0")
    gateway = Gateway(str(path), read(str(path)))
    stage = Stage(gateway, list_, path)
    stage.port = listener.getsockname()[1]
    stage.serving = asyncio.create_task(gateway.serve(listener))
    try:
        yield stage
    finally:
        stage.serving.cancel()
        for client_connection in stage.connections:
            client_connection.writer.transport.abort()
        for client in list(gateway.clients.conns):
            client.close(ClientEnd.GATEWAY_ENDS)
        gateway.discovery.stop()
        for pool in gateway.stores.pools.values():
            for connection in list(pool.connections):
                connection.close(StoreConnectionEnd.GIVEN_UP)
        listener.close()
        for part in (list_, *stores):
            await part.stop()


def no_descriptors(monkeypatch, module, times):
    """Let the next `times` calls of the module's `open_socket` fail with EMFILE. Return the list of their addresses."""
    failed, open_socket = [], module.open_socket

    def open_failing(address):
        if len(failed) < times:
            failed.append(address)
            raise OSError(errno.EMFILE, "no descriptor")
        return open_socket(address)

    monkeypatch.setattr(module, "open_socket", open_failing)
    return failed


def use_small_send_buffers(monkeypatch):
    """Make the kernel's send buffers of connections to stores smaller than a body."""

    def open_small(address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        return sock

    monkeypatch.setattr(connection, "open_socket", open_small)


class SmallBufferStore(FakeStore):
    """A store whose receive buffers are smaller than a body."""

    async def start(self):
        await super().start()
        for sock in self.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        return self


async def until(condition, seconds=5.0):
    """Wait until `condition()` holds; fail after `seconds`."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        await asyncio.sleep(0.005)


def run_test(coroutine, seconds=20):
    """Run a test's coroutine; fail if it takes longer than `seconds`."""

    async def bounded():
        async with asyncio.timeout(seconds):
            await coroutine

    asyncio.run(bounded())
