"""A proxy between gateways and control nodes, and between control nodes, that causes faults and records what passes.

It listens on one port for each control node; gateways, other control nodes and operators connect to that. Who is at
the other end is learnt from the hello. Frames are known by their heads and go on whole, at once or when a fault lets
them; each is written down with both moments, for the checker of the control plane believes no gateway's own word. A
frame's second moment is that at which it is due, and is kept also where its connection ends before.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, Literal

import msgspec
from msgspec import Struct

from tansykeel.audit.records import now_us
from tansykeel.rehearse.connection_faults import ConnectionFault, ConnectionFaults, End, FaultKind
from tansykeel.rehearse.frame_recorder import FrameRecorder, Speaker
from tansykeel.rehearse.proxied_connection import STRANGER, HeldFrame, ProxiedConnection
from tansykeel.rehearse.proxy_plan import NodeTarget, ProxyPlan
from tansykeel.standin.control import commands

BACKLOG = 4_096  # connections that wait to be accepted: all gateways of a region may come back at once
FLUSH_EVERY = 200_000  # microseconds between writings of what passed


class Traffic(Struct):
    """What one gateway or control node sent and received since the proxy's start, over all its connections."""

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0


class ControlProxy:
    """Holds all connections. The loop that opens it runs it."""

    def __init__(self, plan: ProxyPlan, record: Path) -> None:
        self.plan = plan
        self.recorder = FrameRecorder(record, plan.most_record_bytes)
        self.faults = ConnectionFaults(Random(plan.seed))
        self.connections: set[ProxiedConnection] = set()
        self.traffic: dict[str, Traffic] = {}
        self.due: list[tuple[int, int, HeldFrame]] = []  # frames that a fault keeps back, by when they go on
        self._held = 0  # frames that were ever kept back: keeps those of one moment in their order
        self._ends = {node.name: End(node.name, "node", node.region, node.zone) for node in plan.nodes}
        self._ends |= {place.name: End(place.name, "gateway", place.region, place.zone) for place in plan.gateways}
        self._servers: list[asyncio.Server] = []
        self._timer: asyncio.TimerHandle | None = None
        self._flushing: asyncio.TimerHandle | None = None

    async def open(self) -> dict[str, int]:
        """Listen, and return the port for each control node by its name."""
        loop = asyncio.get_running_loop()
        ports = {}
        for node in self.plan.nodes:
            server = await loop.create_server(self._protocol_for(node), "127.0.0.1", 0, backlog=BACKLOG)
            self._servers.append(server)
            ports[node.name] = server.sockets[0].getsockname()[1]
        self._flush()
        return ports

    def cause(self, fault: ConnectionFault) -> None:
        """Let a fault strike from now on."""
        self.faults.cause(now_us(), fault)
        if fault.kind is FaultKind.RESET:
            for connection in list(self.connections):
                if connection.struck_by(fault) and self.faults.chance.random() < fault.share:
                    connection.abort()

    def end_of(self, name: str) -> End:
        """Return who says hello by this name, and where it lies."""
        return self._ends.get(name, STRANGER)

    def hold(self, moment: int, frame: HeldFrame) -> None:
        """Keep a frame back until a moment."""
        self._held += 1
        heapq.heappush(self.due, (moment, self._held, frame))
        if self.due[0][2] is frame:
            self._set_timer()

    def count(self, sender: Speaker, receiver: Speaker, size: int) -> None:
        """Count a frame for both ends."""
        sent = self.traffic.setdefault(sender.end.name, Traffic())
        sent.frames_sent += 1
        sent.bytes_sent += size
        received = self.traffic.setdefault(receiver.end.name, Traffic())
        received.frames_received += 1
        received.bytes_received += size

    def end(self) -> None:
        """Close all, and finish the record."""
        for timer in (self._timer, self._flushing):
            if timer:
                timer.cancel()
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.abort()
        self.recorder.close()

    def _protocol_for(self, node: NodeTarget) -> Callable[[], asyncio.Protocol]:
        return lambda: ProxiedConnection(self, node).dialer

    def _set_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        rest = max(self.due[0][0] - now_us(), 0) / 1e6
        self._timer = asyncio.get_running_loop().call_later(rest, self._release)

    def _release(self) -> None:
        """Let go on what is due."""
        self._timer = None
        now = now_us()
        while self.due and self.due[0][0] <= now:
            heapq.heappop(self.due)[2].go_on()
        if self.due:
            self._set_timer()

    def _flush(self) -> None:
        self.recorder.flush(FLUSH_EVERY)
        self._flushing = asyncio.get_running_loop().call_later(FLUSH_EVERY / 1e6, self._flush)


class Command(Struct, frozen=True):
    """What the proxy is told while it runs: to cause a fault, to say what everyone sent and received, or to end."""

    verb: Literal["fault", "traffic", "end"]
    fault: ConnectionFault | None = None


async def serve(plan: ProxyPlan, record: Path, say: Callable[..., None]) -> None:
    """Run a proxy until standard input ends; each line of it is a command."""
    proxy = ControlProxy(plan, record)
    say(event="ready", ports=await proxy.open())
    over = asyncio.Event()

    def carry_out(told: dict[str, Any]) -> None:
        command = msgspec.convert(told, Command)
        if command.verb == "end":
            over.set()
        elif command.fault is not None:
            proxy.cause(command.fault)
        else:
            say(event="traffic", by_name=msgspec.to_builtins(proxy.traffic))

    reading = asyncio.create_task(commands(carry_out))
    await asyncio.wait([reading, asyncio.create_task(over.wait())], return_when=asyncio.FIRST_COMPLETED)
    reading.cancel()
    proxy.end()
