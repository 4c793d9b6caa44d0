"""The program of a control node: serves gateways, operators and other control nodes until SIGTERM.

The number of connections is limited to what the region's gateways, its control nodes and a few operators need. A
connection is closed if the peer stops reading, sends no HELLO, or sends nothing for a long time. A protocol error
closes only the connection on which it occurred.
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

ROLES = ("gateway", "control", "client")  # roles that may open a connection to a control node
MAX_INCARNATION = 2**62 - 1
HIGH_WATER = 256 << 10  # bytes queued for one peer above which nothing more is read from it
CONNECTIONS_PER_GATEWAY = 2  # a gateway may reconnect before the loss of its old connection is noticed
SPARE_CONNECTIONS = 64  # for operators, and for peers that are rejected after their HELLO
IDLE_TIMEOUT_SECONDS = 60.0  # far longer than the heartbeat interval, so such a connection is not in use
IDLE_CHECK_SECONDS = 1.0  # time between two checks for idle connections
# After GOODBYE, records that are still in transit are read for this time: closing a socket with unread data sends a
# reset, which can discard the GOODBYE before the peer reads it.
LINGER_SECONDS = 0.25
FLUSH_SECONDS = 1.0  # time to send queued records before the program ends
EXIT_FAILED = 70  # exit code after an internal error


class ControlProgram:
    """One control node. `serve` runs it until SIGTERM or SIGINT, or until `stopping` is set."""

    def __init__(self, settings: Settings, number: int, seed: int) -> None:
        """Create the control node with this number; `seed` and the incarnation seed its random generator.

        Raises ControlSettingsError if the settings have no control node with this number.
        """
        record = control_node_record(settings, number)
        nodes = settings.nodes_of(record.region)
        names = [node.name for node in nodes]
        cluster = control_of(settings).cluster
        self.address = record.address
        self.log = structlog.get_logger().bind(node=record.name, region=record.region)
        self.hello = Hello(1, "control", record.name, time.time_ns() & MAX_INCARNATION)
        self.hub = Hub(Limits(high_water=HIGH_WATER, stall=settings.gateway.peer_stall_s))
        self.max_connections = (
            CONNECTIONS_PER_GATEWAY * len(gateways_of(settings, record.region)) + len(nodes) + SPARE_CONNECTIONS
        )
        self.last_received: dict[Link, float] = {}  # by accepted connection, in time of the event loop
        self.stopping = asyncio.Event()
        self.failed = False
        rng = Random(f"{seed} {self.hello.boot}")
        node = control_node_of(settings, number, self.hello.boot, rng, clock())
        own = NodeOpen(cluster, record.region)
        peers = Peers(
            [node.address for node in nodes],
            names,
            names.index(record.name),
            self.hub,
            self.hello,
            control_of(settings).connect_timeout_ms / 1000,
            self._handle_node_record,
            listener_role="control",
            greeting=own,
        )
        members = ClusterConnections(node.member, peers, self.log)
        self.peers = peers
        self.nodes = NodeConnections(members, own, self.log)
        self.gateways = GatewayConnections()
        self.agent = NodeAgent(node, members, self.gateways, self.log)

    async def serve(self, ready: Callable[[int], None] = lambda port: None) -> int:
        """Run until SIGTERM and return the exit code; `ready` is called with the port once the node listens.

        Raises OSError if it cannot listen on its address.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(self._handle_failure)
        listener = listening(self.address)
        self.hub.start()
        accepting = loop.create_task(accept_all(listener, self._accept))
        closing_idle = loop.create_task(self._close_idle_connections())
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
        await self._shut_down()
        closing_idle.cancel()
        await self.hub.stop()
        self.log.info("stopped")
        return EXIT_FAILED if self.failed else 0

    # Implementation

    def _accept(self, sock: socket.socket) -> None:
        link = Link(self.hub, sock, Codec(*ROLES), self.hello, self._handle_event, self._connection_lost)
        if len(self.last_received) >= self.max_connections:
            link.send(0, Error(f"{self.max_connections} connections are open here already; legal: come back later"))
            link.close()
            return
        self.last_received[link] = asyncio.get_running_loop().time()

    def _handle_event(self, link: Link, event: Event) -> None:
        if link.closing or not isinstance(event, Frame):
            return
        self.last_received[link] = asyncio.get_running_loop().time()
        if isinstance(event.record, Hello):
            self._handle_hello(link, event.record)
            return
        assert link.peer is not None
        match link.peer.role:
            case "gateway":
                self._handle_gateway_record(link, link.peer.boot, event.record)
            case "control":
                self._handle_node_record(link, event.record)
            case "client":
                self._handle_operator_record(link, event.stream, event.record)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        if hello.role == "gateway":
            self.gateways.add(link)
        elif hello.role == "control":
            self.nodes.accept(link, hello)

    def _handle_gateway_record(self, link: Link, incarnation: int, record: Fields) -> None:
        connection = self.gateways.id_of(link)
        if connection is None:
            return
        match record:
            case SessionOpen() | Heartbeat() | SessionClose():
                self.agent.handle_gateway_record(connection, incarnation, record)
            case Goodbye():
                link.close()

    def _handle_node_record(self, link: Link, record: Fields) -> None:
        if (received := self.nodes.handle_record(link, record)) is not None:
            self.agent.handle_node_message(*received)

    def _handle_operator_record(self, link: Link, stream: int, record: Fields) -> None:
        match record:
            case ControlStatusRequest():
                link.send(stream, self.agent.status())
            case FleetAsk():
                link.send(stream, self.agent.cluster_status())
            case FleetWithout(names):
                self._form_view_without(names)
                link.send(stream, self.agent.cluster_status())
            case Error() | Goodbye():
                link.close()
            case _:
                kind = type(record).__name__
                raise ProtocolError(f"{kind}: a control node has no tasks and no maintenance; legal: ask a gateway")

    def _form_view_without(self, names: tuple[str, ...]) -> None:
        try:
            self.agent.node.member.go_without(names)
        except MemberStillAlive as error:
            raise ProtocolError(f"FLEET_WITHOUT: {error}; {error.do}") from None
        self.log.info("goes without", names=list(names))

    def _connection_lost(self, link: Link, why: str) -> None:
        self.last_received.pop(link, None)
        if (connection := self.gateways.remove(link)) is not None:
            self.agent.handle_connection_lost(connection)

    def _handle_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Stop after an internal error: gateways move to other nodes, and a supervisor restarts this one."""
        self.log.error("failed", message=context.get("message"), exc_info=context.get("exception"))
        self.failed = True
        self.stopping.set()

    async def _shut_down(self) -> None:
        if self.failed:  # the core may be in an inconsistent state and is not called again
            self.agent.stop()
        else:
            self.agent.leave()
        await asyncio.sleep(LINGER_SECONDS)
        self.agent.stop()
        self.peers.close()
        for link in list(self.hub.links):
            link.close()
        deadline = asyncio.get_running_loop().time() + FLUSH_SECONDS
        while self.hub.links and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)

    async def _close_idle_connections(self) -> None:
        """Close accepted connections on which nothing was received for IDLE_TIMEOUT_SECONDS."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            for link, received_at in list(self.last_received.items()):
                if loop.time() - received_at > IDLE_TIMEOUT_SECONDS and not link.closing:
                    link.send(
                        0, Error(f"nothing came for {IDLE_TIMEOUT_SECONDS:g} s; legal: a heartbeat or a question")
                    )
                    link.close()
