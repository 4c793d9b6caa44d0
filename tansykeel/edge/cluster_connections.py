"""Carries a cluster member's messages over the connections to the other members, and logs changes of the cluster.

Gateways that agree on views and control nodes both use it. Each of them runs its `ClusterMember` itself and passes the
messages that the member wants sent.
"""

from __future__ import annotations

from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, ClusterMessage
from tansykeel.cluster.membership import Member, View
from tansykeel.cluster.messages import CODEC, urgency_of, view_number
from tansykeel.cluster.send_queue import Urgency
from tansykeel.edge.peers import Peers
from tansykeel.protocol.frames import Fellow, FleetTold, Hello, ProtocolError, Watch

MICROSECONDS_PER_TICK = 100  # a tick of the clock is a tenth of a millisecond
STATE_NAMES = {MemberState.ALIVE: "alive", MemberState.SUSPECT: "suspect", MemberState.DEAD: "dead"}


class ClusterConnections:
    """The connections of one cluster member to the others; `peers` must use the same names as the cluster."""

    def __init__(self, member: ClusterMember, peers: Peers, log: Any) -> None:
        self.member, self.peers, self.log = member, peers, log
        self.member_states = dict.fromkeys(member.placements, MemberState.ALIVE)  # by name, as logged last
        self.view: View | None = None  # the last one that was logged

    def send(self, name: str, message: ClusterMessage) -> None:
        """Queue a message for the member with this name; it is sent once there is a connection with room for it."""
        self.peers.by_name[name].send(urgency_of(message), Watch(*CODEC.encode(message)))

    def received(self, hello: Hello, watch: Watch) -> tuple[Member, ClusterMessage] | None:
        """Decode a WATCH frame and return the sender and the message; None if the sender is no other member.

        `hello` is the HELLO of the sender. Raises ProtocolError if the frame holds no valid message.
        """
        if hello.name not in self.peers.by_name:
            return None
        try:
            message = CODEC.decode(watch.what, watch.word)
        except ValueError as error:
            raise ProtocolError(f"WATCH: {error}") from None
        place = self.member.placements[hello.name]
        return Member(hello.name, hello.boot, place.zone, place.weight), message

    def log_changes(self) -> None:
        """Log what changed since the last call, and drop the connections to members that are now considered dead."""
        agreement = self.member.agreement
        if agreement.view is not None and agreement.view is not self.view:
            self._view_changed(self.view, agreement.view)
            self.view = agreement.view
        for other in self.member.failure_detector.take_changes():
            if other.state is self.member_states[other.name]:
                continue
            self.member_states[other.name] = other.state
            self.log.info(
                "seems",
                other=other.name,
                now=STATE_NAMES[other.state],
                suspected_by=sorted(other.suspected_by) or None,
                view=agreement.number,
            )
            if other.state is MemberState.DEAD:
                self.peers.by_name[other.name].drop("considered dead by the failure detector")

    def status(self, now: int, part: float) -> FleetTold:
        """Return this member's view of the cluster, for an operator.

        `part` is the share of each divided limit that this member may use.
        """
        member, agreement = self.member, self.member.agreement
        view = agreement.view
        return FleetTold(
            member.me.name,
            member.me.incarnation,
            agreement.number,
            agreement.active,
            max(agreement.lease_expires_at() - now, 0) * MICROSECONDS_PER_TICK,
            part,
            member.failure_detector.health_score,
            tuple((m.name, m.incarnation) for m in view.members) if view else (),
            tuple(v.name for v in view.voters) if view else (),
            tuple(self._member_status(now, name) for name in member.failure_detector.others),
        )

    # Implementation

    def _member_status(self, now: int, name: str) -> Fellow:
        other, peer = self.member.failure_detector.others[name], self.peers.by_name[name]
        return Fellow(
            name,
            self.member.placements[name].zone,
            STATE_NAMES[other.state] if other.incarnation else "unseen",  # type: ignore[arg-type]
            (now - other.since) * MICROSECONDS_PER_TICK,
            other.incarnation,
            tuple(sorted(other.suspected_by)),
            peer.state(),  # type: ignore[arg-type]
            len(peer.send_queue),
            sum(peer.send_queue.dropped.values()),
        )

    def _view_changed(self, before: View | None, view: View) -> None:
        """Drop queued messages about older views, which their receivers would refuse, and log the new view."""
        for peer in self.peers.others.values():
            peer.send_queue.drop(Urgency.PROMISE, lambda watch: _is_older(watch, view.number))
        old_members, new_members = set(before.members if before else ()), set(view.members)
        left = {
            member.name: STATE_NAMES[self.member_states[member.name]]
            for member in old_members - new_members
            if member.name in self.member_states
        }
        self.log.info(
            "view",
            number=view.number,
            cause=_cause_of(before, view),
            members=len(new_members),
            joined=sorted(member.name for member in new_members - old_members),
            left=left or None,
            voters=[voter.name for voter in view.voters],
        )


def _cause_of(before: View | None, view: View) -> str:
    """Return the field `cause` of the log line about a new view."""
    if not view.electors:
        return "formed by all"
    return "agreed" if before and view.number == before.number + 1 else "missed some"


def _is_older(watch: Watch, current_number: int) -> bool:
    """Whether a queued message is about a view older than this one; messages about no view never are."""
    number = view_number(CODEC.decode(watch.what, watch.word))
    return number is not None and number < current_number
