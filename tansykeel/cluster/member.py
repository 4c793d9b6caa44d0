"""One gateway in the fleet: it watches the others, agrees on views with them, and proposes the next. Without I/O.

Of the voters that seem to be there the first by name proposes; the next one does where it is silent for a while. What
is proposed follows who seems to be there; only what is agreed divides anything.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction
from random import Random

from tansykeel.cluster import replicated_log
from tansykeel.cluster.allotments import Allotments
from tansykeel.cluster.failure_detector import Ack, DetectorMessage, FailureDetector, NoAnswer, Pace, Ping, Try
from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.membership import SAFE, Decided, Member, ViewMessage
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.errors import Problem

RENEWS = 3  # times in a lease that it is asked for anew
HOPS = 3  # of an entry on its way to whoever leads
SILENT = 2  # leases without a working view after which a gateway tries to form one with all others


class MemberStillAlive(Problem, ValueError):
    """A view can't be formed without a gateway that is there, or that is none."""

    advice = "stop the process that runs under the name first, or name one that does not run"


@dataclass(frozen=True, slots=True)
class Place:
    """What the settings say of a gateway."""

    zone: int = 0
    weight: int = 1


ClusterMessage = DetectorMessage | ViewMessage | replicated_log.LogMessage
Sent = tuple[str, ClusterMessage]


class ClusterMember:
    """`life` is another with each start and later than all before: the wall clock's milliseconds."""

    def __init__(
        self,
        name: str,
        places: Mapping[str, Place],
        life: int,
        pace: Pace,
        terms: LeaseTerms,
        chance: Random,
        now: int,
        machine: replicated_log.StateMachine | None = None,
    ) -> None:
        self.places, self.terms = places, terms
        self.failure_detector = FailureDetector(name, places, life, pace, chance, now)
        self.agreement = ViewAgreement(self._member(name, life), tuple(sorted(places)), terms, now)
        self.replicated_log = replicated_log.ReplicatedLog(self.me, machine, terms.lease, now) if machine else None
        self.next_renewal, self.lacking, self.differs = now, now, -1  # since when: no working view; others are wanted
        self.parts = Allotments(len(places), SAFE / len(places), now)  # for whatever earns by its part of a whole
        self.counted = self.counts(now)  # as of its last step
        self.taught: dict[str, tuple[int, int]] = {}  # which view others were told of last, and when
        self.turns = 0  # of passing entries on to voters
        self.number = 0  # of the view that was there when last looked at
        self.without: set[str] = set()  # names without which an operator says that a view may be formed

    @property
    def me(self) -> Member:
        return self.agreement.me

    def part(self, now: int) -> Fraction:
        """Of any whole: what this gateway may count as its own."""
        return self.agreement.part(now)

    def counts(self, now: int) -> tuple[int, Fraction, int]:
        """The view that it counts by, its part, and until when that holds if nothing more is heard (0: for good)."""
        until = self.agreement.lease_expires_at()
        return self.agreement.number, self.part(now), until if until > now else 0

    def due(self) -> int:
        return min(self.next_renewal, self.failure_detector.due())

    def tick(self, now: int, wall_ms: int) -> list[Sent]:
        sent = self._tick(now, wall_ms)
        self._carry(now)
        self._count(now)
        return sent

    def heard(self, now: int, sender: Member, message: ClusterMessage) -> list[Sent]:
        sent = self._heard(now, sender, message)
        self._carry(now)
        self._count(now)
        return sent

    def offer(self, now: int, entry: bytes) -> tuple[bool, list[Sent]]:
        """An entry for the ledger: added here where this gateway leads it, else passed on. False: nobody to take it."""
        if self.replicated_log is None:
            return False, []
        added, sent = self.replicated_log.append_entry(now, entry)
        return (True, list(sent)) if added else self._pass_on(replicated_log.Propose(entry))

    def leave(self, now: int) -> list[Sent]:
        """This gateway ends soon: say so, ask for no lease any more."""
        self._count(now)
        return list(self.failure_detector.leave(now))

    def go_without(self, names: Iterable[str]) -> None:
        """An operator's word that no process runs under these names: a view may be formed without them.

        Raises NotGone for a name that is none, or seems to be there.
        """
        others = self.failure_detector.others
        for name in names:
            if name not in others:
                raise MemberStillAlive(f"{name!r} is no other gateway of the settings; legal: {', '.join(others)}")
            if others[name].life and others[name].seems is MemberState.ALIVE:
                raise MemberStillAlive(f"{name} seems to be there: it was heard of in its life {others[name].life}")
            self.without.add(name)

    # Within

    def _count(self, now: int) -> None:
        if (counted := self.counts(now)) != self.counted:
            self.counted = counted
            self.parts.put(now, counted[1], counted[2])

    def _tick(self, now: int, wall_ms: int) -> list[Sent]:
        sent: list[Sent] = []
        if now >= self.failure_detector.due():
            sent += self.failure_detector.tick(now)
        if now >= self.next_renewal:
            self.next_renewal = now + self.terms.lease // RENEWS
            if self.failure_detector.leaving:  # what it holds runs out; as a voter it goes on to grant
                return sent
            sent += self.agreement.renew(now)
            sent += self._change(now, wall_ms)
            sent += self._lead(now)
        return sent

    def _heard(self, now: int, sender: Member, message: ClusterMessage) -> list[Sent]:
        # Guards against one that starts anew and learns of no other's life, for that news was told long ago.
        self.failure_detector.met(now, sender.name, sender.incarnation)
        self.without.discard(sender.name)  # the word on it was wrong, or is no longer right
        if isinstance(message, Ping | Ack | Try | NoAnswer):
            return list(self.failure_detector.heard(now, sender.name, message))
        if isinstance(message, replicated_log.LogMessage):
            return self._of_ledger(now, sender, message)
        return self._once(now, self.agreement.handle_message(now, sender, message))

    def _of_ledger(self, now: int, sender: Member, word: replicated_log.LogMessage) -> list[Sent]:
        if self.replicated_log is None:
            return []
        if isinstance(word, replicated_log.Propose):
            added, sent = self.replicated_log.append_entry(now, word.entry)
            return list(sent) if added else self._pass_on(word)[1]
        return list(self.replicated_log.handle_message(now, sender, word))

    def _pass_on(self, offer: replicated_log.Propose) -> tuple[bool, list[Sent]]:
        """To whoever leads as far as is known here, else to a voter, who may know."""
        view = self.agreement.view
        if self.replicated_log is None or view is None or offer.hops >= HOPS:
            return False, []
        to = self.replicated_log.leader
        if to in ("", self.me.name):
            others = [voter.name for voter in view.voters if voter != self.me]
            if not others:
                return False, []
            self.turns = (self.turns + 1) % len(others)
            to = others[self.turns]
        return True, [(to, replicated_log.Propose(offer.entry, offer.hops + 1))]

    def _carry(self, now: int) -> None:
        """The ledger follows the view, and nobody votes for the next one before it has taken the ledger over."""
        book, agreement = self.replicated_log, self.agreement
        if book is None:
            return
        if agreement.view is not None and agreement.view is not book.view:
            book.install_view(now, agreement.view)
        if agreement.formed is not None:
            book.seal(agreement.formed.number)
        agreement.state_transferred = book.state_transferred
        agreement.sealed = book.sealed

    def _lead(self, now: int) -> list[Sent]:
        view = self.agreement.view
        if self.replicated_log is None or view is None or self.me not in view.voters:
            return []
        others = self.failure_detector.others
        there = sorted(
            voter.name
            for voter in view.voters
            if voter == self.me or voter.name in others and others[voter.name].seems is not MemberState.DEAD
        )
        return list(self.replicated_log.tick(now, there.index(self.me.name)))

    def _once(self, now: int, answers: list[tuple[str, ViewMessage]]) -> list[Sent]:
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
        if view is None or not agreement.has_working_view(now):
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
        others = self.failure_detector.others
        stay = [
            m
            for m in members
            if m == self.me
            or m.name in others
            and others[m.name].life <= m.incarnation
            and others[m.name].seems is not MemberState.DEAD
        ]
        names = {member.name for member in stay}
        come = [
            self._member(name, others[name].life)
            for name in self.failure_detector.steady(now)
            if name in others and name not in names
        ]
        return tuple(sorted([*stay, *come]))

    def _form(self, now: int, wall_ms: int) -> list[Sent]:
        """No view works: the first by name forms one, if every name of the settings is there, or whoever was told that
        it may without the others."""
        steady = self.failure_detector.steady(now)
        without = tuple(sorted(self.without))
        if len({*steady, *without}) < len(self.places) or steady[0] != self.me.name and not without:
            return []
        self.lacking, steady = now, [name for name in steady if name not in self.without]
        others = self.failure_detector.others
        members = [self.me, *(self._member(name, others[name].life) for name in steady if name in others)]
        return list(self.agreement.form(now, members, wall_ms, without))
