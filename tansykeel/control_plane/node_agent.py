"""Runs the core of a control node on the program's clock and connections, and logs what changes."""

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
SUMMARY_EVERY = 10 * 10_000  # tenths of a millisecond between log lines that sum up the sessions


@dataclass(frozen=True, slots=True)
class Summary:
    """What one log line tells of the sessions. Units are billionths of the whole beside the safe part."""

    sessions: int
    units_granted: int
    budget: int
    admitted: int
    rejected: int


class NodeAgent:
    """Feeds the core with events and carries out its actions. Nothing happens any more after `end`."""

    def __init__(self, node: ControlNode, members: ClusterConnections, gateways: GatewayConnections, log: Any) -> None:
        self.node, self.members, self.gateways, self.log = node, members, gateways, log
        self._reminder = WakeupTimer(self._tick)
        self._ended = False
        self._leased = False
        self._leader = ""
        self._summary = Summary(0, 0, 0, 0, 0)
        self._next_summary = clock() + SUMMARY_EVERY

    def start(self) -> None:
        """Begin to look for the other control nodes."""
        self._carry_out(clock(), [])

    def node_message(self, sender: Member, message: ClusterMessage) -> None:
        """Take in a message of another control node."""
        if not self._ended:
            now = clock()
            self._carry_out(now, self.node.handle_node_message(now, sender, message))

    def gateway_message(self, connection: ConnectionId, incarnation: int, record: Fields) -> None:
        """Take in a record of a gateway."""
        if not self._ended:
            now = clock()
            self._carry_out(now, self.node.handle_gateway_record(now, connection, incarnation, record))

    def connection_lost(self, connection: ConnectionId) -> None:
        """Take in that a gateway's connection ended."""
        if not self._ended:
            now = clock()
            self._carry_out(now, self.node.connection_lost(now, connection))

    def leave(self) -> None:
        """Tell all others that this node ends."""
        now = clock()
        self._carry_out(now, self.node.leave(now))

    def end(self) -> None:
        """Stop the clock of the core."""
        self._ended = True

    def status(self) -> ControlStatus:
        """Return what this node believes of its region and of itself."""
        return self.node.status(clock())

    def cluster_status(self) -> FleetTold:
        """Return what this node believes of the other nodes; it counts no part of any whole by itself."""
        return self.members.status(clock(), 0.0)

    # Within

    def _tick(self, now: int) -> None:
        if self._ended:
            return
        actions: list[NodeAction] = []
        if now >= self.node.due():
            actions = self.node.tick(now, time.time_ns() // NS_IN_MS)
        self._carry_out(now, actions)

    def _carry_out(self, now: int, actions: list[NodeAction]) -> None:
        self._log_changes(now)
        for action in actions:
            match action:
                case SendToNode(name, message):
                    self.members.send(name, message)
                case SendToGateway(connection, record):
                    self.gateways.send(connection, record)
                case CloseConnection(connection, reason):
                    self.gateways.close(connection, reason)
        self._reminder.set(max(self.node.due(), now + 1))

    def _log_changes(self, now: int) -> None:
        self.members.log_changes()
        agreement, log = self.node.member.agreement, self.node.member.replicated_log
        if (leased := agreement.leased(now)) is not self._leased:
            self._leased = leased
            self.log.info("lease", held=leased, view=agreement.number, active=agreement.active)
        if log is not None and log.leader != self._leader:
            self._leader = log.leader
            self.log.info("leader", name=log.leader or None, leads=log.leader == self.node.name, view=agreement.number)
        if now >= self._next_summary:
            self._next_summary = now + SUMMARY_EVERY
            self._log_summary()

    def _log_summary(self) -> None:
        told = self.status()
        summary = Summary(told.sessions, told.units_granted, told.budget, told.admitted, told.rejected)
        if summary == self._summary:
            return
        before, self._summary = self._summary, summary
        self.log.info(
            "sessions",
            held=summary.sessions,
            units_granted=summary.units_granted,
            budget=summary.budget,
            admitted=summary.admitted - before.admitted,
            rejected=summary.rejected - before.rejected,
        )
