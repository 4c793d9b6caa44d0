"""Runs control nodes on loopback, as processes or in the test's event loop, and gateways that send them raw frames."""

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
PORTS = 20_000, 32_000  # below the ephemeral ports that the system assigns to outgoing connections
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
    """Return a free address outside the ephemeral ports, so that no connection takes it before a node listens there."""
    while True:
        address = f"127.0.0.1:{random.randrange(*PORTS)}"
        with suppress(OSError):
            listening(address).close()
            return address


def write_settings(folder, nodes):
    """Write settings with this many control nodes. Return the path of the file and the addresses of the nodes."""
    addresses = [free_address() for _ in range(nodes)]
    lines = [f'control_node("n{n}", region = "north", address = "{address}")\n' for n, address in enumerate(addresses)]
    path = folder / "control.star"
    path.write_text(SETTINGS + "".join(lines))
    return path, addresses


class NodeProcess:
    """A control node that runs as a process of `tansykeel control`."""

    def __init__(self, path, number):
        self.path, self.number, self.process = path, number, None

    async def start(self):
        """Start the process, and wait until it reports that it is ready."""
        arguments = ["-m", "tansykeel", "control", str(self.path), "--number", str(self.number), "--leashed"]
        pipe, devnull = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdin=pipe, stdout=pipe, stderr=devnull
        )
        assert json.loads(await self.process.stdout.readline())["event"] == "ready"

    async def end(self, with_signal=signal.SIGKILL):
        """Send the process a signal if it still runs, and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(with_signal)
        return await self.process.wait()


@asynccontextmanager
async def run_node_processes(folder, nodes=3):
    """Yield the running nodes and their addresses; end the nodes afterwards."""
    path, addresses = write_settings(folder, nodes)
    running = [NodeProcess(path, number) for number in range(nodes)]
    try:
        await asyncio.gather(*(node.start() for node in running))
        yield running, addresses
    finally:
        await asyncio.gather(*(node.end() for node in running if node.process))


@asynccontextmanager
async def run_first_node(folder, nodes=1):
    """Run only the first of the region's nodes, in the test's event loop; yield its program and its address."""
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
    """A connection to a control node with any role and name.

    `received` is a queue of the records that arrive; None follows when the connection has ended.
    """

    def __init__(self, role, name):
        self.hello = Hello(1, role, name, 7)
        self.hub, self.received = Hub(Limits()), asyncio.Queue()

    async def connect(self, address):
        """Connect to a control node and send the hello; return the connection itself."""
        sock = await connect(address, 5)
        self.link = Link(
            self.hub, sock, Codec("control"), self.hello, self._event, lambda *_: self.received.put_nowait(None)
        )
        return self

    def _event(self, link, event):
        if isinstance(event, Frame) and not isinstance(event.record, Hello):
            self.received.put_nowait(event.record)

    async def next(self, *kinds):
        """Return the next record of one of these types, or None when the connection has ended."""
        while (record := await self.received.get()) is not None and not isinstance(record, kinds):
            pass
        return record

    async def error(self):
        """Return the text of the error with which the node ends the connection."""
        record = await self.next(Error)
        assert await self.next(Error) is None, "the node sent more than one error"
        return record.text


class Gateway:
    """A gateway that holds a session with raw frames and counts units by its lease."""

    def __init__(self, name, addresses):
        self.name, self.addresses = name, addresses
        self.node, self.units, self.until, self.acknowledged = "", 0, 0, 0

    async def open(self, address, cluster="farm", region="north"):
        """Connect to a node and ask for a session; return the node's answer."""
        self.connection = await Connection("gateway", self.name).connect(address)
        self.connection.link.send(0, SessionOpen(cluster, self.name, region))
        self.answer = await self.connection.received.get()
        return self.answer

    async def renew(self):
        """Send a heartbeat and take the renewed lease. Return False if the node no longer renews."""
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
        """Return the units that the gateway counts now."""
        return self.units if clock() < self.until else 0

    async def hold(self, first):
        """Hold a session until cancelled: first at the node with this number, after a loss at the next that accepts."""
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
async def run_gateways(addresses, sums):
    """Yield six gateways that hold sessions; the sum of the units they count is appended to `sums` periodically."""
    gateways = [Gateway(f"edge-{number}", addresses) for number in range(6)]

    async def watch():
        while True:
            sums.append(sum(gateway.counted() for gateway in gateways))
            await asyncio.sleep(0.01)

    tasks = [asyncio.create_task(gateway.hold(number)) for number, gateway in enumerate(gateways)]
    tasks.append(asyncio.create_task(watch()))
    try:
        yield gateways
    finally:
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            assert isinstance(outcome, asyncio.CancelledError), outcome


async def wait_until(condition, seconds=12):
    """Wait until the condition holds, at most this many seconds. Return the seconds that it took."""
    started = asyncio.get_running_loop().time()
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time() - started
