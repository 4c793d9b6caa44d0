"""Clients of a soak test as one process: many connections, each with a habit of its own, good or bad."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import re
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tansykeel.soak.deployment import CLASSES, UNITS, VOLUMES, RequestClass, key_of
from tansykeel.soak.records import Answered, EndedUnanswered, Left, Misbehaved, Recorder, Sent, now
from tansykeel.soak.store_process import read_lines

HEAD = re.compile(rb"(?s)HTTP/1\.1 (\d+) .*?\r\nContent-Length: (\d+)\r\n(?:[^\r\n]+\r\n)*\r\n")
PATIENCE = 5.0  # seconds after a request's time for which its answer is still looked for
SURGE_SESSIONS = 40  # beside the usual ones, while the load surges
OWED_WITHIN = 6.0  # seconds for which a client that stopped in the middle of a request waits


class Ended(Exception):  # noqa: N818 - an event of the connection, not a fault of the program
    """The gateway ended the connection."""


@dataclass
class Load:
    """What the runner has said."""

    gateways: dict[str, int] = field(default_factory=dict)  # in use, with their ports
    stop: bool = False
    surge_until: float = 0.0

    def command(self, line: str) -> None:
        """Take a line of the input."""
        words = json.loads(line)
        self.gateways = words.get("use", self.gateways)
        self.stop = words.get("stop", self.stop)
        self.surge_until = now() + words["surge"] if "surge" in words else self.surge_until


class Connection:
    """One connection to a gateway."""

    def __init__(self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.gateway, self.reader, self.writer = gateway, reader, writer
        self.requests = 0
        self._rest = b""

    async def answer(self) -> tuple[int, bool]:
        """Return the next answer's status and whether the connection lasts. Raises Ended."""
        while not (head := HEAD.match(self._rest)) or len(self._rest) < head.end() + int(head[2]):
            try:
                data = await self.reader.read(65536)
            except OSError as error:
                raise Ended(type(error).__name__) from None
            if not data:
                raise Ended("end of the stream")
            self._rest += data
        self._rest = self._rest[head.end() + int(head[2]) :]
        return int(head[1]), b"Connection: close" not in head[0]

    def leave(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()


class Clients:
    """All connections of this process."""

    def __init__(self, number: int, seed: int, recorder: Recorder, load: Load, shards: int) -> None:
        self.recorder, self.load, self.shards = recorder, load, shards
        self.chance = random.Random(seed)
        self.next_id = number << 48 | 1

    async def session(self, habit: Callable[[Connection], Awaitable[None]]) -> None:
        """Open connections one after the other and follow a habit on each, until told to stop."""
        while not self.load.stop:
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(Ended, OSError):
                await habit(connection)
            connection.leave()

    async def surging(self) -> None:
        """Ask one request after the other while the load surges, until told to stop."""
        while not self.load.stop:
            connection = await self._connect() if now() < self.load.surge_until else None
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(Ended, OSError):
                while not self.load.stop and now() < self.load.surge_until:
                    await self._ask(connection)
            connection.leave()

    async def _connect(self) -> Connection | None:
        if not self.load.gateways:
            return None
        gateway = self.chance.choice(sorted(self.load.gateways))
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.load.gateways[gateway])
        except (OSError, TimeoutError):
            return None
        return Connection(gateway, reader, writer)

    # Habits

    async def steady(self, connection: Connection) -> None:
        """Ask one request after the other."""
        while not self.load.stop:
            await self._ask(connection)
            await asyncio.sleep(self.chance.uniform(0.0, 0.05))

    async def resting(self, connection: Connection) -> None:
        """Rest between requests, for so long that the gateway may end the connection."""
        while not self.load.stop:
            await self._ask(connection)
            await asyncio.sleep(self.chance.choice([0.24, 0.5, 1.9, 2.0, 2.1, 2.25]))

    async def hasty(self, connection: Connection) -> None:
        """Ask with very little time left."""
        while not self.load.stop:
            await self._ask(connection, deadline=self.chance.uniform(0.02, 0.3))
            await asyncio.sleep(0.1)

    async def slow_writer(self, connection: Connection) -> None:
        """Write each request in pieces."""
        while not self.load.stop:
            await self._ask(connection, pieces=self.chance.randint(2, 5))
            await asyncio.sleep(0.05)

    async def ahead(self, connection: Connection) -> None:
        """Send several requests before the first answer."""
        while not self.load.stop:
            requests = [self._request(None, 2000) for _ in range(self.chance.randint(2, 4))]
            connection.writer.write(b"".join(data for _, data, _, _ in requests))
            for id, _, one, deadline in requests:
                self._sent(connection, id, one, deadline)
            await self._answers(connection, [(id, at) for id, _, _, at in requests])
            await asyncio.sleep(0.2)

    async def leaver(self, connection: Connection) -> None:
        """Ask and go before the answer."""
        id, data, one, deadline = self._request(None)
        connection.writer.write(data)
        self._sent(connection, id, one, deadline)
        await asyncio.sleep(self.chance.choice([0.0, 0.005, 0.03, 0.1]))
        connection.leave()
        self.recorder.write(Left(now(), id))
        await asyncio.sleep(0.2)

    async def newcomer(self, connection: Connection) -> None:
        """Connect, wait a moment, ask once and go."""
        await asyncio.sleep(self.chance.choice([0.0, 0.01, 0.03]))
        await self._ask(connection)
        await asyncio.sleep(self.chance.uniform(0.0, 0.05))

    async def half_asker(self, connection: Connection) -> None:
        """Stop in the middle of a request and stay."""
        _, data, _, _ = self._request(None)
        begun = now()
        connection.writer.write(data[: self.chance.randint(1, len(data) - 1)])
        outcome = "nothing"
        try:
            async with asyncio.timeout(OWED_WITHIN):
                await connection.answer()
                outcome = "answer"
        except Ended:
            outcome = "end"
        except TimeoutError:
            pass
        self.recorder.write(Misbehaved(begun, now(), connection.gateway, outcome))
        await asyncio.sleep(0.5)

    # Within

    async def _ask(self, connection: Connection, deadline: float | None = None, pieces: int = 1) -> None:
        id, data, one, until = self._request(deadline)
        if pieces > 1:
            cuts = sorted(self.chance.sample(range(1, len(data)), pieces - 1))
            for first, last in zip([0, *cuts], cuts, strict=False):
                connection.writer.write(data[first:last])
                await asyncio.sleep(self.chance.uniform(0.0, 0.05))
            data = data[cuts[-1] :]
            until = now() + (deadline or one.deadline)
        connection.writer.write(data)
        self._sent(connection, id, one, until)
        await self._answers(connection, [(id, until)])

    def _request(self, deadline: float | None, most_body: int = 30_000) -> tuple[str, bytes, RequestClass, float]:
        """Return a new request: id, bytes, class, and when its client's time is up if it is sent now."""
        one = self.chance.choices(CLASSES, [6, 2, 2])[0]
        seconds = deadline or one.deadline
        id = f"{self.next_id:016x}"
        self.next_id += 1
        volume, shard = self.chance.randrange(VOLUMES), self.chance.randrange(self.shards)
        body = b"x" * min(self.chance.choice([10, 200, 2000, 30_000]), most_body) if one.write else b""
        lines = [
            f"{'PUT' if one.write else 'GET'} /api/{volume:016x}/{key_of(one, self.chance.getrandbits(56))} HTTP/1.1",
            "Host: origin.svc",
            f"X-Txn: {id}",
            f"X-Lane: {one.name}",
            "X-Storage-Class: basic",
            f"X-Remaining: {seconds:.3f}",
            f"X-Extent: units={UNITS:g},shard={shard},hosts={max(len(self.load.gateways), 1)}",
        ]
        if one.write:
            lines.append(f"Content-Length: {len(body)}")
        return id, "\r\n".join([*lines, "", ""]).encode() + body, one, now() + seconds

    def _sent(self, connection: Connection, id: str, one: RequestClass, deadline: float) -> None:
        self.recorder.write(Sent(now(), id, connection.gateway, one.name, deadline, connection.requests == 0))
        connection.requests += 1

    async def _answers(self, connection: Connection, owed: list[tuple[str, float]]) -> None:
        """Take the answers that are owed, in order; what comes no more is written down."""
        lasts = True
        while owed:
            id, deadline = owed[0]
            try:
                async with asyncio.timeout(max(deadline - now(), 0.0) + PATIENCE):
                    status, lasts = await connection.answer()
            except TimeoutError:
                raise Ended("no answer") from None
            except Ended as end:
                for late, _ in owed:
                    self.recorder.write(EndedUnanswered(now(), late, str(end)))
                raise
            owed.pop(0)
            self.recorder.write(Answered(now(), id, status))
        if not lasts:
            raise Ended("the last answer")


async def main() -> None:
    """Run until the input says stop: number, seed, file of records, shards."""
    number, seed, path, shards = sys.argv[1:5]
    recorder, load = Recorder(Path(path)), Load()
    clients = Clients(int(number), int(seed), recorder, load, int(shards))
    habits = [clients.steady] * 10 + [
        clients.resting,
        clients.resting,
        clients.hasty,
        clients.slow_writer,
        clients.newcomer,
        clients.newcomer,
        clients.newcomer,
        clients.ahead,
        clients.leaver,
        clients.half_asker,
    ]

    flushing = asyncio.create_task(recorder.keep_flushing())
    print("ready", flush=True)
    sessions = [asyncio.create_task(clients.session(habit)) for habit in habits]
    sessions += [asyncio.create_task(clients.surging()) for _ in range(SURGE_SESSIONS)]
    reading = asyncio.create_task(read_lines(load.command))
    await asyncio.gather(*sessions)
    flushing.cancel()
    reading.cancel()
    recorder.flush()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
