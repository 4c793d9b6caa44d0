"""A running gateway among its fellows: the keeper on the program's clock and connections, and what is logged of it."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

from tansykeel.edge.clock import EPOCH, Reminder, clock
from tansykeel.edge.peers import Peers
from tansykeel.fleet.keeper import Said
from tansykeel.fleet.ledger import Machine
from tansykeel.fleet.membership import Member, View
from tansykeel.fleet.news import Seems
from tansykeel.fleet.outbox import Urgency
from tansykeel.fleet.words import number_of, packed, unpacked, urgency_of
from tansykeel.protocol.frames import Fellow, FleetTold, Hello, ProtocolError, Watch
from tansykeel.settings.fleet import keeper_of
from tansykeel.settings.records import PeersOf

MICROS = 100  # microseconds in a tenth
SEEMS = {Seems.ALIVE: "alive", Seems.SUSPECT: "suspect", Seems.DEAD: "dead"}
Counted = Callable[[int, str, int, int, Fraction, int], None]  # at, who, life, view, part, until; microseconds


class Fellows:
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
        machine: Machine | None = None,
    ) -> None:
        self.names, self.peers, self.log, self.wall_ms, self.counted = names, peers, log, wall_ms, counted
        self.numbers = {name: number for number, name in enumerate(names)}
        self.keeper = keeper_of(settings, names, me, hello.boot, Random(f"{seed} {hello.boot}"), clock(), machine)
        self.reminder = Reminder(self._tick)
        self.seems = dict.fromkeys(names, Seems.ALIVE)
        self.view: View | None = None
        self.leased = self.ended = False
        self.told: tuple[int, Fraction, int] | None = None

    def start(self) -> None:
        self._done(clock(), [])

    def say(self, sent: list[tuple[str, Said]]) -> None:
        """What the keeper wants said beside its own steps."""
        self._done(clock(), sent)

    def leave(self) -> None:
        self._done(clock(), self.keeper.leave(clock()))

    def end(self) -> None:
        self.ended = True

    def heard(self, hello: Hello, watch: Watch) -> None:
        """A word of the gateway that said this hello. Raises ProtocolError for one that is none."""
        if self.ended or hello.name not in self.numbers or hello.name == self.keeper.me.name:
            return
        try:
            word = unpacked(watch.what, watch.word)
        except ValueError as error:
            raise ProtocolError(f"WATCH: {error}") from None
        place, now = self.keeper.places[hello.name], clock()
        self._done(now, self.keeper.heard(now, Member(hello.name, hello.boot, place.zone, place.weight), word))

    def told_of(self) -> FleetTold:
        """What this gateway believes, for an operator."""
        now, keeper = clock(), self.keeper
        agreement, view = keeper.agreement, keeper.agreement.view
        others = []
        for other in keeper.liveness.others.values():
            peer = self.peers.by_name[other.name]
            others.append(
                Fellow(
                    other.name,
                    keeper.places[other.name].zone,
                    SEEMS[other.seems] if other.life else "unseen",  # type: ignore[arg-type]
                    (now - other.since) * MICROS,
                    other.life,
                    tuple(sorted(other.suspected_by)),
                    peer.state(),  # type: ignore[arg-type]
                    len(peer.outbox),
                    sum(peer.outbox.dropped.values()),
                )
            )
        return FleetTold(
            keeper.me.name,
            keeper.me.incarnation,
            agreement.number,
            agreement.active,
            max(agreement.until() - now, 0) * MICROS,
            float(agreement.part(now)),
            keeper.liveness.doubt,
            tuple((m.name, m.incarnation) for m in view.members) if view else (),
            tuple(v.name for v in view.voters) if view else (),
            tuple(others),
        )

    # Within

    def _tick(self, now: int) -> None:
        if self.ended:
            return
        sent: list[tuple[str, Said]] = []
        if now >= self.keeper.due():
            sent = self.keeper.tick(now, self.wall_ms())
        self._done(now, sent)

    def _done(self, now: int, sent: list[tuple[str, Said]]) -> None:
        self._look(now)
        for name, word in sent:
            self.peers.tell(self.numbers[name], urgency_of(word), Watch(*packed(word)))
        self.reminder.set(max(self.keeper.due(), now + 1))

    def _look(self, now: int) -> None:
        """Say what changed since it was looked at last."""
        agreement = self.keeper.agreement
        if agreement.view is not self.view:
            self._followed(self.view, agreement.view)
            self.view = agreement.view
        if (leased := agreement.leased(now)) is not self.leased:
            self.leased = leased
            self.log.info("lease", held=leased, view=agreement.number, part=float(agreement.part(now)))
        for other in self.keeper.liveness.changes():
            if other.seems is not self.seems[other.name]:
                self.seems[other.name] = other.seems
                self.log.info(
                    "seems",
                    other=other.name,
                    now=SEEMS[other.seems],
                    suspected_by=sorted(other.suspected_by) or None,
                    view=agreement.number,
                )
                if other.seems is Seems.DEAD:
                    self.peers.by_name[other.name].drop("it is called dead")
        if self.counted and self.keeper.counted != self.told:
            self.told = number, part, until = self.keeper.counted
            self.counted(
                (now - EPOCH) * MICROS,
                self.keeper.me.name,
                self.keeper.me.incarnation,
                number,
                part,
                max(until - EPOCH, 0) * MICROS,
            )

    def _followed(self, before: View | None, view: View | None) -> None:
        """Guards against words of an older view that wait still: their receivers would refuse them."""
        assert view is not None
        for peer in self.peers.others.values():
            peer.outbox.drop(Urgency.PROMISE, lambda watch: self._older(watch, view.number))
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
        of = number_of(unpacked(watch.what, watch.word))
        return of is not None and of < number
