"""Carries a cluster member's messages on the connections between programs, and logs how its cluster changes.

Gateways that agree on views and control nodes use it alike: each runs its member by itself and hands over what the
member wants sent.
"""

from __future__ import annotations

from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, ClusterMessage
from tansykeel.cluster.membership import Member, View
from tansykeel.cluster.messages import CODEC, number_of, urgency_of
from tansykeel.cluster.send_queue import Urgency
from tansykeel.edge.peers import Peers
from tansykeel.protocol.frames import Fellow, FleetTold, Hello, ProtocolError, Watch

MICROS = 100  # microseconds in a tenth of a millisecond
SEEMS = {MemberState.ALIVE: "alive", MemberState.SUSPECT: "suspect", MemberState.DEAD: "dead"}


class ClusterConnections:
    """The connections of one cluster member to the others, which `peers` has under the same names."""

    def __init__(self, member: ClusterMember, peers: Peers, log: Any) -> None:
        self.member, self.peers, self.log = member, peers, log
        self.seems = dict.fromkeys(member.places, MemberState.ALIVE)
        self.view: View | None = None

    def send(self, name: str, message: ClusterMessage) -> None:
        """Send a message to the member of this name, as soon as there is a connection and room for it."""
        self.peers.by_name[name].tell(urgency_of(message), Watch(*CODEC.encode(message)))

    def received(self, hello: Hello, watch: Watch) -> tuple[Member, ClusterMessage] | None:
        """Return a message and its sender; None where the hello is of no other member.

        Raises ProtocolError for what is no message.
        """
        if hello.name not in self.peers.by_name:
            return None
        try:
            message = CODEC.decode(watch.what, watch.word)
        except ValueError as error:
            raise ProtocolError(f"WATCH: {error}") from None
        place = self.member.places[hello.name]
        return Member(hello.name, hello.boot, place.zone, place.weight), message

    def log_changes(self) -> None:
        """Log what changed since the last call; connections to members that are called dead now are dropped."""
        agreement = self.member.agreement
        if agreement.view is not None and agreement.view is not self.view:
            self._followed(self.view, agreement.view)
            self.view = agreement.view
        for other in self.member.failure_detector.changes():
            if other.seems is self.seems[other.name]:
                continue
            self.seems[other.name] = other.seems
            self.log.info(
                "seems",
                other=other.name,
                now=SEEMS[other.seems],
                suspected_by=sorted(other.suspected_by) or None,
                view=agreement.number,
            )
            if other.seems is MemberState.DEAD:
                self.peers.by_name[other.name].drop("it is called dead")

    def status(self, now: int, part: float) -> FleetTold:
        """Return what the member believes, for an operator; `part` is what it counts as its own of any whole."""
        member, agreement = self.member, self.member.agreement
        view = agreement.view
        return FleetTold(
            member.me.name,
            member.me.incarnation,
            agreement.number,
            agreement.active,
            max(agreement.lease_expires_at() - now, 0) * MICROS,
            part,
            member.failure_detector.doubt,
            tuple((m.name, m.incarnation) for m in view.members) if view else (),
            tuple(v.name for v in view.voters) if view else (),
            tuple(self._fellow(now, name) for name in member.failure_detector.others),
        )

    # Within

    def _fellow(self, now: int, name: str) -> Fellow:
        other, peer = self.member.failure_detector.others[name], self.peers.by_name[name]
        return Fellow(
            name,
            self.member.places[name].zone,
            SEEMS[other.seems] if other.life else "unseen",  # type: ignore[arg-type]
            (now - other.since) * MICROS,
            other.life,
            tuple(sorted(other.suspected_by)),
            peer.state(),  # type: ignore[arg-type]
            len(peer.send_queue),
            sum(peer.send_queue.dropped.values()),
        )

    def _followed(self, before: View | None, view: View) -> None:
        """Guards against messages of an older view that wait still: their receivers would refuse them."""
        for peer in self.peers.others.values():
            peer.send_queue.drop(Urgency.PROMISE, lambda watch: _is_older(watch, view.number))
        was, now = set(before.members if before else ()), set(view.members)
        left = {member.name: SEEMS[self.seems[member.name]] for member in was - now if member.name in self.seems}
        self.log.info(
            "view",
            number=view.number,
            cause=_cause_of(before, view),
            members=len(now),
            joined=sorted(member.name for member in now - was),
            left=left or None,
            voters=[voter.name for voter in view.voters],
        )


def _cause_of(before: View | None, view: View) -> str:
    if not view.electors:
        return "formed by all"
    return "agreed" if before and view.number == before.number + 1 else "missed some"


def _is_older(watch: Watch, number: int) -> bool:
    of = number_of(CODEC.decode(watch.what, watch.word))
    return of is not None and of < number
