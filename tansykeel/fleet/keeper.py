"""One gateway in the fleet: it watches the others, agrees on views with them, and proposes the next. Without I/O.

Of the voters that seem to be there the first by name proposes; the next one does where it is silent for a while. What
is proposed follows who seems to be there; only what is agreed divides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction
from random import Random

from tansykeel.fleet.liveness import Ack, Liveness, NoAnswer, Pace, Ping, Seems, Try, Word
from tansykeel.fleet.membership import SAFE, Decided, Member, Message
from tansykeel.fleet.parts import Parts
from tansykeel.fleet.views import Agreement, Terms

RENEWS = 3  # times in a lease that it is asked for anew
SILENT = 2  # leases without a working view after which a gateway tries to form one with all others


@dataclass(frozen=True, slots=True)
class Place:
    """What the settings say of a gateway."""

    zone: int = 0
    weight: int = 1


Said = Word | Message
Sent = tuple[str, Said]


class Keeper:
    """`life` is another with each start and later than all before: the wall clock's milliseconds."""

    def __init__(self, name: str, places: Mapping[str, Place], life: int, pace: Pace, terms: Terms, chance: Random,
                 now: int) -> None:
        self.places, self.terms = places, terms
        self.liveness = Liveness(name, places, life, pace, chance, now)
        self.agreement = Agreement(self._member(name, life), tuple(sorted(places)), terms, now)
        self.next_renewal, self.lacking, self.differs = now, now, -1  # since when: no working view; others are wanted
        self.parts = Parts(len(places), SAFE / len(places), now)  # for whatever earns by its part of a whole
        self.counted = self.counts(now)  # as of its last step
        self.taught: dict[str, tuple[int, int]] = {}  # which view others were told of last, and when
        self.number = 0  # of the view that was there when last looked at

    @property
    def me(self) -> Member:
        return self.agreement.me

    def part(self, now: int) -> Fraction:
        """Of any whole: what this gateway may count as its own."""
        return self.agreement.part(now)

    def counts(self, now: int) -> tuple[int, Fraction, int]:
        """The view that it counts by, its part, and until when that holds if nothing more is heard (0: for good)."""
        until = self.agreement.until()
        return self.agreement.number, self.part(now), until if until > now else 0

    def due(self) -> int:
        return min(self.next_renewal, self.liveness.due())

    def tick(self, now: int, wall_ms: int) -> list[Sent]:
        sent = self._tick(now, wall_ms)
        self._count(now)
        return sent

    def heard(self, now: int, sender: Member, message: Said) -> list[Sent]:
        sent = self._heard(now, sender, message)
        self._count(now)
        return sent

    def leave(self, now: int) -> list[Sent]:
        """This gateway ends soon: say so, ask for no lease any more."""
        self._count(now)
        return list(self.liveness.leave(now))

    # Within

    def _count(self, now: int) -> None:
        if (counted := self.counts(now)) != self.counted:
            self.counted = counted
            self.parts.put(now, counted[1], counted[2])

    def _tick(self, now: int, wall_ms: int) -> list[Sent]:
        sent: list[Sent] = []
        if now >= self.liveness.due():
            sent += self.liveness.tick(now)
        if now >= self.next_renewal:
            self.next_renewal = now + self.terms.lease // RENEWS
            if self.liveness.leaving:  # what it holds runs out; as a voter it goes on to grant
                return sent
            sent += self.agreement.renew(now)
            sent += self._change(now, wall_ms)
        return sent

    def _heard(self, now: int, sender: Member, message: Said) -> list[Sent]:
        # Guards against one that starts anew and learns of no other's life, for that news was told long ago.
        self.liveness.met(now, sender.name, sender.incarnation)
        if isinstance(message, Ping | Ack | Try | NoAnswer):
            return list(self.liveness.heard(now, sender.name, message))
        return self._once(now, self.agreement.heard(now, sender, message))

    def _once(self, now: int, answers: list[tuple[str, Message]]) -> list[Sent]:
        """Guards against the same view told for each of hundreds of late words of one that slept: once is enough until
        it would ask again."""
        sent: list[Sent] = []
        for to, word in answers:
            if isinstance(word, Decided):
                number, at = self.taught.get(to, (0, 0))
                if number == word.view.number and now - at < self.terms.lease // RENEWS:
                    continue
                self.taught[to] = word.view.number, now
            sent.append((to, word))
        return sent

    def _member(self, name: str, life: int) -> Member:
        return Member(name, life, self.places[name].zone, self.places[name].weight)

    def _change(self, now: int, wall_ms: int) -> list[Sent]:
        """Propose the next view if another is wanted, in turn after those that come first by name."""
        agreement, view = self.agreement, self.agreement.view
        if agreement.number != self.number:
            # Guards against forming again and again: each new view waits for the grants of the one before to end.
            self.number, self.lacking = agreement.number, now
        if view is None or not (agreement.active and agreement.leased(now)):
            tried = agreement.forming is not None or view is not None
            return [] if tried and now - self.lacking < SILENT * self.terms.lease else self._form(now, wall_ms)
        self.lacking = now
        wanted = self._wanted(now, view.members)
        if wanted == view.members or self.me not in wanted:
            self.differs = -1
            return []
        if self.differs < 0:
            self.differs = now
        there = sorted(voter.name for voter in view.voters if voter in wanted)
        turn = there.index(self.me.name) if self.me.name in there else len(there)
        if now - self.differs < turn * self.terms.lease:
            return []
        self.differs = now  # its turn comes again if nothing becomes of it
        return list(agreement.propose(now, wanted))

    def _wanted(self, now: int, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """Those of the view that are not called dead in this life, and others that are there steadily."""
        others = self.liveness.others
        stay = [m for m in members if m == self.me or m.name in others and others[m.name].life <= m.incarnation
                and others[m.name].seems is not Seems.DEAD]
        names = {member.name for member in stay}
        come = [self._member(name, others[name].life) for name in self.liveness.steady(now)
                if name in others and name not in names]
        return tuple(sorted([*stay, *come]))

    def _form(self, now: int, wall_ms: int) -> list[Sent]:
        """No view works: the first by name forms one, if every name of the settings is there."""
        steady = self.liveness.steady(now)
        if len(steady) < len(self.places) or steady[0] != self.me.name:
            return []
        self.lacking = now
        others = self.liveness.others
        members = [self.me, *(self._member(name, others[name].life) for name in steady if name in others)]
        return list(self.agreement.form(now, members, wall_ms))
