"""What gateways may count: the sessions and leases that were seen to reach them, and their claims held against these.

No moment here needs an allowance for the way of a frame. A heartbeat came by after the gateway asked and before the
node answered, so what is reckoned from that moment ends no sooner for the gateway, and no later for the node, than it
does for either of them. A claim is made before the heartbeat that acknowledges its lease is sent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from tansykeel.audit.control_findings import ControlFacts, ControlRule, Evidence, Finding
from tansykeel.audit.records import FrameSeen, LeaseClaimed
from tansykeel.audit.unit_sums import Holder, Holding, UnitSums
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted, SessionClose

# Microseconds: a gateway reads its own clock and that of the records one after the other, and may be suspended in
# between. As much as `audit.cluster` allows for the same reason.
CLOCK_READS = 20_000
UNKNOWN = "unknown"  # the region of what no settings name: it has no units
MOST_LEASES = 32  # of a session that are remembered: a gateway counts and acknowledges the newest that reached it
MOST_HEARTBEATS = 64  # of a session without an answer that are remembered: a session with two of them counts as lost


@dataclass(frozen=True, slots=True)
class ReceivedLease:
    """A lease that reached a gateway."""

    units: int
    until: int  # when it ends for the gateway at the latest
    frame: FrameSeen


@dataclass(slots=True)
class Session:
    """One session as the link saw it."""

    node: str
    order: int = 0  # among the gateway's sessions, in the order in which it received them; 0: it did not
    heartbeats: dict[int, FrameSeen] = field(default_factory=dict)  # by `asked_at`
    leases: dict[int, ReceivedLease] = field(default_factory=dict)
    acknowledged: int = 0
    closed: FrameSeen | None = None


@dataclass(slots=True)
class Gateway:
    """One incarnation of a gateway."""

    sessions: dict[tuple[str, int, int], Session] = field(default_factory=dict)  # by node, its incarnation, number
    latest: dict[tuple[str, int], Session] = field(default_factory=dict)  # by node and number, as claims name them
    accepted: int = 0  # sessions that it received
    received: int = 0  # order of the newest session of which it received a lease with units
    claimed: int = 0  # order of the newest session that it claimed to count by


class GatewayLeases:
    """Follows all sessions; each call yields what it finds broken."""

    def __init__(self, facts: ControlFacts) -> None:
        self.facts = facts
        self.gateways: dict[Holder, Gateway] = {}
        self.claims = UnitSums(facts, "their claims")
        self.leases = UnitSums(facts, "the leases that reached them")

    # Frames that came by

    def accepted(self, frame: FrameSeen, accepted: SessionAccepted) -> None:
        """A control node sent that it holds a session."""
        gateway = self._gateway(frame.receiver, frame.receiver_incarnation)
        gateway.sessions[frame.sender, frame.sender_incarnation, accepted.session] = Session(frame.sender)

    def heartbeat(self, frame: FrameSeen, heartbeat: Heartbeat) -> Iterator[Finding]:
        """A gateway asked for its lease anew, and acknowledged the newest that it received."""
        gateway = self._gateway(frame.sender, frame.sender_incarnation)
        session = gateway.sessions.get((frame.receiver, frame.receiver_incarnation, heartbeat.session))
        if session is None:
            return  # the node tells the gateway that there is none
        session.heartbeats[heartbeat.asked_at] = frame
        _keep(session.heartbeats, MOST_HEARTBEATS)
        if heartbeat.lease <= session.acknowledged:
            return
        session.acknowledged = heartbeat.lease
        lease = session.leases.get(heartbeat.lease)
        if lease is None:
            what = f"acknowledged lease {heartbeat.lease} of {session.node}, which never reached it"
            yield Finding(ControlRule.GATEWAY_LEASES, frame.at, frame.sender, what, (frame,))
            return
        counted = self.claims.held(frame.at, (frame.sender, frame.sender_incarnation))
        if counted is None or _counts_by_another_node(counted, lease, session):
            return
        if counted.units > lease.units and gateway.claimed <= session.order:
            what = (
                f"acknowledged lease {heartbeat.lease} of {session.node} with {lease.units} units "
                f"and went on counting {counted.units}"
            )
            evidence = (counted.record, lease.frame, frame)
            yield Finding(ControlRule.GATEWAY_LEASES, frame.at, frame.sender, what, evidence)

    def closed(self, frame: FrameSeen, close: SessionClose) -> Iterator[Finding]:
        """A gateway sent that it counts by no lease of a session any more."""
        holder = (frame.sender, frame.sender_incarnation)
        gateway = self._gateway(*holder)
        session = gateway.sessions.get((frame.receiver, frame.receiver_incarnation, close.session))
        if session is None:
            return
        session.closed = session.closed or frame
        if gateway.received == session.order:
            yield from self.leases.put(frame.at, holder, None)
        counted = self.claims.held(frame.at, holder)
        if counted is not None and gateway.claimed == session.order:
            what = f"closed session {close.session} of {session.node} and went on counting {counted.units} units by it"
            yield Finding(ControlRule.GATEWAY_LEASES, frame.at, frame.sender, what, (counted.record, frame))

    def asked(self, frame: FrameSeen, renewal: LeaseRenewal) -> FrameSeen | None:
        """Return the heartbeat that a renewal answers, None where none was seen."""
        session = self._session_to(frame, renewal)
        return session.heartbeats.get(renewal.asked_at) if session else None

    # Frames that reached their gateway

    def opened(self, frame: FrameSeen, accepted: SessionAccepted) -> None:
        """A gateway received that a control node holds a session for it."""
        gateway = self._gateway(frame.receiver, frame.receiver_incarnation)
        session = gateway.sessions.get((frame.sender, frame.sender_incarnation, accepted.session))
        if session is not None:
            gateway.accepted += 1
            session.order = gateway.accepted
            gateway.latest[frame.sender, accepted.session] = session

    def received(self, at: int, frame: FrameSeen, renewal: LeaseRenewal) -> Iterator[Finding]:
        """A gateway received a lease, which takes the place of all that it had before; without units, of its node's."""
        holder = (frame.receiver, frame.receiver_incarnation)
        gateway = self._gateway(*holder)
        session = self._session_to(frame, renewal)
        asked = self.asked(frame, renewal)
        if session is None or asked is None or session.closed is not None:
            return
        until = asked.at + self.facts.longest(renewal.valid_for) if renewal.units else 0
        session.leases[renewal.lease] = ReceivedLease(renewal.units, until, frame)
        _keep(session.leases, MOST_LEASES)
        counted = self.leases.held(at, holder)
        if session.order < gateway.received:
            return
        if renewal.units:
            gateway.received = session.order
            region = self.facts.nodes.get(frame.sender, UNKNOWN)
            yield from self.leases.put(at, holder, Holding(region, frame.sender, renewal.units, until, frame))
        elif counted is None or counted.node == frame.sender:
            yield from self.leases.put(at, holder, None)  # a lease of another node counts on until there are units here

    # Claims

    def claim(self, claim: LeaseClaimed) -> Iterator[Finding]:
        """A gateway claims that it counts this from now on."""
        holder = (claim.gateway, claim.incarnation)
        if claim.gateway not in self.facts.gateways:
            what = "counts, and is no gateway of the settings"
            yield Finding(ControlRule.GATEWAY_LEASES, claim.at, claim.gateway, what, (claim,))
        if not claim.units or not claim.until:
            yield from self.claims.put(claim.at, holder, None)
            return
        yield from self._held_against_leases(claim, self._gateway(*holder))
        region = self.facts.nodes.get(claim.node, UNKNOWN)
        yield from self.claims.put(claim.at, holder, Holding(region, claim.node, claim.units, claim.until, claim))

    def _held_against_leases(self, claim: LeaseClaimed, gateway: Gateway) -> Iterator[Finding]:
        session = gateway.latest.get((claim.node, claim.session))
        if session is None:
            what = f"counts {claim.units} units by session {claim.session} of {claim.node}, which it never had"
            yield Finding(ControlRule.GATEWAY_LEASES, claim.at, claim.gateway, what, (claim,))
            return
        lease = session.leases.get(claim.lease)
        if lease is None:
            what = f"counts {claim.units} units by lease {claim.lease} of {claim.node}, which never reached it"
            yield Finding(ControlRule.GATEWAY_LEASES, claim.at, claim.gateway, what, (claim,))
            return
        for what in self._wrong(claim, gateway, session, lease):
            closed = (session.closed,) if session.closed else ()
            evidence: tuple[Evidence, ...] = (claim, lease.frame, *closed)
            yield Finding(ControlRule.GATEWAY_LEASES, claim.at, claim.gateway, what, evidence)
        gateway.claimed = max(gateway.claimed, session.order)

    def _wrong(self, claim: LeaseClaimed, gateway: Gateway, session: Session, lease: ReceivedLease) -> Iterator[str]:
        if claim.units > lease.units:
            yield f"counts {claim.units} units by lease {claim.lease} of {claim.node}, which gave it {lease.units}"
        if claim.until > lease.until + CLOCK_READS:
            late = (claim.until - lease.until) / 1000
            yield f"counts lease {claim.lease} of {claim.node} for {late:.0f} ms after it ended"
        if session.order < gateway.claimed:
            yield f"counts by session {claim.session} of {claim.node} after it counted by a newer one"
        if session.closed is not None:
            yield f"counts by session {claim.session} of {claim.node} after it closed that"
        acknowledged = session.leases.get(session.acknowledged)
        if claim.lease < session.acknowledged and acknowledged is not None and claim.units > acknowledged.units:
            yield (
                f"counts {claim.units} units by lease {claim.lease} of {claim.node} after it acknowledged "
                f"lease {session.acknowledged} with {acknowledged.units}"
            )

    def _gateway(self, name: str, incarnation: int) -> Gateway:
        return self.gateways.setdefault((name, incarnation), Gateway())

    def _session_to(self, frame: FrameSeen, renewal: LeaseRenewal) -> Session | None:
        gateway = self._gateway(frame.receiver, frame.receiver_incarnation)
        return gateway.sessions.get((frame.sender, frame.sender_incarnation, renewal.session))


def _counts_by_another_node(counted: Holding, lease: ReceivedLease, session: Session) -> bool:
    """Whether a gateway counts by another node's lease beside one without units, which takes no place of that."""
    return not lease.units and isinstance(counted.record, LeaseClaimed) and counted.record.node != session.node


def _keep(items: dict[int, Any], most: int) -> None:
    """Forget the oldest beyond the newest `most`."""
    while len(items) > most:
        del items[next(iter(items))]
