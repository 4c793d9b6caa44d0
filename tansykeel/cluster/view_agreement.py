"""Agreed memberships of a fleet, numbered, and leases on parts of a whole that is divided by them. Without I/O.

A view's successor is decided by Paxos (Lamport, "Paxos Made Simple", 2001) among a few voters of the view before, one
step at a time: "Reconfiguring a State Machine" (Lamport, Malkhi, Zhou, 2010) with a window of one. Changed: nothing is
on disk, so a gateway that restarts is another member, by its incarnation, and votes for nothing that it forgot; and a
view that nobody can follow any more may be formed anew by all that the settings name, or by all of them but those of
which an operator says that no process runs under their names, and never by fewer.

Who may count its part of a view holds a lease on it, granted by a majority of its voters (quorum leases: Moraru,
Andersen, Kaminsky, SoCC 2014, here for the membership itself). A view is active once a majority of the voters before
has said that all its grants are over for good; only then may a next one be accepted. `docs/cluster.md` has the
argument, `tansykeel.cluster.model_checker` tries every order of events on small fleets. Times are whole tenths of a
millisecond of each gateway's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, field, replace
from fractions import Fraction

from tansykeel.cluster.membership import (
    NEVER,
    NONE,
    SAFE,
    Accept,
    Accepted,
    Ballot,
    Decided,
    Form,
    Formed,
    LeaseGrant,
    LeaseRequest,
    Member,
    Prepare,
    Promise,
    Revoked,
    Sent,
    Stepped,
    View,
    ViewMessage,
    majority,
    step,
    voters_of,
)


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """`lease` in tenths; no clock of the fleet runs faster or slower than time by more than its part `drift`."""

    lease: int
    drift: float = 0.01
    voters: int = 5  # of a view; fewer than all, so that a large fleet agrees as cheaply as a small one

    def holder_duration(self) -> int:
        """How long a lease counts for its holder, from when it asked."""
        return int(self.lease * (1 - self.drift))

    def granter_duration(self) -> int:
        """How long a grant binds whoever gave it, from when it was given."""
        return int(self.lease * (1 + self.drift)) + 1


@dataclass(slots=True)
class Proposal:
    """For the successor of the present view; it goes with that."""

    ballot: Ballot
    view: View
    promises: set[Member] = field(default_factory=set)
    highest: Ballot = NONE
    accepted: set[Member] = field(default_factory=set)
    asking: bool = False  # past the promises: the view is settled and acceptance asked for

    def word(self, number: int) -> Prepare | Accept:
        """What the voters of view `number` are asked now."""
        return Accept(number, self.ballot, self.view) if self.asking else Prepare(number, self.ballot)


class ViewAgreement:
    """One gateway's side of it. Each call gives what is to be sent; whatever is lost is asked for again by `renew`."""

    def __init__(self, me: Member, names: tuple[str, ...], terms: LeaseTerms, now: int) -> None:
        self.me, self.names, self.terms = me, names, terms
        self.view: View | None = None
        self.active = False  # no lease on an earlier view can count any more
        self.was = Fraction(0)  # its part of the view that decided the present one
        self.turns = 0  # of asking others by name for a view that was missed
        self.bound = now  # when all that it granted for the present view is over
        self.ends = now  # the same for earlier views; what an earlier life granted binds no one but that life
        self.grants: dict[Member, int] = {}  # of the present view: until when each counts here
        self.ended: dict[Member, int] = {}  # by member: under which number nothing is granted any more
        self.promised, self.accepted = NONE, NONE  # for the successor of the present view
        self.next: View | None = None
        self.formed: View | None = None  # the formed view with the highest number that was taken up
        self.proposal: Proposal | None = None
        self.state_transferred = True  # whatever is carried from view to view is here: before, no next one is voted for
        self.sealed = False  # it can't be carried on in the present view any more: only a formed view helps
        self.forming: tuple[Form, set[Member]] | None = None

    # What it may count on

    @property
    def number(self) -> int:
        return self.view.number if self.view else 0

    @property
    def latest(self) -> int:
        """The highest number that it followed or took up."""
        return max(self.number, self.formed.number if self.formed else 0)

    def lease_expires_at(self) -> int:
        """When a majority of the view does not grant this gateway its part any more, unless it grants it anew."""
        if self.view is None or self.me not in self.view.members:
            return NEVER
        needed = majority(self.view.voters)
        return sorted(self.grants.values(), reverse=True)[needed - 1] if len(self.grants) >= needed else NEVER

    def leased(self, now: int) -> bool:
        """Whether a majority of the view grants this gateway its part now."""
        return self.lease_expires_at() > now

    def has_working_view(self, now: int) -> bool:
        """Whether its view is good for something: one that is formed takes its place only where it is not.

        Guards against a formed view that never counts, for a member of it died before it ended its grants.
        """
        return self.active and self.leased(now) and not self.sealed

    def part(self, now: int) -> Fraction:
        """Of any whole, what this gateway may count as its own now: at least its even part of the safe ones."""
        safe = SAFE / len(self.names)
        if self.view is None or not self.leased(now):
            return safe
        mine = self.view.part(self.me)
        if not self.active:  # leases on the view before may still count: no more than it had there
            mine = min(mine, self.was)
        return safe + mine

    # Steps that this gateway takes

    def renew(self, now: int) -> list[Sent]:
        """Ask for the lease anew, and go on with whatever waits for an answer. To be called several times a lease."""
        sent: list[Sent] = []
        if self.view and self.me in self.view.members:
            sent += self._to(self.view.voters, LeaseRequest(self.number, now))
            sent += self._grant(now, self.me, LeaseRequest(self.number, now))
        if not self.leased(now) and len(self.names) > 1:
            # Guards against a view that was missed, whose voters are not known here: one after the other is asked.
            others = [name for name in self.names if name != self.me.name]
            self.turns = (self.turns + 1) % len(others)
            sent.append((others[self.turns], LeaseRequest(self.number, now)))
        sent += self._end_grants(now)
        if self.proposal and self.view:
            sent += self._to(self.view.voters, self.proposal.word(self.number))
        if self.forming:
            sent += self._to(self.forming[0].view.members, self.forming[0])
        return sent

    def propose(self, now: int, members: Iterable[Member]) -> list[Sent]:
        """Propose the members of the next view; nothing happens where this gateway may not, or nothing would change.

        At most one life of each name, this gateway among them or not.
        """
        chosen = tuple(sorted(members))
        if len({member.name for member in chosen}) < len(chosen) or not chosen:
            raise ValueError(f"members {chosen}: legal: one life of each name, one at least")
        if self.view is None or not self.active or self.me not in self.view.members or chosen == self.view.members:
            return []
        ballot = max(self.promised[0], self.proposal.ballot[0] if self.proposal else 0) + 1, self.me.name
        voters = voters_of(chosen, self.terms.voters, self.view.voters)
        self.proposal = Proposal(ballot, View(self.number + 1, chosen, voters, self.view.voters))
        return self._put(now, self.proposal, self.view)

    def form(self, now: int, members: Iterable[Member], stamp: int, without: tuple[str, ...] = ()) -> list[Sent]:
        """Ask all names of the settings to take up a view of them all, but those `without` which an operator says that
        it may be formed; `stamp` is the wall clock's, in milliseconds.

        It must pass every number of before, also of lives that nobody remembers: views change less than once a
        millisecond.
        """
        chosen = tuple(sorted(members))
        if not self._all_named(chosen, without) or self.me not in chosen:
            return []
        view = View(max(stamp, self.latest + 1), chosen, voters_of(chosen, self.terms.voters))
        if not self._takes_up(now, view):
            return []
        self.formed, self.forming = view, (Form(view, without), {self.me})
        return self._to(chosen, self.forming[0]) + self._all_formed(now)

    # What comes in

    def handle_message(self, now: int, sender: Member, message: ViewMessage) -> list[Sent]:
        """A message of another gateway, late or repeated as it may be."""
        match message:
            case Decided(view):
                return self._follow(now, view)
            case Stepped():
                if message.number == self.number + 1 and self.view:
                    return self._follow(now, message.after(self.view))
                return [(sender.name, LeaseRequest(self.number, now))] if message.number > self.number else []
            case Revoked(number):
                self.ended[sender] = max(self.ended.get(sender, 0), number)
                self._look()
                if number > self.number:
                    return [(sender.name, LeaseRequest(self.number, now))]
                # Guards against one that was left out and says it for ever: it need not any more.
                over = number == self.number and self.active
                return [(sender.name, LeaseGrant(number, NEVER, True))] if over and sender != self.me else []
            case Form(view, without):
                # Guards against two views with one number: a forming gateway that restarts may use its stamp again.
                if view == self.formed or self._all_named(view.members, without) and self._takes_up(now, view):
                    self.formed = view
                    return [(sender.name, Formed(view))]
                return []
            case Formed(view):
                if self.forming and self.forming[0].view == view and sender in view.members:
                    self.forming[1].add(sender)
                    return self._all_formed(now)
                return []
        if message.number < self.number and self.view:
            return [(sender.name, Decided(self.view))]  # of an older epoch: refused, and told of the newer one
        if message.number > self.number:
            return [
                (sender.name, LeaseRequest(self.number, now))
            ]  # which will be refused, with the view that is missed here
        if self.view is None or sender not in self.view.members:
            return []
        if isinstance(message, LeaseGrant | Promise | Accepted) and sender not in self.view.voters:
            return []
        match message:
            case LeaseRequest():
                return self._grant(now, sender, message)
            case LeaseGrant(_, at, active):
                self.grants[sender] = max(self.grants.get(sender, 0), at + self.terms.holder_duration())
                self.active = self.active or active
                return []
            case Prepare() | Accept():
                answer = self._vote(message)
                return [(sender.name, answer)] if answer else []
            case Promise():
                return self._promised(now, sender, message)
            case Accepted():
                return self._accepted(now, sender, message)
        return []

    def copy(self) -> ViewAgreement:
        """One that goes its own way from here on."""
        made = copy(self)
        made.grants, made.ended = dict(self.grants), dict(self.ended)
        if (old := self.proposal) is not None:
            made.proposal = replace(old, promises=set(old.promises), accepted=set(old.accepted))
        if self.forming is not None:
            made.forming = self.forming[0], set(self.forming[1])
        return made

    def key(self) -> tuple[object, ...]:
        """All that decides what it will do: equal for two that can't be told apart."""
        asked = self.proposal
        proposal = asked and (
            asked.ballot,
            asked.view,
            frozenset(asked.promises),
            asked.highest,
            frozenset(asked.accepted),
            asked.asking,
        )
        return (
            self.me,
            self.view,
            self.active,
            self.bound,
            self.ends,
            frozenset(self.grants.items()),
            frozenset(self.ended.items()),
            self.was,
            self.turns,
            self.promised,
            self.accepted,
            self.next,
            self.formed,
            proposal,
            self.forming and (self.forming[0], frozenset(self.forming[1])),
        )

    # Within

    def _to(self, members: Iterable[Member], message: ViewMessage) -> list[Sent]:
        return [(member.name, message) for member in members if member.name != self.me.name]

    def _put(self, now: int, proposal: Proposal, view: View) -> list[Sent]:
        """Ask the voters of the present view; its own vote, if it has one, is there without a way."""
        word = proposal.word(view.number)
        sent = self._to(view.voters, word)
        for _, answer in self.handle_message(now, self.me, word):
            sent += self.handle_message(now, self.me, answer)
        return sent

    def _grant(self, now: int, member: Member, ask: LeaseRequest) -> list[Sent]:
        if self.view is None or ask.number != self.number or self.me not in self.view.voters:
            return []
        self.bound = max(self.bound, now + self.terms.granter_duration())
        if member == self.me:
            self.grants[member] = ask.at + self.terms.holder_duration()
            return []
        return [(member.name, LeaseGrant(ask.number, ask.at, self.active))]

    def _vote(self, message: Prepare | Accept) -> Promise | Accepted | None:
        # Guards against two steps at once: leases on the view before the present one might still count.
        if (
            not (self.active and self.state_transferred)
            or message.ballot < self.promised
            or self.view is None
            or self.me not in self.view.voters
        ):
            return None
        self.promised = message.ballot
        if isinstance(message, Prepare):
            return Promise(message.number, message.ballot, self.accepted, self.next)
        self.accepted, self.next = message.ballot, message.view
        return Accepted(message.number, message.ballot)

    def _promised(self, now: int, sender: Member, promise: Promise) -> list[Sent]:
        proposal, view = self.proposal, self.view
        if proposal is None or view is None or proposal.asking or promise.ballot != proposal.ballot:
            return []
        if promise.view and promise.accepted > proposal.highest:
            proposal.highest, proposal.view = promise.accepted, promise.view
        proposal.promises.add(sender)
        if len(proposal.promises) < majority(view.voters):
            return []
        proposal.asking = True
        return self._put(now, proposal, view)

    def _accepted(self, now: int, sender: Member, accepted: Accepted) -> list[Sent]:
        proposal, view = self.proposal, self.view
        if proposal is None or view is None or accepted.ballot != proposal.ballot:
            return []
        proposal.accepted.add(sender)
        if len(proposal.accepted) < majority(view.voters):
            return []
        were = set(view.members)
        joined = [member for member in proposal.view.members if member not in were]
        told = self._to(view.members, step(view, proposal.view)) + self._to(joined, Decided(proposal.view))
        return told + self._follow(now, proposal.view)

    def _all_named(self, members: tuple[Member, ...], without: tuple[str, ...]) -> bool:
        return sorted([*(member.name for member in members), *without]) == sorted(self.names)

    def _takes_up(self, now: int, view: View) -> bool:
        """A formed view: by who is in it, knows of nothing later, and has no working view to lose."""
        return self.me in view.members and view.number > self.latest and not self.has_working_view(now)

    def _all_formed(self, now: int) -> list[Sent]:
        if self.forming is None or len(self.forming[1]) < len(self.forming[0].view.members):
            return []
        view, self.forming = self.forming[0].view, None
        return self._to(view.members, Decided(view)) + self._follow(now, view)

    def _follow(self, now: int, view: View) -> list[Sent]:
        """A view was decided. From now on nothing is granted for an earlier one."""
        if view.number <= self.number:
            return []
        # A step from the view that is known here keeps the smaller part; whoever missed one begins with none.
        stepped = self.view is not None and view.electors and view.number == self.number + 1
        self.was = self.view.part(self.me) if stepped and self.view else Fraction(0)
        self.view, self.active, self.grants, self.ends = view, False, {}, max(self.ends, self.bound)
        self.promised, self.accepted, self.next, self.proposal = NONE, NONE, None, None
        if self.forming and self.forming[0].view.number <= view.number:
            self.forming = None
        self._look()
        return self.renew(now)

    def _end_grants(self, now: int) -> list[Sent]:
        """Once all that was granted for earlier views is over: say so. Repeated, for words get lost."""
        said = self.ended.get(self.me, 0) >= self.number
        if self.view is None or self.active and said:
            return []
        if not said:
            if now < self.ends:
                return []
            self.ended[self.me] = self.number
            self._look()
        enders, _ = self.view.enders()
        return self._to(self.view.voters, Revoked(self.number)) if self.me in enders else []

    def _look(self) -> None:
        if self.view and not self.active:
            enders, enough = self.view.enders()
            self.active = sum(self.ended.get(member, 0) >= self.number for member in enders) >= enough
