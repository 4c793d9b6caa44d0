"""Stand-ins and the frame of a play for the cases 6 to 10: clients, stores, discovery, and gateways as processes.

Everything but the gateways runs in the process of the play, on loopback addresses and the real clock. Gateways are
started with the line `run` of the deploy file. The stand-ins follow the operators' pages: a store holds one shard,
begins a request at its last byte, takes one request at a time on a connection and does a few at once; discovery tells
the whole list and then an empty line every 2 s. What a case makes them do beside that stands in its `play.py`.

Standard library only, so that the play runs after the deploy file's build.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000  # nanoseconds, the unit of the settings
HELD, BROKEN, NOT_RUN = 0, 3, 2  # exit codes of a play; 1 is left to exceptions, see run.sh
PLAY_LIMIT = 112.0  # seconds that a play may take
READY_WITHIN = 30.0  # seconds in which a gateway has to be ready
KILL_WAIT = 5.0  # seconds to wait for the end of a process that was killed
EMPTY_LINE_EVERY = 2.0  # seconds between empty lines on a watch
STORE_SLOTS = 16  # requests that a store works on at once
IDLE_CLOSE = 15.0  # seconds after which a store closes an idle connection
ANSWER_GRACE = 0.55  # seconds after its time up to which an answer is not lost: 0.5 s, and 50 ms that every limit has
PATIENCE = 3.0  # seconds after its time for which a client still looks for an answer
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


def trouble_wanted() -> bool:
    """Whether the play has its disruption: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def ok(body: bytes) -> bytes:
    """A store's whole answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def request_class(name: str, repeat: str, soft_limit: float, deadline: float) -> dict[str, Any]:
    """A class of requests, as the settings have it. Times in seconds."""
    return {
        "Name": name,
        "Repeat": repeat,
        "Objective": int(soft_limit * SECOND),
        "Deadline": int(deadline * SECOND),
        "Value": 2.0,
        "LateWorth": 0.1,
    }


def member_entry(id: str, address: str, shard: int, phase: str = "Ready", up_since_ms: int = 0) -> dict[str, Any]:
    """A store's entry in discovery's list."""
    return {
        "id": id,
        "host_port": address,
        "locality": "a",
        "flavor": "std",
        "cell": shard,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


class Record:
    """What was sent, answered and run: one line each, with the seconds since the play began."""

    def __init__(self) -> None:
        self.begun = time.monotonic()
        self.lines: list[str] = []

    def __call__(self, event: str, **fields: Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.begun:9.4f} {event} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


class StoreConnection(asyncio.Protocol):
    """A gateway's connection to a store, through a network that takes `Store.delay` seconds each way."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.open_requests = 0  # requests that arrived whole and are not answered
        self.arrived_bytes = b""
        self.is_gone = False
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Take the connection."""
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.idle_timer = self.loop.call_later(IDLE_CLOSE, self._close_if_idle)

    def data_received(self, data: bytes) -> None:
        """Bytes leave the gateway; they arrive at the store after the network's delay."""
        if self.store.delay:
            self.loop.call_later(self.store.delay, self._arrive, data)
        else:
            self._arrive(data)

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has ended the connection."""
        self.is_gone = True
        self.idle_timer.cancel()

    @property
    def nothing_waits(self) -> bool:
        """Whether no request, nor a part of one, has arrived that is not answered."""
        return not (self.is_gone or self.open_requests or self.arrived_bytes)

    def send(self, data: bytes) -> None:
        """Send bytes; they arrive at the gateway after the network's delay."""
        if self.store.delay:
            self.loop.call_later(self.store.delay, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if not self.is_gone:
            self.transport.write(data)

    def _close_if_idle(self) -> None:
        if self.nothing_waits:
            self.transport.close()

    def _arrive(self, data: bytes) -> None:
        self.idle_timer.cancel()
        self.arrived_bytes += data
        while (end := self.arrived_bytes.find(b"\r\n\r\n")) >= 0:
            length = _LENGTH.search(self.arrived_bytes[:end])
            whole = end + 4 + (int(length[1]) if length else 0)
            if len(self.arrived_bytes) < whole:
                return
            head, self.arrived_bytes = self.arrived_bytes[:end], self.arrived_bytes[whole:]
            self.open_requests += 1
            self.loop.create_task(self.store.serve(self, head))

    def answered(self) -> None:
        """Count a request as answered."""
        self.open_requests -= 1
        self.idle_timer.cancel()
        self.idle_timer = self.loop.call_later(IDLE_CLOSE, self._close_if_idle)


class Store:
    """A store. `work(shard)` is the time of a request in seconds; `after_answer` is called once an answer has left."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.shard, self.name = play, number, f"s-{number:08x}"
        self.delay = 0.0  # seconds that bytes take each way
        self.hangs = False  # takes requests and never answers them
        self.after_answer: Callable[[StoreConnection, str, bytes], None] | None = None
        self.slots = asyncio.Semaphore(STORE_SLOTS)
        self.runs = 0

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: StoreConnection(self), HOST, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def member(self) -> dict[str, Any]:
        """The store's entry in discovery's list."""
        return member_entry(self.name, f"{HOST}:{self.port}", self.shard)

    async def serve(self, connection: StoreConnection, head: bytes) -> None:
        """Run a request and answer it with a body that no other answer has."""
        found = re.search(rb"(?i)\r\nx-txn: *([0-9a-f]+)", head)
        if not found:
            connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return connection.answered()
        id = found[1].decode()
        self.play.record("arrived", id=id, store=self.name)
        if self.hangs:
            return None
        async with self.slots:
            await asyncio.sleep(self.play.work())
        self.runs += 1
        body = f"{id} run {self.runs} of {self.name}".encode()
        self.play.made.setdefault(id, set()).add(body)
        self.play.record("run", id=id, store=self.name)
        connection.send(ok(body))
        connection.answered()
        if self.after_answer:
            self.after_answer(connection, id, body)
        return None


class Discovery:
    """The agent on a gateway's machine: tells the list of stores, then changes, and an empty line every 2 s."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.revision = 1
        self.members = {member["id"]: member for member in members}
        self.watches: set[asyncio.StreamWriter] = set()

    def change(self, member: dict[str, Any]) -> None:
        """Take in a change of one store and tell it on all watches."""
        self.revision += 1
        if member["phase"] == "Gone":
            del self.members[member["id"]]
        else:
            self.members[member["id"]] = member
        for watch in self.watches:
            self._tell(watch, False, [member])

    def _tell(self, watch: asyncio.StreamWriter, complete: bool, members: list[dict[str, Any]]) -> None:
        text = json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode() + b"\n"
        watch.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch until it ends."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(writer, True, list(self.members.values()))
            self.watches.add(writer)
            while True:
                try:
                    async with asyncio.timeout(EMPTY_LINE_EVERY):
                        await reader.read(1)
                    break
                except TimeoutError:
                    writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway has ended, or the play has
        finally:
            self.watches.discard(writer)
            writer.close()


class Gateway:
    """One gateway process, started with the deploy file's `run`."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.number = play, number
        with socket.socket() as reserved:
            reserved.bind((HOST, 0))
            self.port = reserved.getsockname()[1]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the configuration and start the process."""
        play = self.play
        folder = play.folder / f"g{self.number}"
        folder.mkdir(exist_ok=True)
        config = {
            "name": f"g{self.number}",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{play.discovery.port}",
            "seed": f"{self.number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": {"revision": 1, "complete": True, "members": play.members()},
            "settings": play.settings(self.number),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        variables = {
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=os.environ | variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def ready(self) -> None:
        """Wait until the gateway answers 200 to GET /_health. Raises RuntimeError."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"g{self.number} is not ready after {READY_WITHIN:g} s")

    def has_ended(self) -> bool:
        """Whether the process has ended, which no play asks it to."""
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process:
            self.process.kill()
            self.process.wait(KILL_WAIT)


class NoAnswer(Exception):  # noqa: N818 - an event of the connection, not a fault of the program
    """The gateway ended the connection, or the client has waited long enough."""


class Client:
    """A client with one connection, which it keeps. It opens another one when the gateway has ended it."""

    def __init__(self, play: Play, gateway: Gateway) -> None:
        self.play, self.gateway = play, gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection unless it is open."""
        if self.reader is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.gateway.port)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, requests: list[tuple[str, bytes]]) -> None:
        """Write requests (id, bytes) in one go."""
        await self.connect()
        assert self.writer is not None
        for id, data in requests:
            self.play.record("sent", id=id, gateway=f"g{self.gateway.number}", bytes=len(data))
        self.writer.write(b"".join(data for _, data in requests))

    async def answer(self, id: str, wait: float) -> tuple[int, bytes]:
        """Return status and body of the next answer, which is that of request `id`. Raises NoAnswer."""
        if self.reader is None:
            raise NoAnswer("the connection has ended")
        try:
            async with asyncio.timeout(wait):
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = _LENGTH.search(head)
                body = await self.reader.readexactly(int(length[1])) if length else b""
        except TimeoutError:
            self.play.record("no answer", id=id, why=f"after {wait:.1f} s")
            self.close()
            raise NoAnswer(f"nothing for {wait:.1f} s") from None
        except (OSError, asyncio.IncompleteReadError) as error:
            self.play.record("no answer", id=id, why=type(error).__name__)
            self.close()
            raise NoAnswer("the gateway ended the connection") from None
        status = int(head.split()[1])
        self.play.record("answered", id=id, status=status, body=body.decode("latin-1").replace(" ", "_"))
        if b"connection: close" in head.lower():
            self.close()
        return status, body

    async def ask(self, class_name: str, shard: int, seconds: float, body: bytes = b"") -> tuple[str, int, bytes]:
        """Send one request and return its id with the status and the body of its answer. Raises NoAnswer."""
        id, data = self.play.request(class_name, shard, seconds, body)
        await self.send([(id, data)])
        return id, *await self.answer(id, seconds + PATIENCE)


class Play:
    """A small deployment: its settings, its stand-ins and its gateways."""

    def __init__(self, folder: Path, classes: list[dict[str, Any]], writes: set[str], stores: int, gateways: int):
        self.folder, self.classes, self.writes = folder, classes, writes
        self.record = Record()
        self.made: dict[str, set[bytes]] = {}  # bodies of the answers that stores made, by request id
        self.breaches: list[str] = []
        self.last_id = 0x7F3A9C2100000000
        self.work: Callable[[], float] = lambda: 0.02  # seconds that a store works on a request
        self.stores = [Store(self, number) for number in range(stores)]
        self.silent_members: list[dict[str, Any]] = []  # other stores of the list, to which no request goes
        self.gateways = [Gateway(self, number) for number in range(gateways)]

    def members(self) -> list[dict[str, Any]]:
        """Discovery's list as the play begins."""
        return [store.member() for store in self.stores] + self.silent_members

    def settings(self, gateway: int) -> dict[str, Any]:
        """The settings of a gateway: the example of the operators' wire page, for a small deployment."""
        return {
            "Classes": self.classes,
            "Clients": {"MarksRetry": True},
            "Dcs": ["a"],
            "Limits": {
                "Cancel": True,
                "DialTimeout": SECOND // 4,
                "IdleClose": int(IDLE_CLOSE * SECOND),
                "MaxOpen": 33_333,
                "MayDuplicate": False,
                "MostTries": 3,
                "Peers": False,
                "Probes": False,
                "RetryAfter": False,
            },
            "Me": gateway,
            "MembershipMode": "push",
            "Plans": [{"Name": "basic", "FloorRate": 20.0, "Rate": 60.0, "Proportion": 1.0, "WorthFactor": 1.0}],
            "Rules": {
                "Cold": 17 * SECOND,
                "ColdShare": 0.19,
                "FallMultiple": 2.5,
                "OverloadFor": 3 * SECOND,
                "StopSendingWithin": SECOND // 2,
            },
            "Siblings": len(self.gateways),
            "Specifics": {
                "ChangesData": [one["Name"] in self.writes for one in self.classes],
                "Largest": 8,
                "Shards": len(self.members()),
                "UsualUnits": 2.0,
                "YoungLimit": 62.0,
            },
            "Zone": 0,
        }

    def request(self, class_name: str, shard: int, seconds: float, body: bytes = b"") -> tuple[str, bytes]:
        """Return a new request, as the protocol page has it: its id and its bytes."""
        self.last_id += 1
        id = f"{self.last_id:016x}"
        writes = class_name in self.writes
        lines = [
            f"{'PUT' if writes else 'GET'} /api/{shard + 0xB4D60021:016x}/{self.last_id:016x} HTTP/1.1",
            "Host: origin.svc",
            f"X-Txn: {id}",
            f"X-Lane: {class_name}",
            "X-Storage-Class: basic",
            f"X-Remaining: {seconds:.3f}",
            *([f"Content-Length: {len(body)}"] if writes else []),
            f"X-Extent: units=2,shard={shard},hosts={len(self.gateways)}",
        ]
        return id, "\r\n".join([*lines, "", ""]).encode() + body

    def breach(self, text: str) -> None:
        """Note that the rule was broken."""
        self.record("BREACH", what=text.replace(" ", "_"))
        self.breaches.append(text)

    async def start(self) -> None:
        """Start all stand-ins, then the gateways, and wait until these are ready."""
        for store in self.stores:
            await store.start()
        self.discovery = Discovery(self.members())
        await self.discovery.start()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.ready()
        self.record("ready", gateways=len(self.gateways), stores=len(self.stores))

    def end(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            gateway.end()


def run_play(make: Callable[[Path], Play], act: Callable[[Play], Awaitable[str]], record: Path) -> int:
    """Make a play, act it, write its record and return the exit code. `act` returns a line that sums it up."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def whole(folder: Path) -> int:
        play = make(folder)
        try:
            async with asyncio.timeout(PLAY_LIMIT):
                await play.start()
                summary = await act(play)
            if any(gateway.has_ended() for gateway in play.gateways):
                play.breach("a gateway has ended")
            play.record("end", summary=summary.replace(" ", "_"))
        except (RuntimeError, OSError, TimeoutError) as error:
            play.record("not run", why=f"{type(error).__name__}:_{error}".replace(" ", "_"))
            print(f"the play could not run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            play.end()
            play.record.write(record)
        print(summary)
        for text in play.breaches[:5]:
            print(f"broken: {text}")
        print(f"{len(play.breaches)} breaches")
        return BROKEN if play.breaches else HELD

    with tempfile.TemporaryDirectory(prefix="tansykeel-review-") as folder:
        return asyncio.run(whole(Path(folder)))
