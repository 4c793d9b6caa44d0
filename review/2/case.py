"""Case 2: a write that may have run is sent again after the stores have forgotten it, and runs twice.

Twenty stores drop the repeat of a write (by its X-Txn) for the window that the settings give, and for GRACE longer. The
class `write` is `deduplicated` with a window of 2 s. With trouble half of the stores, 0 to 9, hang for 2.6 s. Store 0
runs the writes it has, hangs before it answers, and after 0.35 s its connections are reset under those requests. All
other requests are reads: enough of them wait at the hung stores for the gateway to hold all connections that it gives
to stores. The rule is broken if a store runs a write twice. Each round has a new gateway and new stores.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stage  # noqa: E402

STORES, HUNG = 20, 10
WINDOW = 2.0  # seconds for which the settings say that stores drop repeats
GRACE = 0.25  # seconds for which the stores here drop them beyond that: the slack of 0.05 s and a hold-up of 0.15 s
WRITES, READS_AT_HUNG, READS_AT_FIRST = 2, 8, 4
READS_AT, FIRST_READS_AT, RESET_AT, RECOVER_AT = 0.05, 0.15, 0.35, 2.6  # seconds after the writes were sent
SERVICE = 0.03  # seconds
ROUNDS = 4
READ_TIME, WRITE_TIME = 2.9, 5.8  # seconds that clients wait for an answer


class Store:
    """A store: runs each request as its last byte comes, and answers SERVICE later unless it hangs."""

    def __init__(self, number: int, record: stage.Record) -> None:
        self.number, self.record = number, record
        self.first: dict[str, float] = {}  # when the first attempt of each write came
        self.ran: dict[str, list[float]] = {}  # when each write ran
        self.working = asyncio.Event()
        self.working.set()
        self.begun: set[asyncio.StreamWriter] = set()  # connections with a write that has begun

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                message = await stage.read_message(reader)
                if message.first.startswith("PUT"):
                    self.begun.add(writer)
                await self._serve(message, reader, writer)
                self.begun.discard(writer)
        self.begun.discard(writer)
        writer.close()

    async def _serve(self, message: stage.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        txn, now = message.fields["x-txn"], time.monotonic()
        method, left = message.first.split()[0], message.fields.get("x-remaining")
        self.record(f"store {self.number} gets {method} {txn}, told {left} s")
        if method == "PUT":
            self._run(txn, now)
        await asyncio.sleep(SERVICE)
        await self.working.wait()
        body = f"done {txn}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()

    def _run(self, txn: str, now: float) -> None:
        """Run a write, unless it is a repeat that is remembered."""
        first = self.first.setdefault(txn, now)
        if txn in self.ran and now - first <= WINDOW + GRACE:
            self.record(f"store {self.number} drops the repeat of {txn}")
            return
        self.ran.setdefault(txn, []).append(now)
        self.record(f"store {self.number} runs {txn}, {now - first:.3f} s after its first attempt came")
        if len(self.ran[txn]) > 1:
            self.record(f"BROKEN: {txn} ran twice")

    def reset(self) -> None:
        """Reset the connections of all writes that have begun."""
        for writer in list(self.begun):
            self.record(f"store {self.number} resets a connection under a write that has begun")
            stage.reset(writer)


async def ask(gateway: stage.Gateway, record: stage.Record, txn: str, shard: int, body: bytes = b"") -> int:
    """Send one request on a connection of its own; return the status of its answer, 0 without one."""
    lane, left = ("write", WRITE_TIME) if body else ("read", READ_TIME)
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(stage.request(txn, lane, f"{shard + 1:016x}", txn, left, shard, body))
        record(f"client sends {lane} {txn} for store {shard}")
        async with asyncio.timeout(left + 1.0):
            status = int((await stage.read_message(reader)).first.split()[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record(f"client gets no answer to {txn}: {type(error).__name__}")
        return 0
    finally:
        if writer:
            writer.close()
    record(f"client gets {status} to {lane} {txn}")
    return status


async def play_round(gateway: stage.Gateway, record: stage.Record, stores: list[Store], number: int) -> None:
    """Play the writes, the trouble and the reads once."""
    asked = []

    def send(kind: int, count: int, shard: int, body: bytes = b"") -> None:
        for each in range(count):
            txn = f"{number:04x}{kind:04x}{shard:04x}{each:04x}"
            asked.append(asyncio.create_task(ask(gateway, record, txn, shard, body)))

    if stage.TROUBLE:
        record("stores 0 to 9 hang")
        for store in stores[:HUNG]:
            store.working.clear()
    send(1, WRITES, 0, b"x" * 200)
    await asyncio.sleep(READS_AT)
    for shard in range(1, HUNG):
        send(2, READS_AT_HUNG, shard)
    await asyncio.sleep(FIRST_READS_AT - READS_AT)
    send(3, READS_AT_FIRST, 0)
    await asyncio.sleep(RESET_AT - FIRST_READS_AT)
    if stage.TROUBLE:
        stores[0].reset()
    await asyncio.sleep(RECOVER_AT - RESET_AT)
    for store in stores:
        store.working.set()
    record("all stores work")
    statuses = await asyncio.gather(*asked)
    record(f"round {number}: answers by status { ({each: statuses.count(each) for each in sorted(set(statuses))}) }")


async def played(folder: Path, record: stage.Record, number: int) -> list[Store]:
    """Play one round with a gateway and stores of its own; return the stores."""
    stores, members = [], []
    for shard in range(STORES):
        store = Store(shard, record)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        stores.append(store)
        members.append(stage.member(shard, server.sockets[0].getsockname()[1]))
    discovery = stage.Discovery(members)
    await discovery.start()
    classes = [
        stage.request_class("read", "idempotent", False, 0.6, 3.0),
        stage.request_class("write", "deduplicated", True, 0.75, 6.0, window=WINDOW),
    ]
    gateway = stage.Gateway(folder, discovery, stage.settings(classes, STORES, 8, 20.0, 20.0))
    try:
        await gateway.ready()
        await play_round(gateway, record, stores, number)
    finally:
        gateway.end()
    return stores


async def case(folder: Path, record: stage.Record) -> bool:
    """Play the case; return whether the rule held."""
    runs = []
    for number in range(ROUNDS):
        own = folder / f"round{number}"
        own.mkdir()
        stores = await played(own, record, number)
        runs += [len(times) for store in stores for times in store.ran.values()]
    twice = sum(count > 1 for count in runs)
    stage.say(f"writes that ran {len(runs)}, of these twice {twice}")
    if not runs:
        raise stage.CouldNotRun("no write ran")
    return not twice


if __name__ == "__main__":
    stage.play(Path(__file__).resolve().parent, case)
