"""Runs a cluster member on the program's clock and connections, and logs what changes."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Member, View
from tansykeel.cluster.messages import CODEC, number_of, urgency_of
from tansykeel.cluster.replicated_log import StateMachine
from tansykeel.cluster.send_queue import Urgency
from tansykeel.edge.clock import EPOCH, Reminder, clock
from tansykeel.edge.peers import Peers
from tansykeel.protocol.frames import Fellow, FleetTold, Hello, ProtocolError, Watch
from tansykeel.settings.cluster import cluster_member_of
from tansykeel.settings.records import PeersOf

MICROS = 100  # microseconds in a tenth
SEEMS = {MemberState.ALIVE: "alive", MemberState.SUSPECT: "suspect", MemberState.DEAD: "dead"}
Counted = Callable[[int, str, int, int, Fraction, int], None]  # at, who, life, view, part, until; microseconds


class ClusterAgent:
    """`counted` hears of each change of what this gateway counts as its own."""

    def __init__(
        self,
        settings: PeersOf,
        names: list[str],
        me: int,
        hello: Hello,
        seed: int,
        peers: Peers,
        log: Any,
        wall_ms: Callable[[], int],
        counted: Counted | None = None,
        machine: StateMachine | None = None,
    ) -> None:
        self.names, self.peers, self.log, self.wall_ms, self.counted = names, peers, log, wall_ms, counted
        self.numbers = {name: number for number, name in enumerate(names)}
        self.cluster_member = cluster_member_of(
            settings, names, me, hello.boot, Random(f"{seed} {hello.boot}"), clock(), machine
        )
        self.reminder = Reminder(self._tick)
        self.seems = dict.fromkeys(names, MemberState.ALIVE)
        self.view: View | None = None
        self.leased = self.ended = False
        self.told: tuple[int, Fraction, int] | None = None

    def start(self) -> None:
        self._done(clock(), [])

    def say(self, sent: list[tuple[str, ClusterMessage]]) -> None:
        """Send what the cluster member wants said beside its own steps."""
        self._done(clock(), sent)

    def leave(self) -> None:
        self._done(clock(), self.cluster_member.leave(clock()))

    def end(self) -> None:
        self.ended = True

    def heard(self, hello: Hello, watch: Watch) -> None:
        """A word of the gateway that said this hello. Raises ProtocolError for one that is none."""
        if self.ended or hello.name not in self.numbers or hello.name == self.cluster_member.me.name:
            return
        try:
            word = CODEC.decode(watch.what, watch.word)
        except ValueError as error:
            raise ProtocolError(f"WATCH: {error}") from None
        place, now = self.cluster_member.places[hello.name], clock()
        self._done(now, self.cluster_member.heard(now, Member(hello.name, hello.boot, place.zone, place.weight), word))

    def told_of(self) -> FleetTold:
        """What this gateway believes, for an operator."""
        now, cluster_member = clock(), self.cluster_member
        agreement, view = cluster_member.agreement, cluster_member.agreement.view
        others = []
        for other in cluster_member.failure_detector.others.values():
            peer = self.peers.by_name[other.name]
            others.append(
                Fellow(
                    other.name,
                    cluster_member.places[other.name].zone,
                    SEEMS[other.seems] if other.life else "unseen",  # type: ignore[arg-type]
                    (now - other.since) * MICROS,
                    other.life,
                    tuple(sorted(other.suspected_by)),
                    peer.state(),  # type: ignore[arg-type]
                    len(peer.send_queue),
                    sum(peer.send_queue.dropped.values()),
                )
            )
        return FleetTold(
            cluster_member.me.name,
            cluster_member.me.incarnation,
            agreement.number,
            agreement.active,
            max(agreement.until() - now, 0) * MICROS,
            float(agreement.part(now)),
            cluster_member.failure_detector.doubt,
            tuple((m.name, m.incarnation) for m in view.members) if view else (),
            tuple(v.name for v in view.voters) if view else (),
            tuple(others),
        )

    # Within

    def _tick(self, now: int) -> None:
        if self.ended:
            return
        sent: list[tuple[str, ClusterMessage]] = []
        if now >= self.cluster_member.due():
            sent = self.cluster_member.tick(now, self.wall_ms())
        self._done(now, sent)

    def _done(self, now: int, sent: list[tuple[str, ClusterMessage]]) -> None:
        self._look(now)
        for name, word in sent:
            self.peers.tell(self.numbers[name], urgency_of(word), Watch(*CODEC.encode(word)))
        self.reminder.set(max(self.cluster_member.due(), now + 1))

    def _look(self, now: int) -> None:
        """Say what changed since it was looked at last."""
        agreement = self.cluster_member.agreement
        if agreement.view is not self.view:
            self._followed(self.view, agreement.view)
            self.view = agreement.view
        if (leased := agreement.leased(now)) is not self.leased:
            self.leased = leased
            self.log.info("lease", held=leased, view=agreement.number, part=float(agreement.part(now)))
        for other in self.cluster_member.failure_detector.changes():
            if other.seems is not self.seems[other.name]:
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
        if self.counted and self.cluster_member.counted != self.told:
            self.told = number, part, until = self.cluster_member.counted
            self.counted(
                (now - EPOCH) * MICROS,
                self.cluster_member.me.name,
                self.cluster_member.me.incarnation,
                number,
                part,
                max(until - EPOCH, 0) * MICROS,
            )

    def _followed(self, before: View | None, view: View | None) -> None:
        """Guards against words of an older view that wait still: their receivers would refuse them."""
        assert view is not None
        for peer in self.peers.others.values():
            peer.send_queue.drop(Urgency.PROMISE, lambda watch: self._older(watch, view.number))
        was, now = set(before.members if before else ()), set(view.members)
        left = {member.name: SEEMS[self.seems[member.name]] for member in was - now if member.name in self.seems}
        cause = (
            "formed by all"
            if not view.electors
            else "agreed"
            if before and view.number == before.number + 1
            else "missed some"
        )
        self.log.info(
            "view",
            number=view.number,
            cause=cause,
            members=len(now),
            joined=sorted(member.name for member in now - was),
            left=left or None,
            voters=[voter.name for voter in view.voters],
        )

    def _older(self, watch: Watch, number: int) -> bool:
        of = number_of(CODEC.decode(watch.what, watch.word))
        return of is not None and of < number
