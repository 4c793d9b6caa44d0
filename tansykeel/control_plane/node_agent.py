"""Connects the core of a control node to the program's clock and connections, and logs its state changes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Member
from tansykeel.control.actions import CloseConnection, ConnectionId, NodeAction, SendToGateway, SendToNode
from tansykeel.control.node import ControlNode
from tansykeel.control_plane.gateway_connections import GatewayConnections
from tansykeel.edge.clock import WakeupTimer, clock
from tansykeel.edge.cluster_connections import ClusterConnections
from tansykeel.protocol.frames import ControlStatus, Fields, FleetTold

NS_IN_MS = 1_000_000
SUMMARY_INTERVAL = 10 * 10_000  # tenths of a millisecond between two log lines with session counts


@dataclass(frozen=True, slots=True)
class SessionSummary:
    """The values of one session log line; `admitted` and `rejected` count from the start of the node.

    Units are billionths of the whole that all regions share, without its safe part.
    """

    sessions: int
    units_granted: int
    budget: int
    admitted: int
    rejected: int


class NodeAgent:
    """Passes events to the core and executes the actions that it returns. After `stop`, events are ignored."""

    def __init__(self, node: ControlNode, members: ClusterConnections, gateways: GatewayConnections, log: Any) -> None:
        self.node, self.members, self.gateways, self.log = node, members, gateways, log
        self._timer = WakeupTimer(self._tick)
        self._stopped = False
        self._has_lease = False
        self._leader = ""
        self._summary = SessionSummary(0, 0, 0, 0, 0)
        self._next_summary = clock() + SUMMARY_INTERVAL

    def start(self) -> None:
        """Start the timer of the core, which then contacts the other control nodes."""
        self._execute(clock(), [])

    def handle_node_message(self, sender: Member, message: ClusterMessage) -> None:
        """Pass a message from another control node to the core."""
        if not self._stopped:
            now = clock()
            self._execute(now, self.node.handle_node_message(now, sender, message))

    def handle_gateway_record(self, connection: ConnectionId, incarnation: int, record: Fields) -> None:
        """Pass a record from a gateway to the core; `incarnation` is that of the gateway process."""
        if not self._stopped:
            now = clock()
            self._execute(now, self.node.handle_gateway_record(now, connection, incarnation, record))

    def handle_connection_lost(self, connection: ConnectionId) -> None:
        """Tell the core that a connection from a gateway has ended."""
        if not self._stopped:
            now = clock()
            self._execute(now, self.node.connection_lost(now, connection))

    def leave(self) -> None:
        """Begin a planned shutdown: tell the gateways and the other control nodes that this node leaves."""
        now = clock()
        self._execute(now, self.node.leave(now))

    def stop(self) -> None:
        """Stop the core: events and timers are ignored from now on."""
        self._stopped = True

    def status(self) -> ControlStatus:
        """Return the status of this node and its view of the region."""
        return self.node.status(clock())

    def cluster_status(self) -> FleetTold:
        """Return this node's view of the other control nodes.

        The share of divided limits is reported as 0, because only gateways use such a share.
        """
        return self.members.status(clock(), 0.0)

    # Implementation

    def _tick(self, now: int) -> None:
        if self._stopped:
            return
        actions: list[NodeAction] = []
        if now >= self.node.due():
            actions = self.node.tick(now, time.time_ns() // NS_IN_MS)
        self._execute(now, actions)

    def _execute(self, now: int, actions: list[NodeAction]) -> None:
        self._log_changes(now)
        for action in actions:
            match action:
                case SendToNode(name, message):
                    self.members.send(name, message)
                case SendToGateway(connection, record):
                    self.gateways.send(connection, record)
                case CloseConnection(connection, reason):
                    self.gateways.close(connection, reason)
        self._timer.set(max(self.node.due(), now + 1))

    def _log_changes(self, now: int) -> None:
        self.members.log_changes()
        agreement, log = self.node.member.agreement, self.node.member.replicated_log
        if (has_lease := agreement.leased(now)) is not self._has_lease:
            self._has_lease = has_lease
            self.log.info("lease", held=has_lease, view=agreement.number, active=agreement.active)
        if log is not None and log.leader != self._leader:
            self._leader = log.leader
            self.log.info("leader", name=log.leader or None, leads=log.leader == self.node.name, view=agreement.number)
        if now >= self._next_summary:
            self._next_summary = now + SUMMARY_INTERVAL
            self._log_summary()

    def _log_summary(self) -> None:
        status = self.status()
        summary = SessionSummary(status.sessions, status.units_granted, status.budget, status.admitted, status.rejected)
        if summary == self._summary:
            return
        previous, self._summary = self._summary, summary
        self.log.info(
            "sessions",
            held=summary.sessions,
            units_granted=summary.units_granted,
            budget=summary.budget,
            admitted=summary.admitted - previous.admitted,
            rejected=summary.rejected - previous.rejected,
        )
