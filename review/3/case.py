"""Case 3: spoilt answers that never end take a gateway over its memory limit, and the platform kills it.

Twelve stores answer writes after 20 ms. With trouble one answer in twenty never ends: it comes in chunks of two bytes,
at full speed for its first 900,000 bytes and then one chunk every 50 ms. Usual clients ask 40 times a second. The
platform looks at the gateway's memory every 10 ms and kills it over the limit of its configuration; counted is only
what no file backs, which is less than the whole. The rule is broken if the gateway was killed for memory or ended by
itself.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stage  # noqa: E402

STORES, CLIENTS, SECONDS = 12, 40, 30.0
MEMORY_MB = 192  # the most that the pages give to a gateway on a scored day
ENDLESS = 0.05  # share of the answers that never end
AT_ONCE = 900_000  # bytes of such an answer's body that come at full speed
CHUNK = b"2\r\nzz\r\n"
SERVICE, PAUSE, THINK = 0.02, 0.05, 1.0  # seconds: a store's work; between later chunks; until a client asks again
WRITE_TIME = 5.8  # seconds that clients wait for an answer
LOOK_EVERY = 0.01
BODY = b"x" * 200


class Store:
    """A store that answers all requests, some of them without end."""

    def __init__(self, number: int, record: stage.Record) -> None:
        self.number, self.record, self.random, self.endless = number, record, random.Random(), 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                message = await stage.read_message(reader)
                txn = message.fields["x-txn"]
                self.record(f"store {self.number} runs {txn}")
                await asyncio.sleep(SERVICE)
                if stage.TROUBLE and self.random.random() < ENDLESS:
                    self.endless += 1
                    self.record(f"store {self.number} answers {txn} without end")
                    await self._answer_without_end(writer)
                body = f"data of {txn}".encode()
                self.record(f"store {self.number} answers {txn}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _answer_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send chunks until the gateway closes the connection."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        many = CHUNK * 4_096
        for _ in range(AT_ONCE // (2 * 4_096)):
            writer.write(many)
            await writer.drain()
        while True:
            writer.write(CHUNK)
            await writer.drain()
            await asyncio.sleep(PAUSE)


class Platform:
    """What the platform sees of the gateway's memory; it kills the gateway over the limit."""

    def __init__(self, gateway: stage.Gateway, record: stage.Record) -> None:
        self.gateway, self.record, self.most, self.killed = gateway, record, 0.0, False

    async def watch(self) -> None:
        """Look at the gateway's memory until it is over its limit or the process has ended."""
        while self.gateway.child.poll() is None:
            used = self.gateway.anonymous_mb()
            if used > self.most + 8:
                self.record(f"the gateway holds {used:.0f} MB of {self.gateway.memory_mb}")
            self.most = max(self.most, used)
            if used > self.gateway.memory_mb:
                self.record(f"BROKEN: the platform kills the gateway, which holds {used:.0f} MB")
                self.killed = True
                self.gateway.child.kill()
                self.gateway.child.wait()
                return
            await asyncio.sleep(LOOK_EVERY)


async def client(gateway: stage.Gateway, number: int, until: float, record: stage.Record) -> tuple[int, int]:
    """Ask a request at a time on one connection; return how many were answered, and how many were not."""
    choose = random.Random()
    reader = writer = None
    answered = unanswered = 0
    await asyncio.sleep(choose.uniform(0, THINK))
    while time.monotonic() < until and gateway.child.poll() is None:
        txn, shard = f"{choose.getrandbits(64):016x}", choose.randrange(STORES)
        if writer is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            except OSError as error:
                record(f"client {number} can't connect: {type(error).__name__}")
                await asyncio.sleep(0.05)
                continue
        try:
            record(f"client {number} sends {txn} for store {shard}")
            writer.write(stage.request(txn, "write", f"{number + 1:016x}", txn, WRITE_TIME, shard, BODY))
            async with asyncio.timeout(WRITE_TIME + 0.5):
                answer = await stage.read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            unanswered += 1
            record(f"client {number} got no answer to {txn}: {type(error).__name__}")
            writer.close()
            writer = None
            continue
        answered += 1
        record(f"client {number} gets {answer.first.split()[1]} to {txn}")
        if answer.fields.get("connection") == "close":
            writer.close()
            writer = None
        await asyncio.sleep(choose.uniform(0.5, 1.5) * THINK)
    return answered, unanswered


async def case(folder: Path, record: stage.Record) -> bool:
    """Play the case; return whether the rule held."""
    stores, members = [], []
    for number in range(STORES):
        store = Store(number, record)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        stores.append(store)
        members.append(stage.member(number, server.sockets[0].getsockname()[1]))
    discovery = stage.Discovery(members)
    await discovery.start()
    classes = [
        stage.request_class("read", "idempotent", False, 0.6, 3.0),
        stage.request_class("write", "idempotent", True, 0.75, 6.0),
    ]
    of_day = stage.settings(classes, STORES, 8, 50.0, 20.0)
    gateway = stage.Gateway(folder, discovery, of_day, memory_mb=MEMORY_MB)
    platform = Platform(gateway, record)
    watching = None
    try:
        await gateway.ready()
        watching = asyncio.create_task(platform.watch())
        until = time.monotonic() + SECONDS
        counts = await asyncio.gather(*(client(gateway, number, until, record) for number in range(CLIENTS)))
        ended = not platform.killed and gateway.child.poll() is not None
        if ended:
            record(f"BROKEN: the gateway ended by itself with {gateway.child.poll()}")
    finally:
        if watching:
            watching.cancel()
        gateway.end()
    answered, unanswered = (sum(each) for each in zip(*counts, strict=True))
    endless = sum(store.endless for store in stores)
    summary = (
        f"answered {answered}, not answered {unanswered}, answers without end {endless}, "
        f"most memory {platform.most:.0f} MB of {MEMORY_MB}, killed for it: {platform.killed}"
    )
    record(summary)
    stage.say(summary)
    if not answered or (stage.TROUBLE and not endless):
        raise stage.CouldNotRun("nothing was answered, or no answer was without end")
    return not (platform.killed or ended)


if __name__ == "__main__":
    stage.play(Path(__file__).resolve().parent, case)
