"""One simulated store as a process: does requests in turn at its power, and misbehaves as lines on its input say."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from collections.abc import Callable
from pathlib import Path

from tansykeel.http1 import codec
from tansykeel.http1.messages import Malformed, Request
from tansykeel.soak.deployment import CAPACITY, IDLE_CLOSE, class_of, power_of
from tansykeel.soak.records import Arrived, Over, Ran, Recorder, now

MOST_HANG = 10.0  # seconds for which a store that hangs keeps a connection
MOST_QUEUE = 1.0  # seconds of work that may wait; beyond it requests are turned away
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class SimulatedStore:
    """`mode`: serve, hang (take and never answer), reset (break the connection once a request is whole), drain."""

    def __init__(self, name: str, recorder: Recorder, cold: bool) -> None:
        self.name, self.recorder = name, recorder
        self.started = now() if cold else -1e9
        self.mode = "serve"
        self.eager = False  # takes more than it bears without showing it in its answers
        self.busy_until = 0.0
        self.ran: dict[str, float] = {}  # by id, when: what a repeat is recognised by
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.open: dict[asyncio.StreamWriter, tuple[str, int]] = {}  # attempts that are not over: id, connection

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, a request at a time."""
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        requests = codec.RequestReader()
        try:
            while data := await self._read(reader):
                requests.feed(data)
                while (request := requests.next()) is not None:
                    await self._serve(request, number, reader, writer)
        except (OSError, Malformed, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            async with asyncio.timeout(IDLE_CLOSE):
                return await reader.read(65536)
        except TimeoutError:
            return b""

    async def _serve(
        self, request: Request, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        id = request.fields[b"x-txn"].decode()
        told = float(request.fields.get(b"x-remaining", b"0"))
        self.recorder.write(Arrived(now(), id, self.name, number, told))
        self.open[writer] = id, number
        # One request at a time travels on a connection, so what comes now is its end: the gateway has given it up.
        given_up = asyncio.create_task(reader.read(1))
        given_up.add_done_callback(lambda _: self._over(writer))
        try:
            if self.mode == "drain":
                writer.write(TURNED_AWAY)
            elif self.mode == "hang":
                await asyncio.wait([given_up], timeout=MOST_HANG)
            elif await self._work(request, id, writer):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + id.encode())
        finally:
            given_up.cancel()
            await asyncio.wait([given_up])
            self._over(writer)

    async def _work(self, request: Request, id: str, writer: asyncio.StreamWriter) -> bool:
        """Do the work in turn; return whether it is to be answered."""
        begin = max(now(), self.busy_until)
        if begin - now() > MOST_QUEUE:
            writer.write(TURNED_AWAY)
            return False
        power = 1.0 if self.eager else power_of(now() - self.started)
        self.busy_until = begin + 1 / (CAPACITY * power)
        await asyncio.sleep(self.busy_until - now())
        # A repeat within its window is recognised here; whether it was allowed at all is for the checker to say.
        window = class_of(request.target.rpartition(b"/")[2]).window
        if now() - self.ran.get(id, -1e9) > window:
            self.recorder.write(Ran(now(), id, self.name))
        self.ran[id] = now()
        if self.mode == "reset":
            writer.transport.abort()
            return False
        return True

    def _over(self, writer: asyncio.StreamWriter) -> None:
        if attempt := self.open.pop(writer, None):
            id, number = attempt
            self.recorder.write(Over(now(), id, self.name, number))

    def command(self, line: str) -> None:
        """Take a line of the input: a mode, or `break`, which resets all connections."""
        word = json.loads(line)
        if word == "break":
            for writer in list(self.writers):
                self._over(writer)
                writer.transport.abort()
        elif word == "eager":
            self.eager = True
        else:
            self.mode = word


async def read_lines(take: Callable[[str], None]) -> None:
    """Call `take(line)` for each line of standard input until it ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        take(line.decode())


async def main() -> None:
    """Run a store until its input ends: name, port, file of records, cold or warm."""
    name, port, path, temperature = sys.argv[1:5]
    recorder = Recorder(Path(path))
    store = SimulatedStore(name, recorder, temperature == "cold")

    server = await asyncio.start_server(store.serve_connection, "127.0.0.1", int(port), backlog=512)
    flushing = asyncio.create_task(recorder.keep_flushing())
    print("ready", flush=True)
    await read_lines(store.command)
    flushing.cancel()
    server.close()
    recorder.flush()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
