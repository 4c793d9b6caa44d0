"""A control node: holds sessions of its region's gateways and grants them leases within its budget. Does no I/O.

It takes events with their time and returns actions (`actions.py`). The nodes of a region agree on views of their own
membership and keep their budgets in a replicated log (`cluster/member.py`, `budget_state.py`); the leases that a node
grants are kept in its memory only. `docs/control.md` describes the design and why it is safe. Times are in tenths of a
millisecond of the node's own clock.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import replace
from random import Random
from typing import ClassVar, Literal

from tansykeel.cluster.failure_detector import DetectorConfig
from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, ClusterMessage, OutgoingMessage, Placement
from tansykeel.cluster.membership import Member
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.control.actions import CloseConnection, ConnectionId, NodeAction, SendToGateway, SendToNode, SessionTerms
from tansykeel.control.admission import AdmissionLimiter
from tansykeel.control.budget_agent import BudgetAgent
from tansykeel.control.budget_state import BudgetState
from tansykeel.control.session_table import Session, SessionTable
from tansykeel.protocol.frames import (
    ControlStatus,
    Fields,
    Goodbye,
    Heartbeat,
    LeaseRenewal,
    NodeBudgetStatus,
    SessionAccepted,
    SessionClose,
    SessionOpen,
    SessionRejected,
)

SECOND = 10_000
MICROSECONDS_PER_TICK = 100
BUDGET_CHECK_INTERVAL = SECOND // 10  # between checks of the budget without an event; every event checks it too
PEER_STATUS: dict[MemberState, Literal["alive", "suspect", "dead"]] = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
}
NO_LEASE_RETRY_AFTER = SECOND  # for a gateway that opens a session at a node that may not grant leases now


class ControlNode:
    """One control node of a region.

    `gateways` are the names of the region's gateways. `incarnation` has to be higher than that of any earlier start:
    the wall clock's milliseconds.
    """

    # The model checker replaces these by subclasses.
    member_class: ClassVar[type[ClusterMember]] = ClusterMember
    state_class: ClassVar[type[BudgetState]] = BudgetState
    budget_class: ClassVar[type[BudgetAgent]] = BudgetAgent

    def __init__(
        self,
        cluster: str,
        region: str,
        region_units: int,
        name: str,
        incarnation: int,
        placements: Mapping[str, Placement],
        gateways: Container[str],
        detector_config: DetectorConfig,
        terms: LeaseTerms,
        session_terms: SessionTerms,
        rng: Random,
        now: int,
    ) -> None:
        self.cluster = cluster
        self.region = region
        self.name = name
        self.gateways = gateways
        self.session_terms = session_terms
        self.state = self.state_class()
        agreement_terms = replace(terms, voters=len(placements))  # every node of the region is a voter
        self.member = self.member_class(
            name, placements, incarnation, detector_config, agreement_terms, rng, now, self.state
        )
        self.budget = self.budget_class(self.member, self.state, region_units, agreement_terms, now)
        self.table = SessionTable(session_terms)
        self.admission = AdmissionLimiter(session_terms.admissions_per_second, now)
        self.leaving = False
        self.rejected = 0  # rejections for reasons other than the admission rate, which the limiter counts
        self._announced_commit = 0  # the commit index that this node last broadcast as leader
        self._last_leased_at = now  # when this node was last seen to hold a lease on its view
        self._next_budget_check = now
        self._next_sweep = now + session_terms.heartbeat

    # Timers and shutdown

    def due(self) -> int:
        """Return when `tick` must be called next."""
        return min(self.member.due(), self._next_budget_check, self._next_sweep)

    def tick(self, now: int, wall_ms: int) -> list[NodeAction]:
        """Perform what is due. `wall_ms` is the wall clock, used for the number of a view that is formed."""
        sent = self.member.tick(now, wall_ms) if now >= self.member.due() else []
        actions = self._update_budget(now, sent)
        self._next_budget_check = now + BUDGET_CHECK_INTERVAL
        if now >= self._next_sweep:
            self._next_sweep = now + self.session_terms.heartbeat
            actions += self._close_stale_sessions(now)
        return actions

    def leave(self, now: int) -> list[NodeAction]:
        """Begin a planned shutdown: tell gateways to move to other nodes, and release the units that they return."""
        self.leaving = self.budget.leaving = True
        actions: list[NodeAction] = [SendToGateway(connection, Goodbye()) for connection in self.table.by_connection]
        return actions + self._update_budget(now, self.member.leave(now))

    # Input

    def handle_node_message(self, now: int, sender: Member, message: ClusterMessage) -> list[NodeAction]:
        """Handle a message of another control node of the region; it may be late or a duplicate."""
        return self._update_budget(now, self.member.handle_message(now, sender, message))

    def handle_gateway_record(
        self, now: int, connection: ConnectionId, incarnation: int, record: Fields
    ) -> list[NodeAction]:
        """Handle a record from a gateway; `incarnation` is that of the hello on its connection."""
        match record:
            case SessionOpen():
                actions = self._handle_open(now, connection, incarnation, record)
            case Heartbeat():
                actions = self._handle_heartbeat(now, connection, record)
            case SessionClose():
                actions = self._handle_close(connection, record)
            case _:
                actions = self._protocol_violation(connection, f"{type(record).__name__} is no record of a session")
        return actions + self._update_budget(now, [])

    def connection_lost(self, now: int, connection: ConnectionId) -> list[NodeAction]:
        """End the session of a connection that was lost. Its leases stay outstanding until they expire."""
        session = self.table.by_connection.get(connection)
        if session is None:
            return []
        self.table.end(session)
        return self._update_budget(now, [])

    # Status

    def outstanding(self, now: int) -> int:
        """Return how many units its gateways may use now by its leases."""
        return self.table.outstanding(now)

    def status(self, now: int) -> ControlStatus:
        """Return the status for operators."""
        agreement, replicated_log = self.member.agreement, self.member.replicated_log
        assert replicated_log is not None
        return ControlStatus(
            cluster=self.cluster,
            region=self.region,
            node=self.name,
            incarnation=self.member.me.incarnation,
            view=agreement.number,
            active=agreement.active,
            leased=self.budget.remaining_lease(now) * MICROSECONDS_PER_TICK,
            leader=replicated_log.leader,
            leads=replicated_log.leads,
            entries=replicated_log.commit,
            sessions=len(self.table),
            units_granted=self.outstanding(now),
            budget=self.budget.budget() if self.budget.remaining_lease(now) else 0,
            admitted=self.admission.admitted,
            rejected=self.admission.rejected + self.rejected,
            nodes=tuple(self._node_status(name) for name in sorted(self.member.placements)),
        )

    # Budget and the other nodes of the region

    def _update_budget(self, now: int, sent: list[OutgoingMessage]) -> list[NodeAction]:
        """Update the budget after an event and return the messages to send: `sent`, proposals and commits."""
        self.budget.observe(now)
        if self.budget.start_registering(now):
            self.table.clear_grants()
        proposed = self.budget.proposals(now, len(self.table), self.outstanding(now))
        self.budget.observe(now)
        if self.budget.remaining_lease(now):
            self._last_leased_at = now
        commits = self._announce_commits(now)
        return [SendToNode(node, message) for node, message in [*sent, *proposed, *commits]]

    def _announce_commits(self, now: int) -> list[OutgoingMessage]:
        """Broadcast a new commit index at once, so that nodes can use a larger budget before the next log entry."""
        replicated_log = self.member.replicated_log
        if replicated_log is None or not replicated_log.leads or replicated_log.commit == self._announced_commit:
            return []
        self._announced_commit = replicated_log.commit
        return list(replicated_log.broadcast_commit(now))

    def _node_status(self, name: str) -> NodeBudgetStatus:
        record = self.state.records.get(name)
        return NodeBudgetStatus(
            node=name,
            incarnation=record.incarnation if record else 0,
            sessions=record.weight if record else 0,
            units=record.units if record else 0,
            seems=self._peer_status(name),
        )

    def _peer_status(self, name: str) -> Literal["alive", "suspect", "dead", "unseen"]:
        if name == self.name:
            return "alive"
        other = self.member.failure_detector.others[name]
        return PEER_STATUS[other.state] if other.incarnation else "unseen"

    # Sessions

    def _close_stale_sessions(self, now: int) -> list[NodeAction]:
        """Close sessions of silent gateways, or all sessions if the node has held no lease for over a heartbeat."""
        if now - self._last_leased_at > self.session_terms.heartbeat:
            return self._close_all_sessions("this control node holds no lease on its view")
        return [
            action
            for session in self.table.silent_sessions(now)
            for action in self._close_session(session, "no heartbeat for too long")
        ]

    def _close_all_sessions(self, reason: str) -> list[NodeAction]:
        return [
            action
            for session in list(self.table.by_connection.values())
            for action in self._close_session(session, reason)
        ]

    def _close_session(self, session: Session, reason: str) -> list[NodeAction]:
        self.table.end(session)
        return [CloseConnection(session.connection, reason)]

    def _protocol_violation(self, connection: ConnectionId, reason: str) -> list[NodeAction]:
        """Close the connection, and its session if it has one, because the gateway violated the session protocol."""
        session = self.table.by_connection.get(connection)
        if session is not None:
            return self._close_session(session, reason)
        return [CloseConnection(connection, reason)]

    def _handle_open(
        self, now: int, connection: ConnectionId, incarnation: int, request: SessionOpen
    ) -> list[NodeAction]:
        if connection in self.table.by_connection:
            return self._protocol_violation(connection, "a second SessionOpen on a connection that has a session")
        if reason := self._permanent_rejection_reason(request, incarnation):
            return self._reject(connection, reason, 0)
        if self.leaving:
            return self._reject(connection, f"{self.name} is about to end", NO_LEASE_RETRY_AFTER)
        if not self.budget.remaining_lease(now):
            return self._reject(connection, f"{self.name} holds no lease on its view", NO_LEASE_RETRY_AFTER)
        if retry_after := self.admission.admit(now):
            return self._send_rejection(connection, "too many new sessions at once", retry_after)
        actions = self._close_previous_session(request.gateway)
        session = self.table.open(now, connection, (request.gateway, incarnation))
        heartbeat_every = self.session_terms.heartbeat * MICROSECONDS_PER_TICK
        accepted = SessionAccepted(self.cluster, self.name, session.number, heartbeat_every)
        return [*actions, SendToGateway(connection, accepted)]

    def _permanent_rejection_reason(self, request: SessionOpen, incarnation: int) -> str:
        """Return why the gateway is rejected permanently; empty if it is not."""
        if request.cluster != self.cluster:
            return f"cluster {request.cluster!r}; this control node is of cluster {self.cluster!r}"
        if request.region != self.region:
            return f"region {request.region!r}; this control node is of region {self.region!r}"
        if request.gateway not in self.gateways:
            return f"gateway {request.gateway!r}: not among the gateways that the settings give region {self.region!r}"
        session = self.table.by_gateway.get(request.gateway)
        if session is not None and session.gateway_incarnation[1] > incarnation:
            return f"gateway {request.gateway!r}: a later start of it holds a session"
        return ""

    def _close_previous_session(self, gateway: str) -> list[NodeAction]:
        """Close the previous session of the gateway: its connection was lost without this node having noticed."""
        session = self.table.by_gateway.get(gateway)
        return self._close_session(session, "the gateway opened another session") if session is not None else []

    def _reject(self, connection: ConnectionId, reason: str, retry_after: int) -> list[NodeAction]:
        """Reject a session for a reason other than the admission rate; `retry_after` is 0 if permanently."""
        self.rejected += 1
        return self._send_rejection(connection, reason, retry_after)

    def _send_rejection(self, connection: ConnectionId, reason: str, retry_after: int) -> list[NodeAction]:
        rejection = SessionRejected(self.cluster, self.name, reason, retry_after * MICROSECONDS_PER_TICK)
        return [SendToGateway(connection, rejection), CloseConnection(connection, reason)]

    def _handle_heartbeat(self, now: int, connection: ConnectionId, heartbeat: Heartbeat) -> list[NodeAction]:
        session = self.table.by_connection.get(connection)
        if session is None or session.number != heartbeat.session:
            return self._protocol_violation(
                connection, f"a heartbeat of session {heartbeat.session}, which this connection has not"
            )
        if not self.table.acknowledge(session, heartbeat.lease):
            return self._protocol_violation(
                connection, f"lease {heartbeat.lease} acknowledged, which was never granted"
            )
        session.last_heartbeat_at = now
        valid_for = min(self.session_terms.lease, self.budget.remaining_lease(now))
        units = self.table.renew(now, session, self.budget.budget(), self.budget.share(), valid_for)
        valid_for_us = valid_for * MICROSECONDS_PER_TICK if units else 0
        renewal = LeaseRenewal(session.number, heartbeat.asked_at, session.lease, units, valid_for_us)
        return [SendToGateway(connection, renewal)]

    def _handle_close(self, connection: ConnectionId, close: SessionClose) -> list[NodeAction]:
        session = self.table.by_connection.get(connection)
        if session is None or session.number != close.session:
            return self._protocol_violation(
                connection, f"a close of session {close.session}, which this connection has not"
            )
        self.table.release_grants(session)
        return self._close_session(session, "the gateway closed its session")
