"""A gateway's side of the control plane: which control node it asks, and which lease it counts by. Without I/O.

`docs/control.md` has the rules. The program around it carries the actions out: it connects, tells `connected` or
`connection_lost`, passes on what is received, and calls `tick` when `due`. A connection that this client gave up by
`DisconnectFromNode` is reported no more. What a node sends against the rules is not counted by and noted in `refusals`.
Times are whole tenths of a millisecond of the gateway's own monotonic clock.
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

RETURN_EVERY = 30 * SECOND  # in the mean: that the first choice is asked again, or a node that rejected for good
LONGEST_RETRY_AFTER = 30 * SECOND  # that a node is believed; the nodes' own bound is 5 s
WORTH_WAITING = SECOND // 2  # a node that asks to come back within this is waited for, once, before the next is asked
NEVER_DUE = 1 << 62


class SessionState(Enum):
    """What a gateway's status says of its session."""

    DISCONNECTED = "disconnected"
    CONNECTING = "connecting"
    OPENING = "opening"
    OPEN = "open"
    REJECTED = "rejected"


class SessionClient:
    """Holds one session; a second one is tried beside it only to move to another node without losing the lease."""

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
        """`gateways`: how many there are over all regions; `nodes`: the control nodes of the gateway's region."""
        self.cluster = cluster
        self.region = region
        self.gateway = gateway
        self.terms = terms
        self.order = placement_order(gateway, nodes)
        self.rejected_reason = ""  # of the last rejection for good, until a session is accepted
        self.refusals: Counter[RefusedRenewal] = Counter()
        self._held = HeldLease(gateways, now)
        self._back_off = BackOff(rng)
        self._current: GatewaySession | None = None  # the session that this gateway stays with
        self._attempt: GatewaySession | None = None  # the one that is not open yet, or has not granted units yet
        self._turn = 0  # of the node in `order` that is asked next
        self._not_before: dict[str, int] = {}  # by node that rejected: when it may be asked again
        self._waited_for = ""  # the node that was waited for since the last session or loss
        self._attempt_at = now  # when a node is asked, while there is no session
        self._return_at = now  # when the first choice is asked, while the session is at another node
        self._search_at = now  # when any other node is asked, while the session grants nothing
        self._closed = False

    # What the program and the scheduler ask

    @property
    def allotments(self) -> Allotments:
        """What the gateway earns of a whole by its lease over time."""
        return self._held.allotments

    @property
    def state(self) -> SessionState:
        """How far the session has come."""
        if self._current is not None:
            return SessionState.OPEN
        if self._attempt is not None:
            return SessionState(self._attempt.phase.value)
        return SessionState.REJECTED if self.rejected_reason else SessionState.DISCONNECTED

    @property
    def node(self) -> str:
        """The control node that holds the session; empty: none."""
        return self._current.node if self._current else ""

    def effective_lease(self, now: int) -> EffectiveLease:
        """Return what the gateway counts by at this moment."""
        return self._held.effective_lease(now)

    def part(self, now: int) -> Fraction:
        """Return which part of any whole the gateway may count as its own at this moment."""
        return self._held.part(now)

    def due(self) -> int:
        """Return when `tick` is to be called, at the latest."""
        if self._closed:
            return NEVER_DUE
        waits = [session.due() for session in self._sessions()]
        if self._attempt is None:
            waits.append(self._attempt_at if self._current is None else self._move_at(self._current))
        elif self._current is not None:
            waits.append(self._attempt.move_deadline())
        return min(waits)

    # What happens

    def tick(self, now: int) -> list[GatewayAction]:
        """Do what is due. A tick that comes late prolongs no lease, and does not take a node for silent."""
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
        """Ask for a session: the connection to the node is up."""
        session = self._session_at(node)
        if session is None or session.phase is not Phase.CONNECTING:
            return []
        session.connected(now)
        return [SendToControl(node, SessionOpen(cluster=self.cluster, gateway=self.gateway, region=self.region))]

    def connection_lost(self, now: int, node: str) -> list[GatewayAction]:
        """Turn to another node, for the connection to this one ended or never came up. The lease counts on."""
        session = self._session_at(node)
        if session is not None:
            self._lose(now, session)
        self._held.update_allotments(now)
        return []

    def handle_record(self, now: int, node: str, record: Fields) -> list[GatewayAction]:
        """Act on what a control node sent; what comes from a node without a session here is ignored."""
        session = self._session_at(node)
        if session is None:
            return []
        actions: list[GatewayAction] = []
        match record:
            case SessionAccepted():
                actions = self._accepted(now, session, record)
            case SessionRejected():
                actions = self._rejected(now, session, record)
            case LeaseRenewal():
                actions = self._renewed(now, session, record)
            case Goodbye():
                actions = self._give_up(now, session, "the control node ends")
        self._held.update_allotments(now)
        return actions

    def close(self, now: int) -> list[GatewayAction]:
        """End as planned: count by no lease any more, then say so to the nodes."""
        self._held.drop(now)
        actions: list[GatewayAction] = []
        for session in self._sessions():
            actions += _end(session, "the gateway ends")
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
            return self._give_up(now, session, "the control node is silent")
        if session.phase is Phase.OPEN and now >= session.next_heartbeat_at:
            return [SendToControl(session.node, session.make_heartbeat(now))]
        return []

    def _give_up(self, now: int, session: GatewaySession, reason: str) -> list[GatewayAction]:
        """Lose a session whose connection still is there. It is not closed, for its lease may count on."""
        self._lose(now, session)
        return [DisconnectFromNode(session.node, reason)]

    def _lose(self, now: int, session: GatewaySession) -> None:
        if session is self._attempt:
            self._attempt = None
            if self._current is None:
                self._turn_from(now, session.node)
            else:
                self._move_later(now)
            return
        self._current = None
        if self._attempt is None:
            self._turn_from(now, session.node)
        elif self._attempt.phase is Phase.OPEN:
            self._current = self._attempt
            self._attempt = None
            self._stay(now)

    def _turn_from(self, now: int, node: str) -> None:
        """Ask the node after this one, after the back-off."""
        self._turn = self.order.index(node) + 1
        self._waited_for = ""
        self._attempt_at = now + self._back_off.record_failure()

    # Asking for a session

    def _begin_attempt(self, now: int) -> list[GatewayAction]:
        if self._current is None:
            return self._ask_next(now) if now >= self._attempt_at else []
        if now < self._move_at(self._current):
            return []
        if self._starves(now, self._current):
            self._turn += 1
            others = [node for node in self.order if node != self._current.node]
            return self._ask(now, others[self._turn % len(others)])
        return self._ask(now, self.order[0])

    def _ask_next(self, now: int) -> list[GatewayAction]:
        """Ask the first node whose turn it is, of those that do not have the gateway wait."""
        turns = [self.order[(self._turn + count) % len(self.order)] for count in range(len(self.order))]
        free = [node for node in turns if self._not_before.get(node, now) <= now]
        if free:
            return self._ask(now, free[0])
        self._attempt_at = min(self._not_before[node] for node in turns)
        return []

    def _ask(self, now: int, node: str) -> list[GatewayAction]:
        self._attempt = GatewaySession(node, self.terms, now)
        return [ConnectToNode(node)]

    def _accepted(self, now: int, session: GatewaySession, answer: SessionAccepted) -> list[GatewayAction]:
        if session.phase is not Phase.OPENING:
            return []
        if fault := self._fault_of(session, answer):
            return self._reject_for_good(now, session, fault)
        session.accepted(now, answer)
        self.rejected_reason = ""
        self._waited_for = ""
        if self._current is None:
            self._current = session
            self._attempt = None
            self._stay(now)
        return [SendToControl(session.node, session.make_heartbeat(now))]

    def _rejected(self, now: int, session: GatewaySession, answer: SessionRejected) -> list[GatewayAction]:
        if session is not self._attempt or session.phase is not Phase.OPENING:
            return []
        if fault := self._fault_of(session, answer):
            return self._reject_for_good(now, session, fault)
        if answer.retry_after == 0:
            return self._reject_for_good(now, session, f"{session.node}: {answer.reason}")
        wait = min(answer.retry_after // MICROSECONDS_PER_TICK + 1, LONGEST_RETRY_AFTER) + self._back_off.draw_up_to(
            BASE_DELAY
        )
        self._attempt = None
        self._not_before[session.node] = now + wait
        if self._current is not None:
            self._return_at = max(self._return_at, now + wait)
            self._search_at = now + self._back_off.draw_around(MAX_DELAY)
        elif wait <= WORTH_WAITING and self._waited_for != session.node:
            self._waited_for = session.node
            self._turn = self.order.index(session.node)
            self._attempt_at = now + wait
        else:
            self._turn_from(now, session.node)
        return [DisconnectFromNode(session.node, f"rejected for now: {answer.reason}")]

    def _wait_until(self, moment: int) -> None:
        """Ask no node before this moment."""
        self._attempt_at = moment
        self._return_at = moment
        self._search_at = moment

    def _fault_of(self, session: GatewaySession, answer: SessionAccepted | SessionRejected) -> str:
        """Return what is wrong with the node that answered; empty: nothing."""
        if answer.cluster != self.cluster:
            return (
                f"{session.node} is a control node of cluster {answer.cluster!r}, this gateway is of {self.cluster!r}"
            )
        if answer.node != session.node:
            return f"the control node at the address of {session.node} says that it is {answer.node!r}"
        return ""

    def _reject_for_good(self, now: int, session: GatewaySession, reason: str) -> list[GatewayAction]:
        """Keep the reason, for the settings of one of the two are wrong, and ask the next node much later."""
        self.rejected_reason = reason
        self._attempt = None
        self._wait_until(now + self._back_off.draw_around(RETURN_EVERY))
        if self._current is None:
            self._turn = self.order.index(session.node) + 1
        return [DisconnectFromNode(session.node, reason)]

    # Leases

    def _renewed(self, now: int, session: GatewaySession, renewal: LeaseRenewal) -> list[GatewayAction]:
        refusal = session.check_renewal(renewal)
        if refusal is not None:
            self.refusals[refusal] += 1
            return []
        lease = session.apply_renewal(now, renewal)
        self._back_off.reset()
        # A node takes its earlier leases of this gateway for ended once the new one is acknowledged, whatever its units
        # are. A lease of another node counts on until there are units here, and nothing is acknowledged meanwhile.
        ends_earlier = session is self._current and self.effective_lease(now).node in ("", session.node)
        if lease.units or ends_earlier:
            self._held.replace(now, lease)
            session.lease_to_acknowledge = lease.lease
        if session is self._attempt and lease.units:
            return self._move(now, session)
        return []

    # Moving from one node to another

    def _starves(self, now: int, session: GatewaySession) -> bool:
        starves_at = session.units_deadline()
        return starves_at is not None and now >= starves_at

    def _move_at(self, current: GatewaySession) -> int:
        """Return when another node is asked beside the session: the first choice, or any if this one grants nothing."""
        if len(self.order) == 1:
            return NEVER_DUE
        return_at = NEVER_DUE if current.node == self.order[0] else self._return_at
        starves_at = current.units_deadline()
        search_at = NEVER_DUE if starves_at is None else max(starves_at, self._search_at)
        return min(return_at, search_at)

    def _stay(self, now: int) -> None:
        """Begin to stay with the present session."""
        self._return_at = now + self._back_off.draw_around(RETURN_EVERY)
        self._search_at = now

    def _move(self, now: int, session: GatewaySession) -> list[GatewayAction]:
        """Stay with the new session, which granted the lease that now counts, and close the old one."""
        old = self._current
        self._current = session
        self._attempt = None
        self._stay(now)
        return _end(old, "the gateway moved to another control node") if old else []

    def _move_later(self, now: int) -> None:
        self._return_at = now + self._back_off.draw_around(RETURN_EVERY)
        self._search_at = now + self._back_off.draw_around(MAX_DELAY)

    def _abandon_move(self, now: int, session: GatewaySession) -> list[GatewayAction]:
        """End the second session, which granted nothing for too long."""
        self._attempt = None
        self._move_later(now)
        return _end(session, "the control node granted nothing")


def _end(session: GatewaySession, reason: str) -> list[GatewayAction]:
    """Close a session if it is open, and give its connection up."""
    actions: list[GatewayAction] = []
    if session.phase is Phase.OPEN:
        actions.append(SendToControl(session.node, SessionClose(session=session.number)))
    actions.append(DisconnectFromNode(session.node, reason))
    return actions
