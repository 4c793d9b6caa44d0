"""What the cases share: a gateway started by the deploy file's command, a stand-in for discovery, free ports, a record.

Standard library only. Everything listens and connects on loopback; every process that is started here is ended here.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 3, 2  # exit codes; `run.sh` makes 1 of BROKEN, since Python itself ends with 1 on a fault
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_WITHIN = 30.0  # seconds that the platform gives a gateway to be ready
SECOND = 1_000_000_000  # nanoseconds, the unit of the settings


class CouldNotRun(Exception):
    """The case could not be played; this says nothing of the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{time.monotonic() - self.began:9.4f}  {text}\n")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request(txn: str, lane: str, volume: str, data: str, left: float, shard: int, body: bytes = b"") -> bytes:
    """Return the bytes of a client's request, as PROTOCOL has it; one with a body is a write."""
    method = "PUT" if body else "GET"
    lines = [
        f"{method} /api/{volume}/{data} HTTP/1.1",
        "Host: origin.svc",
        f"X-Txn: {txn}",
        f"X-Lane: {lane}",
        "X-Storage-Class: basic",
        f"X-Remaining: {left:.3f}",
        f"X-Extent: units=1,shard={shard},hosts=1",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Message:
    """One message of HTTP/1.1 with a length: its first line, its fields (names in lower case) and its body."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes) -> None:
        self.first, self.fields, self.body = first, fields, body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises IncompleteReadError or OSError where the connection ends before it is whole."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    return Message(lines[0], fields, await reader.readexactly(length) if length else b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection: the other side gets RST, not an orderly end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """The agent on the gateway's machine: tells the whole list to each watch, then an empty line every 2 s."""

    def __init__(self, members: list[dict]) -> None:
        self.members = members
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            text = json.dumps({"revision": 7, "complete": True, "members": self.members}).encode() + b"\n"
            if b"stream=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text), text))
            while True:
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        writer.close()


def member(number: int, port: int) -> dict:
    """Return a store's entry in discovery's list: ready, started long ago, holding the shard of its number."""
    return {
        "id": f"s-{number:08x}",
        "host_port": f"127.0.0.1:{port}",
        "locality": "a",
        "flavor": "m2",
        "cell": number,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
    }


def settings(classes: list[dict], shards: int, largest: int, rate: float, reserve: float) -> dict:
    """Return the settings of a deployment with one gateway and one plan, in the form of the first message."""
    return {
        "Classes": classes,
        "Clients": {"MarksRetry": True},
        "Dcs": ["a"],
        "Family": "stores",
        "Kinds": ["m2"],
        "Limits": {
            "Cancel": True,
            "DialTimeout": SECOND // 4,
            "IdleClose": 15 * SECOND,
            "MaxOpen": 20_000,
            "MaxRetryAfter": SECOND // 2,
            "MayDuplicate": False,
            "MostTries": 3,
            "Peers": False,
            "Probes": False,
            "RetryAfter": False,
            "StreamsPerConn": 1,
        },
        "Me": 0,
        "MembershipMode": "push",
        "Plans": [{"Name": "basic", "Rate": rate, "FloorRate": reserve, "Proportion": 1.0, "WorthFactor": 1.0}],
        "Report": {"Fields": [], "Source": "none"},
        "Rules": {
            "AskWithin": 10 * SECOND,
            "Cold": 17 * SECOND,
            "ColdShare": 0.19,
            "FallMultiple": 2.5,
            "GraceToAnswer": SECOND // 125,
            "OverloadFor": 3 * SECOND,
            "StopSendingWithin": SECOND // 2,
        },
        "Siblings": 1,
        "Specifics": {
            "ChangesData": [each["Writes"] for each in classes],
            "Largest": largest,
            "Meter": 0,
            "Shards": shards,
            "TellsElsewhere": False,
            "UsualUnits": 1.0,
            "YoungLimit": 62.0,
        },
        "Tick": 1_000_000,
        "Zone": 0,
    }


def request_class(name: str, repeat: str, writes: bool, objective: float, deadline: float, window: float = 5.0) -> dict:
    """Return a class of the settings; times in seconds. `Writes` is only for `settings`."""
    return {
        "Name": name,
        "Repeat": repeat,
        "KeyScope": "all",
        "Window": int(window * SECOND),
        "Objective": int(objective * SECOND),
        "Deadline": int(deadline * SECOND),
        "Value": 2.0,
        "LateWorth": 0.1,
        "Stream": False,
        "Writes": writes,
    }


class Gateway:
    """One gateway in a process of its own, started as the platform does: `run` of the deploy file, from the root."""

    def __init__(
        self, folder: Path, discovery: Discovery, settings: dict, sockets: int = 256, memory_mb: int = 64
    ) -> None:
        self.port, self.memory_mb = free_port(), memory_mb
        listen, watched = f"127.0.0.1:{self.port}", f"127.0.0.1:{discovery.port}"
        configuration = {
            "name": "n0",
            "listen": listen,
            "discovery": watched,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"revision": 7, "complete": True, "members": discovery.members},
            "settings": settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(configuration))
        temporary = folder / "tmp"
        temporary.mkdir()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": listen,
            "EDGE_DISCOVERY": watched,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self.log = (folder / "log").open("w+")
        self.child = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=lambda: _prepare(sockets),
        )

    async def ready(self) -> None:
        """Wait until the gateway answers 200 to `GET /_health`."""
        last_try = time.monotonic() + READY_WITHIN
        while time.monotonic() < last_try and self.child.poll() is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer.first.startswith("HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"the gateway did not get ready; its log: {self.said()[-800:]}")

    def anonymous_mb(self) -> float:
        """Return the memory of the process that no file backs, in MB."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def said(self) -> str:
        """Return what the process has written to its log and to standard error."""
        self.log.flush()
        return Path(self.log.name).read_text()

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.log.close()


def _prepare(sockets: int) -> None:
    """Run in the gateway's process before it starts: its descriptors are limited, and it ends with the test."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def say(text: str) -> None:
    """Print a line. Nobody may read it: that must not change the exit code."""
    try:
        print(text, flush=True)
    except OSError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def play(folder: Path, case) -> None:
    """Run `case(temporary folder, record)`, which returns whether the rule held, and exit with the code for that."""
    record = Record(folder)
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(asyncio.wait_for(case(Path(temporary), record), 100))
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        say(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    finally:
        record.file.flush()
    verdict = "the rule held" if held else "the rule was broken"
    record(verdict)
    say(verdict)
    sys.exit(HELD if held else BROKEN)
