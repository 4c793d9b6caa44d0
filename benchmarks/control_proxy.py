"""What the proxy between gateways and control nodes costs: its processor time, memory and record, by connections.

    python benchmarks/control_proxy.py [--connections 620 1240] [--frames 2000] [--seconds 10] [--loss 0.01]

Simulated gateways and one simulated control node run in this process; the proxy is a process of its own. `--frames`: a
second, half of them heartbeats and half their answers, whatever the number of connections.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.protocol.codec import Codec  # noqa: E402
from tansykeel.protocol.frames import (  # noqa: E402
    VERSION,
    Heartbeat,
    Hello,
    LeaseRenewal,
    SessionAccepted,
    SessionOpen,
    pack,
)
from tansykeel.transport.sockets import run  # noqa: E402

SETTLE_S = 1.0  # seconds between the last connection and the first measure
MILLISECOND_NS = 1_000_000
ONE_SECOND_US = 1_000_000


class SimulatedNode(asyncio.Protocol):
    """Accepts every session and answers every heartbeat."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.codec = Codec("gateway")
        transport.write(pack(0, Hello(VERSION, "control", "control-0", 5)))

    def data_received(self, data: bytes) -> None:
        for frame in self.codec.receive(data):
            if isinstance(frame.record, SessionOpen):
                self.transport.write(pack(0, SessionAccepted("c", "control-0", 1, ONE_SECOND_US)))
            elif isinstance(frame.record, Heartbeat):
                self.transport.write(pack(0, LeaseRenewal(1, frame.record.asked_at, 1, 1, 1)))


class SimulatedGateway(asyncio.Protocol):
    """Sends a heartbeat every so many seconds, and notes how long each answer took, in milliseconds."""

    def __init__(self, number: int, first: float, every: float, round_trips: list[float]) -> None:
        self.number, self.first, self.every, self.round_trips = number, first, every, round_trips

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.codec = Codec("control")
        name = f"gateway-{self.number}"
        transport.write(pack(0, Hello(VERSION, "gateway", name, 10)) + pack(0, SessionOpen("c", name, "north")))
        asyncio.get_running_loop().call_later(self.first, self._beat)

    def data_received(self, data: bytes) -> None:
        for frame in self.codec.receive(data):
            if isinstance(frame.record, LeaseRenewal):
                self.round_trips.append((time.monotonic_ns() - frame.record.asked_at) / MILLISECOND_NS)

    def _beat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(pack(0, Heartbeat(1, time.monotonic_ns(), 0)))
            asyncio.get_running_loop().call_later(self.every, self._beat)


class ProxyProcess:
    """The proxy, and what it has spent."""

    def __init__(self, folder: Path, node_port: int, gateways: int) -> None:
        node = {"name": "control-0", "address": f"127.0.0.1:{node_port}", "region": "north"}
        places = [{"name": f"gateway-{number}", "region": "north"} for number in range(gateways)]
        plan, self.record = folder / "plan.json", folder / "links.rec"
        plan.write_text(json.dumps({"nodes": [node], "gateways": places}))
        words = [sys.executable, "-m", "tansykeel", "control-proxy", plan, "--record", self.record]
        self.process = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.port = json.loads(self.process.stdout.readline())["ports"]["control-0"]

    def lose(self, share: float) -> None:
        """Have a share of all frames lost and sent again, until the end."""
        fault = {"kind": "loss", "seconds": 1e6, "share": share}
        self.process.stdin.write(json.dumps({"verb": "fault", "fault": fault}) + "\n")
        self.process.stdin.flush()

    def processor_s(self) -> float:
        """Return its processor time in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Return its resident memory in megabytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def end(self) -> None:
        """End it with its standard input."""
        self.process.stdin.close()
        self.process.wait()


async def measure(folder: Path, connections: int, given: argparse.Namespace) -> str:
    """One line of figures."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(SimulatedNode, "127.0.0.1", 0, backlog=connections)
    proxy = ProxyProcess(folder, server.sockets[0].getsockname()[1], connections)
    every = 2 * connections / given.frames
    round_trips: list[float] = []
    transports = []
    for number in range(connections):
        gateway = SimulatedGateway(number, number / connections * every, every, round_trips)
        transports.append((await loop.create_connection(lambda made=gateway: made, "127.0.0.1", proxy.port))[0])
    await asyncio.sleep(SETTLE_S)
    if given.loss:
        proxy.lose(given.loss)
    round_trips.clear()
    spent, size, begun = proxy.processor_s(), proxy.record.stat().st_size, time.monotonic()
    await asyncio.sleep(given.seconds)
    seconds = time.monotonic() - begun
    part, frames = (proxy.processor_s() - spent) / seconds, 2 * len(round_trips)
    recorded = (proxy.record.stat().st_size - size) / frames
    ordered, resident = sorted(round_trips), proxy.resident_mb()
    for transport in transports:
        transport.close()
    proxy.end()
    server.close()
    return (
        f"{connections:>6} connections {frames / seconds:>6.0f} frames/s {100 * part:>5.1f}% of a core "
        f"{resident:>5.0f} MB {recorded:>4.0f} bytes recorded a frame, round trip ms: "
        f"p50 {ordered[len(ordered) // 2]:.1f} p99 {ordered[len(ordered) * 99 // 100]:.1f} most {ordered[-1]:.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--connections", type=int, nargs="+", default=[620, 1240])
    parser.add_argument("--frames", type=float, default=2_000.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--loss", type=float, default=0.0)
    given = parser.parse_args()
    for connections in given.connections:
        with tempfile.TemporaryDirectory() as folder:
            print(run(partial(measure, Path(folder), connections, given)), flush=True)
    print(f"load of the machine: {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
