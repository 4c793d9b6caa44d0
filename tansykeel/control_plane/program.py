"""The program of a control node: it listens for gateways, operators and other control nodes, and ends on SIGTERM.

Bounds: so many connections at once as the region's gateways, its nodes and a few operators need; a peer that takes
none of what is sent to it, says no hello, or says nothing at all for long is dropped; a fault of a peer ends its own
connection alone.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

import structlog

from tansykeel.cluster.member import MemberStillAlive
from tansykeel.control_plane.gateway_connections import GatewayConnections
from tansykeel.control_plane.node_agent import NodeAgent
from tansykeel.control_plane.node_connections import NodeConnections
from tansykeel.edge.clock import clock
from tansykeel.edge.cluster_connections import ClusterConnections
from tansykeel.edge.peers import Peers
from tansykeel.protocol.codec import Codec, Event, Frame
from tansykeel.protocol.frames import (
    ControlStatusRequest,
    Error,
    Fields,
    FleetAsk,
    FleetWithout,
    Goodbye,
    Heartbeat,
    Hello,
    NodeOpen,
    ProtocolError,
    SessionClose,
    SessionOpen,
)
from tansykeel.settings.control import control_node_of, control_node_record, control_of, gateways_of
from tansykeel.settings.records import Settings
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, accept_waiting, listening

ROLES = ("gateway", "control", "client")  # of whoever opens a connection to a control node
MOST_INCARNATION = 2**62 - 1
HIGH_WATER = 256 << 10  # bytes that wait for one peer before nothing more is read from it
CONNECTIONS_PER_GATEWAY = 2  # one that it opens anew may come before the end of the last one is noticed
SPARE_CONNECTIONS = 64  # for operators, and for peers that are rejected by their hello
SILENT_SECONDS = 60.0  # a connection on which nothing came for so long serves nobody: heartbeats come far more often
SWEEP_SECONDS = 1.0
LINGER_SECONDS = (
    0.25  # in which what is on its way from gateways is still read, so that no reset takes the goodbye along
)
STOP_SECONDS = 1.0  # in which what waits is sent before the program ends
EXIT_FAILED = 70  # the program's own code failed


class ControlProgram:
    """One control node. `serve` runs it until SIGTERM, or until `stopping` is set."""

    def __init__(self, settings: Settings, number: int, seed: int) -> None:
        """Raises ControlSettingsError where the settings have no control node of this number."""
        record = control_node_record(settings, number)
        nodes = settings.nodes_of(record.region)
        names = [node.name for node in nodes]
        cluster = control_of(settings).cluster
        self.address = record.address
        self.log = structlog.get_logger().bind(node=record.name, region=record.region)
        self.hello = Hello(1, "control", record.name, time.time_ns() & MOST_INCARNATION)
        self.hub = Hub(Limits(high_water=HIGH_WATER, stall=settings.gateway.peer_stall_s))
        self.most_connections = (
            CONNECTIONS_PER_GATEWAY * len(gateways_of(settings, record.region)) + len(nodes) + SPARE_CONNECTIONS
        )
        self.last_received: dict[Link, float] = {}  # by accepted connection, the loop's time
        self.stopping = asyncio.Event()
        self.failed = False
        chance = Random(f"{seed} {self.hello.boot}")
        node = control_node_of(settings, number, self.hello.boot, chance, clock())
        own = NodeOpen(cluster, record.region)
        peers = Peers(
            [node.address for node in nodes],
            names,
            names.index(record.name),
            self.hub,
            self.hello,
            control_of(settings).connect_timeout_ms / 1000,
            self._from_node,
            listener_role="control",
            greeting=own,
        )
        members = ClusterConnections(node.member, peers, self.log)
        self.peers = peers
        self.nodes = NodeConnections(members, own, self.log)
        self.gateways = GatewayConnections()
        self.agent = NodeAgent(node, members, self.gateways, self.log)

    async def serve(self, ready: Callable[[int], None] = lambda port: None) -> int:
        """Run until SIGTERM and return the exit code; `ready` is called with the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(self._broken)
        listener = listening(self.address)
        self.hub.start()
        accepting = loop.create_task(accept_all(listener, self._accept))
        sweeping = loop.create_task(self._sweep())
        self.agent.start()
        port = listener.getsockname()[1]
        self.log.info("ready", port=port, incarnation=self.hello.boot)
        ready(port)
        await self.stopping.wait()
        self.log.info("stopping", gateways=len(self.gateways))
        accepting.cancel()
        await asyncio.sleep(0)
        accept_waiting(listener, self._accept)
        listener.close()
        await self._say_goodbye()
        sweeping.cancel()
        await self.hub.stop()
        self.log.info("stopped")
        return EXIT_FAILED if self.failed else 0

    # Within

    def _accept(self, sock: socket.socket) -> None:
        link = Link(self.hub, sock, Codec(*ROLES), self.hello, self._event, self._lost)
        if len(self.last_received) >= self.most_connections:
            link.send(0, Error(f"{self.most_connections} connections are open here already; legal: come back later"))
            link.close()
            return
        self.last_received[link] = asyncio.get_running_loop().time()

    def _event(self, link: Link, event: Event) -> None:
        if link.closing or not isinstance(event, Frame):
            return
        self.last_received[link] = asyncio.get_running_loop().time()
        if isinstance(event.record, Hello):
            self._take_hello(link, event.record)
            return
        assert link.peer is not None
        match link.peer.role:
            case "gateway":
                self._from_gateway(link, link.peer.boot, event.record)
            case "control":
                self._from_node(link, event.record)
            case "client":
                self._from_operator(link, event.stream, event.record)

    def _take_hello(self, link: Link, hello: Hello) -> None:
        if hello.role == "gateway":
            self.gateways.add(link)
        elif hello.role == "control":
            self.nodes.accept(link, hello)

    def _from_gateway(self, link: Link, incarnation: int, record: Fields) -> None:
        connection = self.gateways.id_of(link)
        if connection is None:
            return
        match record:
            case SessionOpen() | Heartbeat() | SessionClose():
                self.agent.handle_gateway_record(connection, incarnation, record)
            case Goodbye():
                link.close()

    def _from_node(self, link: Link, record: Fields) -> None:
        if (received := self.nodes.handle_record(link, record)) is not None:
            self.agent.handle_node_message(*received)

    def _from_operator(self, link: Link, stream: int, record: Fields) -> None:
        match record:
            case ControlStatusRequest():
                link.send(stream, self.agent.status())
            case FleetAsk():
                link.send(stream, self.agent.cluster_status())
            case FleetWithout(names):
                self._go_without(names)
                link.send(stream, self.agent.cluster_status())
            case Error() | Goodbye():
                link.close()
            case _:
                kind = type(record).__name__
                raise ProtocolError(f"{kind}: a control node has no tasks and no maintenance; legal: ask a gateway")

    def _go_without(self, names: tuple[str, ...]) -> None:
        try:
            self.agent.node.member.go_without(names)
        except MemberStillAlive as error:
            raise ProtocolError(f"FLEET_WITHOUT: {error}; {error.do}") from None
        self.log.info("goes without", names=list(names))

    def _lost(self, link: Link, why: str) -> None:
        self.last_received.pop(link, None)
        if (connection := self.gateways.remove(link)) is not None:
            self.agent.handle_connection_lost(connection)

    def _broken(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The program's own code failed: end, so that a supervisor starts a new one; gateways move meanwhile."""
        self.log.error("failed", message=context.get("message"), exc_info=context.get("exception"))
        self.failed = True
        self.stopping.set()

    async def _say_goodbye(self) -> None:
        if self.failed:  # a core that failed is not asked for anything more
            self.agent.stop()
        else:
            self.agent.leave()
        await asyncio.sleep(LINGER_SECONDS)
        self.agent.stop()
        self.peers.close()
        for link in list(self.hub.links):
            link.close()
        end = asyncio.get_running_loop().time() + STOP_SECONDS
        while self.hub.links and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)

    async def _sweep(self) -> None:
        """Close connections on which nothing came for long."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for link, at in list(self.last_received.items()):
                if loop.time() - at > SILENT_SECONDS and not link.closing:
                    link.send(0, Error(f"nothing came for {SILENT_SECONDS:g} s; legal: a heartbeat or a question"))
                    link.close()
