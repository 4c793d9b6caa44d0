"""A control node: holds sessions of its region's gateways and grants them leases within its budget. Without I/O.

Events with a time in, actions out (`actions.py`). The nodes of a region agree on views of themselves and keep a
replicated log of their budgets (`cluster/member.py`, `budget_state.py`); what a node grants lives in its memory alone.
`docs/control.md` has the design and the argument. Times are tenths of a millisecond of the node's own clock.
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
from tansykeel.control.admission import Admission
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
MICROSECONDS_IN_TENTH = 100
STEP = SECOND // 10  # how often it looks what its budget needs, beside what every event makes it do
SEEMS: dict[MemberState, Literal["alive", "suspect", "dead"]] = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
}
NO_LEASE_RETRY_AFTER = SECOND  # of a gateway that asks a node which may grant nothing now


class ControlNode:
    """One control node of a region.

    `gateways` are the names of the region's gateways; `incarnation` is another with each start and later than all
    before: the wall clock's milliseconds.
    """

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
        nodes: Mapping[str, Placement],
        gateways: Container[str],
        pace: DetectorConfig,
        terms: LeaseTerms,
        session_terms: SessionTerms,
        chance: Random,
        now: int,
    ) -> None:
        self.cluster = cluster
        self.region = region
        self.name = name
        self.gateways = gateways
        self.session_terms = session_terms
        self.state = self.state_class()
        all_vote = replace(terms, voters=len(nodes))
        self.member = self.member_class(name, nodes, incarnation, pace, all_vote, chance, now, self.state)
        self.budget = self.budget_class(self.member, self.state, region_units, all_vote, now)
        self.table = SessionTable(session_terms)
        self.admission = Admission(session_terms.admissions_per_second, now)
        self.leaving = False
        self.rejected = 0  # for another reason than the rate of admission
        self._told_commit = 0  # of the log, while this node leads it
        self._leased_at = now  # when it last held a lease
        self._next_step = now
        self._next_sweep = now + session_terms.heartbeat

    # Steps that it takes by itself

    def due(self) -> int:
        """Return when `tick` must be called next."""
        return min(self.member.due(), self._next_step, self._next_sweep)

    def tick(self, now: int, wall_ms: int) -> list[NodeAction]:
        """Do what time asks for. `wall_ms`: the wall clock, for the number of a view that is formed."""
        sent = self.member.tick(now, wall_ms) if now >= self.member.due() else []
        actions = self._settle(now, sent)
        self._next_step = now + STEP
        if now >= self._next_sweep:
            self._next_sweep = now + self.session_terms.heartbeat
            actions += self._sweep(now)
        return actions

    def leave(self, now: int) -> list[NodeAction]:
        """Begin a planned end: gateways are asked to go elsewhere, and what they give back is released."""
        self.leaving = self.budget.leaving = True
        actions: list[NodeAction] = [SendToGateway(connection, Goodbye()) for connection in self.table.by_connection]
        return actions + self._settle(now, self.member.leave(now))

    # What comes in

    def node_message(self, now: int, sender: Member, message: ClusterMessage) -> list[NodeAction]:
        """Take a message of another control node of the region, late or repeated as it may be."""
        return self._settle(now, self.member.heard(now, sender, message))

    def gateway_message(self, now: int, connection: ConnectionId, incarnation: int, record: Fields) -> list[NodeAction]:
        """Take a record from a gateway; `incarnation` is the one that its connection's hello names."""
        match record:
            case SessionOpen():
                actions = self._open(now, connection, incarnation, record)
            case Heartbeat():
                actions = self._heartbeat(now, connection, record)
            case SessionClose():
                actions = self._close(connection, record)
            case _:
                actions = self._broken(connection, f"{type(record).__name__} is no record of a session")
        return actions + self._settle(now, [])

    def connection_lost(self, now: int, connection: ConnectionId) -> list[NodeAction]:
        """A gateway's connection ended. What its session was granted counts until it is over."""
        session = self.table.by_connection.get(connection)
        if session is None:
            return []
        self.table.end(session)
        return self._settle(now, [])

    # What it says

    def outstanding(self, now: int) -> int:
        """Return the units that its gateways may count now by its leases."""
        return self.table.outstanding(now)

    def status(self, now: int) -> ControlStatus:
        """Return what an operator is told."""
        agreement, replicated_log = self.member.agreement, self.member.replicated_log
        assert replicated_log is not None
        return ControlStatus(
            cluster=self.cluster,
            region=self.region,
            node=self.name,
            incarnation=self.member.me.incarnation,
            view=agreement.number,
            active=agreement.active,
            leased=self.budget.remaining_lease(now) * MICROSECONDS_IN_TENTH,
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

    # Within: the region's nodes

    def _settle(self, now: int, sent: list[OutgoingMessage]) -> list[NodeAction]:
        """Follow what an event changed, and propose what the budget needs then."""
        self.budget.observe(now)
        if self.budget.start_registering(now):
            self.table.forget_grants()
        proposed = self.budget.proposals(now, len(self.table), self.outstanding(now))
        self.budget.observe(now)
        if self.budget.remaining_lease(now):
            self._leased_at = now
        told = self._tell_commits(now)
        return [SendToNode(node, message) for node, message in [*sent, *proposed, *told]]

    def _tell_commits(self, now: int) -> list[OutgoingMessage]:
        """Tell the others at once what was decided: a budget that grew should be of use before the next entry."""
        replicated_log = self.member.replicated_log
        if replicated_log is None or not replicated_log.leads or replicated_log.commit == self._told_commit:
            return []
        self._told_commit = replicated_log.commit
        return list(replicated_log.broadcast_commit(now))

    def _node_status(self, name: str) -> NodeBudgetStatus:
        record = self.state.records.get(name)
        return NodeBudgetStatus(
            node=name,
            incarnation=record.incarnation if record else 0,
            sessions=record.weight if record else 0,
            units=record.units if record else 0,
            seems=self._seems(name),
        )

    def _seems(self, name: str) -> Literal["alive", "suspect", "dead", "unseen"]:
        if name == self.name:
            return "alive"
        other = self.member.failure_detector.others[name]
        return SEEMS[other.state] if other.incarnation else "unseen"

    # Within: sessions

    def _sweep(self, now: int) -> list[NodeAction]:
        """Close sessions of gateways that are silent, and all where this node may grant nothing for long."""
        if now - self._leased_at > self.session_terms.heartbeat:
            return self._end_all("this control node holds no lease on its view")
        return [
            action for session in self.table.silent(now) for action in self._end(session, "no heartbeat for too long")
        ]

    def _end_all(self, reason: str) -> list[NodeAction]:
        return [action for session in list(self.table.by_connection.values()) for action in self._end(session, reason)]

    def _end(self, session: Session, reason: str) -> list[NodeAction]:
        self.table.end(session)
        return [CloseConnection(session.connection, reason)]

    def _broken(self, connection: ConnectionId, reason: str) -> list[NodeAction]:
        """The peer broke the session protocol: its session ends with the connection."""
        session = self.table.by_connection.get(connection)
        if session is not None:
            return self._end(session, reason)
        return [CloseConnection(connection, reason)]

    def _open(self, now: int, connection: ConnectionId, incarnation: int, ask: SessionOpen) -> list[NodeAction]:
        if connection in self.table.by_connection:
            return self._broken(connection, "a second SessionOpen on a connection that has a session")
        if wrong := self._never(ask, incarnation):
            return self._reject(connection, wrong, 0)
        if self.leaving:
            return self._reject(connection, f"{self.name} is about to end", NO_LEASE_RETRY_AFTER)
        if not self.budget.remaining_lease(now):
            return self._reject(connection, f"{self.name} holds no lease on its view", NO_LEASE_RETRY_AFTER)
        if retry_after := self.admission.admit(now):
            return self._send_rejection(connection, "too many new sessions at once", retry_after)
        actions = self._replace(ask.gateway)
        session = self.table.open(now, connection, (ask.gateway, incarnation))
        heartbeat_every = self.session_terms.heartbeat * MICROSECONDS_IN_TENTH
        accepted = SessionAccepted(self.cluster, self.name, session.number, heartbeat_every)
        return [*actions, SendToGateway(connection, accepted)]

    def _never(self, ask: SessionOpen, incarnation: int) -> str:
        """Return why the gateway is rejected for good; empty where it is not."""
        if ask.cluster != self.cluster:
            return f"cluster {ask.cluster!r}; this control node is of cluster {self.cluster!r}"
        if ask.region != self.region:
            return f"region {ask.region!r}; this control node is of region {self.region!r}"
        if ask.gateway not in self.gateways:
            return f"gateway {ask.gateway!r}: not among the gateways that the settings give region {self.region!r}"
        session = self.table.by_gateway.get(ask.gateway)
        if session is not None and session.start[1] > incarnation:
            return f"gateway {ask.gateway!r}: a later start of it holds a session"
        return ""

    def _replace(self, gateway: str) -> list[NodeAction]:
        """End the session that the gateway held before: its connection is lost, though that was not seen here."""
        session = self.table.by_gateway.get(gateway)
        return self._end(session, "the gateway opened another session") if session is not None else []

    def _reject(self, connection: ConnectionId, reason: str, retry_after: int) -> list[NodeAction]:
        self.rejected += 1
        return self._send_rejection(connection, reason, retry_after)

    def _send_rejection(self, connection: ConnectionId, reason: str, retry_after: int) -> list[NodeAction]:
        rejection = SessionRejected(self.cluster, self.name, reason, retry_after * MICROSECONDS_IN_TENTH)
        return [SendToGateway(connection, rejection), CloseConnection(connection, reason)]

    def _heartbeat(self, now: int, connection: ConnectionId, heartbeat: Heartbeat) -> list[NodeAction]:
        session = self.table.by_connection.get(connection)
        if session is None or session.number != heartbeat.session:
            return self._broken(
                connection, f"a heartbeat of session {heartbeat.session}, which this connection has not"
            )
        if not self.table.acknowledge(session, heartbeat.lease):
            return self._broken(connection, f"lease {heartbeat.lease} acknowledged, which was never granted")
        session.heard_at = now
        valid_for = min(self.session_terms.lease, self.budget.remaining_lease(now))
        units = self.table.renew(now, session, self.budget.budget(), self.budget.share(), valid_for)
        lasts = valid_for * MICROSECONDS_IN_TENTH if units else 0
        renewal = LeaseRenewal(session.number, heartbeat.asked_at, session.lease, units, lasts)
        return [SendToGateway(connection, renewal)]

    def _close(self, connection: ConnectionId, close: SessionClose) -> list[NodeAction]:
        session = self.table.by_connection.get(connection)
        if session is None or session.number != close.session:
            return self._broken(connection, f"a close of session {close.session}, which this connection has not")
        self.table.give_back(session)
        return self._end(session, "the gateway closed its session")
