"""Control nodes on loopback, as processes or in the test's own loop, and gateways that speak to them in raw frames."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from contextlib import asynccontextmanager, suppress

from tansykeel.control_plane.program import ControlProgram
from tansykeel.edge.clock import clock
from tansykeel.protocol.codec import Codec, Frame
from tansykeel.protocol.frames import Error, Goodbye, Heartbeat, Hello, LeaseRenewal, SessionAccepted, SessionOpen
from tansykeel.settings.build import load
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect, listening

REGION_UNITS = 700_000_000
HEARTBEAT = 0.3  # seconds
PORTS = 20_000, 32_000  # under those that the system gives to connections that are opened
SETTINGS = """
gateway("edge", peer_stall_s = 1)
category("read", soft_limit_ms = 250, cut_off_ms = 1500)
plan("basic", rate = 10)
volume("v", plan = "basic")
store("s", address = "127.0.0.1:99", shard = 0)
control(cluster = "farm", lease_ms = 1200, heartbeat_ms = 300, ping_ms = 200)
region("north", share = 0.7, gateways = 6)
"""


def free_address():
    """An address whose port the system gives no connection, so that none takes it before a node listens there."""
    while True:
        address = f"127.0.0.1:{random.randrange(*PORTS)}"
        with suppress(OSError):
            listening(address).close()
            return address


def write_settings(folder, nodes):
    """Write settings with this many control nodes; their file and their addresses."""
    addresses = [free_address() for _ in range(nodes)]
    lines = [f'control_node("n{n}", region = "north", address = "{address}")\n' for n, address in enumerate(addresses)]
    path = folder / "control.star"
    path.write_text(SETTINGS + "".join(lines))
    return path, addresses


class NodeProcess:
    """`tansykeel control` as a process."""

    def __init__(self, path, number):
        self.path, self.number, self.process = path, number, None

    async def start(self):
        words = ["-m", "tansykeel", "control", str(self.path), "--number", str(self.number), "--leashed"]
        pipe, none = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdin=pipe, stdout=pipe, stderr=none
        )
        assert json.loads(await self.process.stdout.readline())["event"] == "ready"

    async def end(self, with_signal=signal.SIGKILL):
        if self.process.returncode is None:
            self.process.send_signal(with_signal)
        return await self.process.wait()


@asynccontextmanager
async def run_node_processes(folder, nodes=3):
    """Yields the running nodes and their addresses."""
    path, addresses = write_settings(folder, nodes)
    running = [NodeProcess(path, number) for number in range(nodes)]
    try:
        await asyncio.gather(*(node.start() for node in running))
        yield running, addresses
    finally:
        await asyncio.gather(*(node.end() for node in running if node.process))


@asynccontextmanager
async def run_first_node(folder, nodes=1):
    """Yields the first of the region's nodes, in the test's own loop, and its address; the others do not run."""
    path, (address, *_) = write_settings(folder, nodes)
    program = ControlProgram(load(path), 0, 1)
    port = asyncio.get_running_loop().create_future()
    serving = asyncio.create_task(program.serve(port.set_result))
    try:
        await port
        yield program, address
    finally:
        program.stopping.set()
        await serving
    assert not program.failed, "the control node's own code failed"


class Connection:
    """One connection to a control node under any hello; `received` has its records, and last None."""

    def __init__(self, role, name):
        self.hello = Hello(1, role, name, 7)
        self.hub, self.received = Hub(Limits()), asyncio.Queue()

    async def connect(self, address):
        sock = await connect(address, 5)
        self.link = Link(
            self.hub, sock, Codec("control"), self.hello, self._event, lambda *_: self.received.put_nowait(None)
        )
        return self

    def _event(self, link, event):
        if isinstance(event, Frame) and not isinstance(event.record, Hello):
            self.received.put_nowait(event.record)

    async def next(self, *kinds):
        """The next record of one of these kinds, or None once the connection ended."""
        while (record := await self.received.get()) is not None and not isinstance(record, kinds):
            pass
        return record

    async def error(self):
        """The text of the one error that ends the connection."""
        record = await self.next(Error)
        assert await self.next(Error) is None, "more than one error, or the connection goes on"
        return record.text


class Gateway:
    """One gateway: a session by raw frames, and what it counts by its lease."""

    def __init__(self, name, addresses):
        self.name, self.addresses = name, addresses
        self.node, self.units, self.until, self.acknowledged = "", 0, 0, 0

    async def open(self, address, cluster="farm", region="north"):
        self.connection = await Connection("gateway", self.name).connect(address)
        self.connection.link.send(0, SessionOpen(cluster, self.name, region))
        self.answer = await self.connection.received.get()
        return self.answer

    async def renew(self):
        """One heartbeat; False where the node does not renew any more."""
        asked_at = clock()
        self.connection.link.send(0, Heartbeat(self.answer.session, asked_at, self.acknowledged))
        renewal = await self.connection.next(LeaseRenewal, Goodbye, Error)
        if not isinstance(renewal, LeaseRenewal):
            return False
        assert (renewal.session, renewal.asked_at) == (self.answer.session, asked_at)
        if renewal.units or self.answer.node == self.node or not self.counted():
            self.node, self.units, self.until = self.answer.node, renewal.units, asked_at + renewal.valid_for // 100
            self.acknowledged = renewal.lease
        return True

    def counted(self):
        return self.units if clock() < self.until else 0

    async def hold(self, first):
        """Hold a session for good: at the node of this number first, then at the next that accepts."""
        number = first
        while True:
            with suppress(OSError, TimeoutError):
                if isinstance(await self.open(self.addresses[number % len(self.addresses)]), SessionAccepted):
                    self.acknowledged = 0
                    while await self.renew():
                        await asyncio.sleep(HEARTBEAT)
            number += 1
            await asyncio.sleep(0.1)


@asynccontextmanager
async def run_gateways(addresses, most_seen):
    """Yields six gateways that hold sessions; `most_seen` notes each sum of what they count together."""
    found = [Gateway(f"edge-{number}", addresses) for number in range(6)]

    async def watch():
        while True:
            most_seen.append(sum(gateway.counted() for gateway in found))
            await asyncio.sleep(0.01)

    tasks = [asyncio.create_task(gateway.hold(number)) for number, gateway in enumerate(found)]
    tasks.append(asyncio.create_task(watch()))
    try:
        yield found
    finally:
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            assert isinstance(outcome, asyncio.CancelledError), outcome


async def wait_until(so, seconds=12):
    """Wait until something is so, and return after how many seconds that was."""
    begun = asyncio.get_running_loop().time()
    async with asyncio.timeout(seconds):
        while not so():
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time() - begun
