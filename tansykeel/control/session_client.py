"""The gateway's side of the control plane: chooses a control node and holds the lease that it grants. Does no I/O.

`docs/control.md` describes the rules. The program performs the returned actions: it connects, calls `connected` or
`connection_lost`, passes received records to `handle_record`, and calls `tick` when it is `due`. It does not report a
connection that this client closed with `DisconnectFromNode`. Invalid renewals are ignored and counted in `refusals`.
Times are in whole tenths of a millisecond of the gateway's own monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum
from fractions import Fraction
from random import Random

from tansykeel.cluster.allotments import Allotments
from tansykeel.control.actions import (
    ConnectToNode,
    DisconnectFromNode,
    EffectiveLease,
    GatewayAction,
    SendToControl,
    SessionTerms,
)
from tansykeel.control.back_off import BASE_DELAY, MAX_DELAY, SECOND, BackOff
from tansykeel.control.gateway_session import MICROSECONDS_PER_TICK, GatewaySession, Phase, RefusedRenewal
from tansykeel.control.held_lease import HeldLease
from tansykeel.control.placement import placement_order
from tansykeel.protocol.frames import (
    Fields,
    Goodbye,
    LeaseRenewal,
    SessionAccepted,
    SessionClose,
    SessionOpen,
    SessionRejected,
)

# Mean time after which the preferred node is asked again, or after which any node is asked after a permanent rejection.
RETURN_INTERVAL = 30 * SECOND
MAX_ACCEPTED_RETRY_AFTER = 30 * SECOND  # a longer `retry_after` is cut to this; control nodes send 5 s at most
# A node whose `retry_after` is at most this long is asked again, once, before the next one is.
MAX_SAME_NODE_WAIT = SECOND // 2
NEVER_DUE = 1 << 62


class SessionState(Enum):
    """State of the session in the status of a gateway."""

    DISCONNECTED = "disconnected"
    CONNECTING = "connecting"
    OPENING = "opening"
    OPEN = "open"
    REJECTED = "rejected"


class SessionClient:
    """Holds one session, and opens a second one only to move to another node without losing the lease."""

    def __init__(
        self,
        cluster: str,
        region: str,
        gateway: str,
        gateways: int,
        nodes: Sequence[str],
        terms: SessionTerms,
        rng: Random,
        now: int,
    ) -> None:
        """`gateways` is the number of gateways of all regions; `nodes` are the control nodes of this region."""
        self.cluster = cluster
        self.region = region
        self.gateway = gateway
        self.terms = terms
        self.order = placement_order(gateway, nodes)
        self.rejected_reason = ""  # of the last permanent rejection, until a session is accepted
        self.refusals: Counter[RefusedRenewal] = Counter()
        self._held = HeldLease(gateways, now)
        self._back_off = BackOff(rng)
        self._current: GatewaySession | None = None  # the session that is in use
        self._attempt: GatewaySession | None = None  # a session that is not open yet, or that has no units yet
        self._next_index = 0  # of the node that is asked next, modulo the number of nodes to choose from
        self._retry_at: dict[str, int] = {}  # when each node that rejected temporarily may be asked again
        # The node that is asked again after a short wait; empty once a session is accepted or the next node is asked.
        self._retried_node = ""
        self._attempt_at = now  # when the next node is asked while there is no session
        self._return_at = now  # when the preferred node is asked while the session is at another node
        self._search_at = now  # when another node is asked while the session has no units
        self._closed = False

    # Status and timers

    @property
    def allotments(self) -> Allotments:
        """The part of a whole that the gateway is entitled to over time."""
        return self._held.allotments

    @property
    def state(self) -> SessionState:
        """State of the session in use or, without one, of the attempt to open one."""
        if self._current is not None:
            return SessionState.OPEN
        if self._attempt is not None:
            return SessionState(self._attempt.phase.value)
        return SessionState.REJECTED if self.rejected_reason else SessionState.DISCONNECTED

    @property
    def node(self) -> str:
        """The control node of the session in use; empty if there is none."""
        return self._current.node if self._current else ""

    def effective_lease(self, now: int) -> EffectiveLease:
        """Return the lease that is in effect now, or `NO_LEASE`."""
        return self._held.effective_lease(now)

    def part(self, now: int) -> Fraction:
        """Return the part of any whole that the gateway may use now."""
        return self._held.part(now)

    def due(self) -> int:
        """Return when `tick` must be called at the latest."""
        if self._closed:
            return NEVER_DUE
        waits = [session.due() for session in self._sessions()]
        if self._attempt is None:
            waits.append(self._attempt_at if self._current is None else self._move_at(self._current))
        elif self._current is not None:
            waits.append(self._attempt.move_deadline())
        return min(waits)

    # Events

    def tick(self, now: int) -> list[GatewayAction]:
        """Perform what is due. After a late tick leases still expire in time, but nodes get more time to answer."""
        if self._closed:
            return []
        if now - self.due() > self.terms.heartbeat // 2:
            for session in self._sessions():
                session.extend_after_stall(now)
        actions: list[GatewayAction] = []
        for session in self._sessions():
            actions += self._tick_session(now, session)
        if self._attempt is None:
            actions += self._begin_attempt(now)
        elif self._current is not None and now >= self._attempt.move_deadline():
            actions += self._abandon_move(now, self._attempt)
        self._held.update_allotments(now)
        return actions

    def connected(self, now: int, node: str) -> list[GatewayAction]:
        """The connection to the node is up: ask for a session."""
        session = self._session_at(node)
        if session is None or session.phase is not Phase.CONNECTING:
            return []
        session.connected(now)
        return [SendToControl(node, SessionOpen(cluster=self.cluster, gateway=self.gateway, region=self.region))]

    def connection_lost(self, now: int, node: str) -> list[GatewayAction]:
        """The connection to the node ended or could not be made: try another node. The lease stays in effect."""
        session = self._session_at(node)
        if session is not None:
            self._drop_session(now, session)
        self._held.update_allotments(now)
        return []

    def handle_record(self, now: int, node: str, record: Fields) -> list[GatewayAction]:
        """Handle a record from a control node; it is ignored if there is no session with that node."""
        session = self._session_at(node)
        if session is None:
            return []
        actions: list[GatewayAction] = []
        match record:
            case SessionAccepted():
                actions = self._handle_accepted(now, session, record)
            case SessionRejected():
                actions = self._handle_rejected(now, session, record)
            case LeaseRenewal():
                actions = self._handle_renewal(now, session, record)
            case Goodbye():
                actions = self._abandon_session(now, session, "the control node is shutting down")
        self._held.update_allotments(now)
        return actions

    def close(self, now: int) -> list[GatewayAction]:
        """Shut down: drop the lease first, then close the sessions."""
        self._held.drop(now)
        actions: list[GatewayAction] = []
        for session in self._sessions():
            actions += _close_session(session, "the gateway is shutting down")
        self._current = None
        self._attempt = None
        self._closed = True
        return actions

    # Sessions

    def _sessions(self) -> list[GatewaySession]:
        return [session for session in (self._current, self._attempt) if session is not None]

    def _session_at(self, node: str) -> GatewaySession | None:
        return next((session for session in self._sessions() if session.node == node), None)

    def _tick_session(self, now: int, session: GatewaySession) -> list[GatewayAction]:
        if now >= session.answer_deadline():
            return self._abandon_session(now, session, "no answer from the control node")
        if session.phase is Phase.OPEN and now >= session.next_heartbeat_at:
            return [SendToControl(session.node, session.make_heartbeat(now))]
        return []

    def _abandon_session(self, now: int, session: GatewaySession, reason: str) -> list[GatewayAction]:
        """Disconnect without `SessionClose`: a close would release the lease, which may still be in effect."""
        self._drop_session(now, session)
        return [DisconnectFromNode(session.node, reason)]

    def _drop_session(self, now: int, session: GatewaySession) -> None:
        """Forget a session that was lost, and use the attempt instead if that is open, or plan the next attempt."""
        if session is self._attempt:
            self._attempt = None
            if self._current is None:
                self._try_next_after(now, session.node)
            else:
                self._postpone_move(now)
            return
        self._current = None
        if self._attempt is None:
            self._try_next_after(now, session.node)
        elif self._attempt.phase is Phase.OPEN:
            self._current = self._attempt
            self._attempt = None
            self._schedule_moves(now)

    def _try_next_after(self, now: int, node: str) -> None:
        """Plan to ask the node that follows this one, after the back-off delay."""
        self._next_index = self.order.index(node) + 1
        self._retried_node = ""
        self._attempt_at = now + self._back_off.record_failure()

    # Opening a session

    def _begin_attempt(self, now: int) -> list[GatewayAction]:
        """Begin to open a session if that is due: a first one, or a second one to move to another node."""
        if self._current is None:
            return self._attempt_next_node(now) if now >= self._attempt_at else []
        if now < self._move_at(self._current):
            return []
        if self._lacks_units(now, self._current):
            self._next_index += 1
            others = [node for node in self.order if node != self._current.node]
            return self._attempt_node(now, others[self._next_index % len(others)])
        return self._attempt_node(now, self.order[0])

    def _attempt_next_node(self, now: int) -> list[GatewayAction]:
        """Ask the next node in order, leaving out those whose retry time has not come."""
        candidates = [self.order[(self._next_index + count) % len(self.order)] for count in range(len(self.order))]
        available = [node for node in candidates if self._retry_at.get(node, now) <= now]
        if available:
            return self._attempt_node(now, available[0])
        self._attempt_at = min(self._retry_at[node] for node in candidates)
        return []

    def _attempt_node(self, now: int, node: str) -> list[GatewayAction]:
        self._attempt = GatewaySession(node, self.terms, now)
        return [ConnectToNode(node)]

    def _handle_accepted(self, now: int, session: GatewaySession, answer: SessionAccepted) -> list[GatewayAction]:
        if session.phase is not Phase.OPENING:
            return []
        if error := self._identity_error(session, answer):
            return self._handle_permanent_rejection(now, session, error)
        session.accepted(now, answer)
        self.rejected_reason = ""
        self._retried_node = ""
        if self._current is None:
            self._current = session
            self._attempt = None
            self._schedule_moves(now)
        return [SendToControl(session.node, session.make_heartbeat(now))]

    def _handle_rejected(self, now: int, session: GatewaySession, answer: SessionRejected) -> list[GatewayAction]:
        if session is not self._attempt or session.phase is not Phase.OPENING:
            return []
        if error := self._identity_error(session, answer):
            return self._handle_permanent_rejection(now, session, error)
        if answer.retry_after == 0:
            return self._handle_permanent_rejection(now, session, f"{session.node}: {answer.reason}")
        wait = min(
            answer.retry_after // MICROSECONDS_PER_TICK + 1, MAX_ACCEPTED_RETRY_AFTER
        ) + self._back_off.draw_up_to(BASE_DELAY)
        self._attempt = None
        self._retry_at[session.node] = now + wait
        if self._current is not None:
            self._return_at = max(self._return_at, now + wait)
            self._search_at = now + self._back_off.draw_around(MAX_DELAY)
        elif wait <= MAX_SAME_NODE_WAIT and self._retried_node != session.node:
            self._retried_node = session.node
            self._next_index = self.order.index(session.node)
            self._attempt_at = now + wait
        else:
            self._try_next_after(now, session.node)
        return [DisconnectFromNode(session.node, f"rejected temporarily: {answer.reason}")]

    def _wait_until(self, time: int) -> None:
        """Ask no node before this time."""
        self._attempt_at = time
        self._return_at = time
        self._search_at = time

    def _identity_error(self, session: GatewaySession, answer: SessionAccepted | SessionRejected) -> str:
        """Return why the node that answered is not the expected one; empty if it is."""
        if answer.cluster != self.cluster:
            return (
                f"{session.node} is a control node of cluster {answer.cluster!r}, this gateway is of {self.cluster!r}"
            )
        if answer.node != session.node:
            return f"the control node at the address of {session.node} says that it is {answer.node!r}"
        return ""

    def _handle_permanent_rejection(self, now: int, session: GatewaySession, reason: str) -> list[GatewayAction]:
        """Keep the reason for the status, and ask the next node much later: the settings of one side are wrong."""
        self.rejected_reason = reason
        self._attempt = None
        self._wait_until(now + self._back_off.draw_around(RETURN_INTERVAL))
        if self._current is None:
            self._next_index = self.order.index(session.node) + 1
        return [DisconnectFromNode(session.node, reason)]

    # Leases

    def _handle_renewal(self, now: int, session: GatewaySession, renewal: LeaseRenewal) -> list[GatewayAction]:
        refusal = session.check_renewal(renewal)
        if refusal is not None:
            self.refusals[refusal] += 1
            return []
        lease = session.apply_renewal(now, renewal)
        self._back_off.reset()
        # A node regards its earlier leases of this gateway as replaced once the new one is acknowledged, even if that
        # has no units. A lease of another node stays in effect until this node grants units; until then no lease of
        # this session is acknowledged.
        replaces_earlier = session is self._current and self.effective_lease(now).node in ("", session.node)
        if lease.units or replaces_earlier:
            self._held.replace(now, lease)
            session.lease_to_acknowledge = lease.lease
        if session is self._attempt and lease.units:
            return self._move_to(now, session)
        return []

    # Moving to another node

    def _lacks_units(self, now: int, session: GatewaySession) -> bool:
        """Return whether the session has been without units for a whole lease."""
        deadline = session.units_deadline()
        return deadline is not None and now >= deadline

    def _move_at(self, current: GatewaySession) -> int:
        """Return when to ask another node: the preferred one, or any other while the session has no units."""
        if len(self.order) == 1:
            return NEVER_DUE
        return_at = NEVER_DUE if current.node == self.order[0] else self._return_at
        units_deadline = current.units_deadline()
        search_at = NEVER_DUE if units_deadline is None else max(units_deadline, self._search_at)
        return min(return_at, search_at)

    def _schedule_moves(self, now: int) -> None:
        """Plan when to ask other nodes, for a session that has just come into use."""
        self._return_at = now + self._back_off.draw_around(RETURN_INTERVAL)
        self._search_at = now

    def _move_to(self, now: int, session: GatewaySession) -> list[GatewayAction]:
        """Use the new session, whose lease is now in effect, and close the old one."""
        old = self._current
        self._current = session
        self._attempt = None
        self._schedule_moves(now)
        return _close_session(old, "the gateway moved to another control node") if old else []

    def _postpone_move(self, now: int) -> None:
        """Plan the next attempt to move, after one that failed."""
        self._return_at = now + self._back_off.draw_around(RETURN_INTERVAL)
        self._search_at = now + self._back_off.draw_around(MAX_DELAY)

    def _abandon_move(self, now: int, session: GatewaySession) -> list[GatewayAction]:
        """Close the second session, which has had no units for too long."""
        self._attempt = None
        self._postpone_move(now)
        return _close_session(session, "the control node granted no units")


def _close_session(session: GatewaySession, reason: str) -> list[GatewayAction]:
    """Close a session if it is open, and disconnect."""
    actions: list[GatewayAction] = []
    if session.phase is Phase.OPEN:
        actions.append(SendToControl(session.node, SessionClose(session=session.number)))
    actions.append(DisconnectFromNode(session.node, reason))
    return actions
