"""Gateways and control nodes in simulated time: the real cores of both, hosted as processes that can fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Member
from tansykeel.control.actions import (
    CloseConnection,
    ConnectToNode,
    DisconnectFromNode,
    EffectiveLease,
    GatewayAction,
    NodeAction,
    SendToControl,
    SendToGateway,
    SendToNode,
)
from tansykeel.control.held_lease import NO_LEASE
from tansykeel.control.node import ControlNode
from tansykeel.control.session_client import SessionClient
from tansykeel.emulator.control_network import Connection
from tansykeel.emulator.control_trial import GatewayPlace, NodePlace
from tansykeel.emulator.drifting_clock import DriftingClock
from tansykeel.emulator.engine import Engine
from tansykeel.protocol.frames import Fields

MICROSECONDS_IN_MS = 1_000


class Carrier(Protocol):
    """What processes ask of the simulation around them."""

    engine: Engine

    def measure(self, process: Process, step: Callable[[], list]) -> list:
        """Carry out a step of a core, and count its processor time."""

    def connect(self, gateway: GatewayProcess, node: str) -> None:
        """Open a connection; `connected` or `lost` of the gateway follows."""

    def to_node(self, connection: Connection, record: Fields) -> None:
        """Send a frame of a gateway."""

    def to_gateway(self, connection: Connection, record: Fields) -> None:
        """Send a frame of a control node."""

    def between_nodes(self, sender: NodeProcess, node: str, message: ClusterMessage) -> None:
        """Send a message of one control node to another."""

    def close(self, connection: Connection, by_gateway: bool) -> None:
        """End a connection after all that was sent on it from this end."""

    def claimed(self, gateway: GatewayProcess, lease: EffectiveLease) -> None:
        """Note that a gateway counts something else than before."""


class Process:
    """One process that starts, is killed, stands still and goes on; its core has a clock of its own."""

    def __init__(self, carrier: Carrier, name: str, region: str, zone: int, clock: DriftingClock) -> None:
        self.carrier = carrier
        self.name = name
        self.region = region
        self.zone = zone
        self.clock = clock
        self.up = False
        self.silent = False  # its machine is lost: nobody is told that its connections ended
        self.incarnation = 0
        self.stalled_until = 0
        self._armed_for = 0  # the moment of the tick that is planned

    def now(self) -> int:
        """Return what the process's own clock shows."""
        return self.clock.at(self.carrier.engine.now)

    def stall(self, until: int) -> None:
        """Stand still until a moment of the engine."""
        self.stalled_until = max(self.stalled_until, until)

    def begin(self) -> None:
        """Start anew, with nothing known."""
        self.up = True
        self.silent = False
        self.stalled_until = 0
        self.incarnation = max(self.carrier.engine.now // MICROSECONDS_IN_MS, self.incarnation + 1)

    def waits(self, call: Callable[..., None], *arguments: object) -> bool:
        """Return whether the process stands still; the call is made again once it goes on."""
        if self.stalled_until > self.carrier.engine.now:
            self.carrier.engine.at(self.stalled_until, call, *arguments)
            return True
        return False

    def arm(self, due: int) -> None:
        """Plan the next tick, in place of one that was planned for later."""
        moment = max(self.clock.moment_of(due), self.carrier.engine.now + 1)
        if self._armed_for <= self.carrier.engine.now or moment < self._armed_for:
            self._armed_for = moment
            self.carrier.engine.at(moment, self._wake, self.incarnation, moment)

    def tick(self) -> None:
        """Do what is due."""
        raise NotImplementedError

    def _wake(self, incarnation: int, moment: int) -> None:
        if not self.up or incarnation != self.incarnation or moment != self._armed_for:
            return
        if not self.waits(self._wake, incarnation, moment):
            self._armed_for = 0
            self.tick()


class GatewayProcess(Process):
    """A gateway: nothing of it but its session client."""

    def __init__(
        self,
        carrier: Carrier,
        place: GatewayPlace,
        clock: DriftingClock,
        make: Callable[[GatewayProcess], SessionClient],
    ) -> None:
        super().__init__(carrier, place.name, place.region, place.zone, clock)
        self.client: SessionClient
        self.connections: dict[str, Connection] = {}
        self._make = make
        self._claimed = NO_LEASE
        self.refused = 0  # renewals, by clients of earlier starts

    def start(self) -> None:
        """Start anew."""
        self.begin()
        self.client = self._make(self)
        self.connections = {}
        self._claimed = NO_LEASE
        self._armed_for = 0
        self.arm(self.client.due())

    def stop(self) -> None:
        """End as planned."""
        self._step(lambda: self.client.close(self.now()))
        self._ended()

    def kill(self) -> None:
        """End at once."""
        for connection in list(self.connections.values()):
            self.carrier.close(connection, by_gateway=True)
        self._ended()

    def tick(self) -> None:
        """Do what is due."""
        if self.now() >= self.client.due():
            self._step(lambda: self.client.tick(self.now()))
        else:
            self.arm(self.client.due())

    def connected(self, connection: Connection) -> None:
        """A connection that was asked for is up."""
        if self._has(connection) and not self.waits(self.connected, connection):
            self._step(lambda: self.client.connected(self.now(), connection.node))

    def arrived(self, connection: Connection, record: Fields) -> None:
        """A frame of a control node came in."""
        if self._has(connection) and not self.waits(self.arrived, connection, record):
            self._step(lambda: self.client.handle_record(self.now(), connection.node, record))

    def lost(self, connection: Connection) -> None:
        """A connection ended, or never came up."""
        if self._has(connection) and not self.waits(self.lost, connection):
            del self.connections[connection.node]
            self._step(lambda: self.client.connection_lost(self.now(), connection.node))

    def _has(self, connection: Connection) -> bool:
        return self.up and self.connections.get(connection.node) is connection

    def _ended(self) -> None:
        self.refused += self.client.refusals.total()
        self.up = False
        self.connections = {}
        self._claimed = NO_LEASE

    def _step(self, step: Callable[[], list[GatewayAction]]) -> None:
        actions = self.carrier.measure(self, step)
        lease = self.client.effective_lease(self.now())
        if lease != self._claimed:
            self._claimed = lease
            self.carrier.claimed(self, lease)
        for action in actions:
            self._do(action)
        self.arm(self.client.due())

    def _do(self, action: GatewayAction) -> None:
        match action:
            case ConnectToNode(node):
                self.carrier.connect(self, node)
            case SendToControl(node, record):
                self.carrier.to_node(self.connections[node], record)
            case DisconnectFromNode(node):
                self.carrier.close(self.connections.pop(node), by_gateway=True)


class NodeProcess(Process):
    """A control node."""

    def __init__(
        self, carrier: Carrier, place: NodePlace, clock: DriftingClock, make: Callable[[NodeProcess], ControlNode]
    ) -> None:
        super().__init__(carrier, place.name, place.region, place.zone, clock)
        self.node: ControlNode
        self.connections: dict[int, Connection] = {}
        self._make = make

    def start(self) -> None:
        """Start anew."""
        self.begin()
        self.node = self._make(self)
        self.connections = {}
        self._armed_for = 0
        self.arm(self.node.due())

    def kill(self) -> None:
        """End at once."""
        for connection in list(self.connections.values()):
            self.carrier.close(connection, by_gateway=False)
        self.up = False
        self.connections = {}

    @property
    def leads(self) -> bool:
        """Whether it leads its region's replicated log."""
        replicated_log = self.node.member.replicated_log
        return self.up and replicated_log is not None and replicated_log.leads

    def reset_connections(self) -> None:
        """Lose all connections of gateways, as if something between had reset them."""
        for connection in list(self.connections.values()):
            self.carrier.close(connection, by_gateway=False)
            self.lost(connection)

    def tick(self) -> None:
        """Do what is due."""
        wall_ms = self.carrier.engine.now // MICROSECONDS_IN_MS
        self._step(lambda: self.node.tick(self.now(), wall_ms))

    def heard(self, sender: Member, message: ClusterMessage) -> None:
        """Take a message of another control node."""
        if self.up and not self.waits(self.heard, sender, message):
            self._step(lambda: self.node.handle_node_message(self.now(), sender, message))

    def arrived(self, connection: Connection, record: Fields) -> None:
        """Take a frame of a gateway."""
        if self._has(connection) and not self.waits(self.arrived, connection, record):
            incarnation = connection.gateway_incarnation
            self._step(lambda: self.node.handle_gateway_record(self.now(), connection.number, incarnation, record))

    def lost(self, connection: Connection) -> None:
        """A connection ended at its other end."""
        if self._has(connection) and not self.waits(self.lost, connection):
            del self.connections[connection.number]
            connection.node_open = False
            self._step(lambda: self.node.connection_lost(self.now(), connection.number))

    def _has(self, connection: Connection) -> bool:
        return self.up and self.connections.get(connection.number) is connection

    def _step(self, step: Callable[[], list[NodeAction]]) -> None:
        for action in self.carrier.measure(self, step):
            self._do(action)
        self.arm(self.node.due())

    def _do(self, action: NodeAction) -> None:
        match action:
            case SendToNode(node, message):
                self.carrier.between_nodes(self, node, message)
            case SendToGateway(number, record):
                if number in self.connections:
                    self.carrier.to_gateway(self.connections[number], record)
            case CloseConnection(number):
                if number in self.connections:
                    self.carrier.close(self.connections.pop(number), by_gateway=False)
