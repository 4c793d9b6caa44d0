"""Numbered views of a fleet, agreed on by Paxos, and the leases that a view gives its members. Without I/O.

A view's successor is decided by Paxos (Lamport, "Paxos Made Simple", 2001) among a few voters of the view, one change
at a time: "Reconfiguring a State Machine" (Lamport, Malkhi, Zhou, 2010) with a window of one. Differences from the
papers: nothing is stored on disk, so a gateway that restarts is a new member, told apart by its incarnation, and does
not vote on what it forgot; and where no view works any more, one can be formed without a vote by all gateways of the
settings, or by all except those of which an operator says that no process runs under their names, and never by fewer.

A gateway may use its part of what a view divides only while it holds a lease, granted by a majority of the view's
voters (quorum leases: Moraru, Andersen, Kaminsky, SoCC 2014, used here for the membership itself). A view is active
once a majority of the previous view's voters, or all members of a formed view, have no earlier grants left; only then
can its successor be accepted. `docs/cluster.md` has the argument, `tansykeel.cluster.model_checker` tries orders of
events on small fleets. Times are whole tenths of a millisecond of each gateway's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, field, replace
from fractions import Fraction

from tansykeel.cluster.membership import (
    NEVER,
    NO_BALLOT,
    SAFE_FRACTION,
    Accept,
    Accepted,
    Ballot,
    Decided,
    Form,
    Formed,
    LeaseGrant,
    LeaseRequest,
    Member,
    OutgoingMessage,
    Prepare,
    Promise,
    Revoked,
    Stepped,
    View,
    ViewMessage,
    choose_voters,
    majority,
    view_delta,
)


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """`lease` in tenths of a millisecond. `drift`: the fraction by which a clock may at most run fast or slow."""

    lease: int
    drift: float = 0.01
    voters: int = 5  # of a view at most, so that agreement costs a large fleet no more than a small one

    def holder_duration(self) -> int:
        """Return how long a lease is valid for its holder, from when it sent the request."""
        return int(self.lease * (1 - self.drift))

    def granter_duration(self) -> int:
        """Return how long a grant binds the granter: it outlasts the holder's lease on clocks within `drift`."""
        return int(self.lease * (1 + self.drift)) + 1


@dataclass(slots=True)
class Proposal:
    """A proposal for the successor of the current view; dropped when another view is adopted."""

    ballot: Ballot
    view: View
    promises: set[Member] = field(default_factory=set)
    highest_accepted: Ballot = NO_BALLOT
    accepted: set[Member] = field(default_factory=set)
    accepting: bool = False  # phase 2: a majority promised, and the voters are asked to accept the view

    def request(self, number: int) -> Prepare | Accept:
        """Return the message that asks the voters of view `number` in the current phase."""
        return Accept(number, self.ballot, self.view) if self.accepting else Prepare(number, self.ballot)


class ViewAgreement:
    """One gateway's part in the agreement. Methods return the messages to send; `renew` sends lost ones again."""

    def __init__(self, me: Member, names: tuple[str, ...], terms: LeaseTerms, now: int) -> None:
        self.me, self.names, self.terms = me, names, terms
        self.view: View | None = None
        self.active = False  # no lease on an earlier view can be valid any more
        self.previous_part = Fraction(0)  # this gateway's part of the previous view
        self.last_asked = 0  # index of the other name that was last asked for a missed view
        self.grants_until = now  # when the last lease that this gateway granted on the current view ends
        # The same for earlier views. Grants of an earlier incarnation do not bind this one, which is another member.
        self.earlier_grants_until = now
        self.grants: dict[Member, int] = {}  # by voter of the current view: when the lease it granted ends
        self.revoked: dict[Member, int] = {}  # by member: the view number below which it revoked all its grants
        self.promised, self.accepted = NO_BALLOT, NO_BALLOT  # ballots, for the successor of the current view
        self.accepted_view: View | None = None
        self.formed: View | None = None  # the formed view with the highest number that this gateway agreed to
        self.proposal: Proposal | None = None
        self.state_transferred = True  # the log was adopted under this view; before that, no successor is voted for
        self.sealed = False  # the log accepts nothing under this view any more; only a formed view can replace it
        self.forming: tuple[Form, set[Member]] | None = None  # the view this gateway forms, and who agreed to it

    @property
    def number(self) -> int:
        """The number of the current view; 0: none yet."""
        return self.view.number if self.view else 0

    @property
    def highest_number(self) -> int:
        """The highest view number that this gateway adopted or agreed to form."""
        return max(self.number, self.formed.number if self.formed else 0)

    def lease_expires_at(self) -> int:
        """Return until when a majority of the voters granted this gateway a lease; NEVER if they did not."""
        if self.view is None or self.me not in self.view.members:
            return NEVER
        needed = majority(self.view.voters)
        return sorted(self.grants.values(), reverse=True)[needed - 1] if len(self.grants) >= needed else NEVER

    def leased(self, now: int) -> bool:
        """Return whether this gateway holds a lease on the current view now."""
        return self.lease_expires_at() > now

    def has_working_view(self, now: int) -> bool:
        """Return whether the view is active, leased and not sealed. A formed view replaces only a view that is not.

        If a member of a formed view crashes before it revokes its earlier grants, that view stays inactive for good; it
        is not working then, so another one can be formed.
        """
        return self.active and self.leased(now) and not self.sealed

    def part(self, now: int) -> Fraction:
        """Return the part of any divided whole that this gateway may use now.

        Without a lease it is the safe part alone, a fixed fraction of the whole that is split evenly over all names.
        """
        safe = SAFE_FRACTION / len(self.names)
        if self.view is None or not self.leased(now):
            return safe
        mine = self.view.part(self.me)
        if not self.active:  # leases on the previous view may still be valid: use no more than there
            mine = min(mine, self.previous_part)
        return safe + mine

    def renew(self, now: int) -> list[OutgoingMessage]:
        """Ask for a new lease and send unanswered messages again. To be called several times per lease."""
        sent: list[OutgoingMessage] = []
        if self.view and self.me in self.view.members:
            sent += self._to_others(self.view.voters, LeaseRequest(self.number, now))
            sent += self._grant_lease(now, self.me, LeaseRequest(self.number, now))
        if not self.leased(now) and len(self.names) > 1:
            # A newer view may have been missed, whose voters are not known here: ask the other names one by one.
            others = [name for name in self.names if name != self.me.name]
            self.last_asked = (self.last_asked + 1) % len(others)
            sent.append((others[self.last_asked], LeaseRequest(self.number, now)))
        sent += self._revoke_grants(now)
        if self.proposal and self.view:
            sent += self._to_others(self.view.voters, self.proposal.request(self.number))
        if self.forming:
            sent += self._to_others(self.forming[0].view.members, self.forming[0])
        return sent

    def propose(self, now: int, members: Iterable[Member]) -> list[OutgoingMessage]:
        """Propose the members of the next view, one incarnation of each name at most; without this gateway is legal.

        Does nothing if this gateway is no member, the current view is not active or the members would not change.
        Raises ValueError for no members or two incarnations of a name.
        """
        chosen = tuple(sorted(members))
        if len({member.name for member in chosen}) < len(chosen) or not chosen:
            raise ValueError(f"members {chosen}: need at least one, and only one incarnation of each name")
        if self.view is None or not self.active or self.me not in self.view.members or chosen == self.view.members:
            return []
        ballot = max(self.promised[0], self.proposal.ballot[0] if self.proposal else 0) + 1, self.me.name
        voters = choose_voters(chosen, self.terms.voters, self.view.voters)
        self.proposal = Proposal(ballot, View(self.number + 1, chosen, voters, self.view.voters))
        return self._send_to_voters(now, self.proposal, self.view)

    def form(
        self, now: int, members: Iterable[Member], wall_ms: int, without: tuple[str, ...] = ()
    ) -> list[OutgoingMessage]:
        """Ask all names of the settings, except those `without` that an operator excluded, to form a view of them all.

        The view number is the wall clock in milliseconds, which exceeds all earlier numbers, even those that no living
        gateway remembers: views change less often than once a millisecond.
        """
        chosen = tuple(sorted(members))
        if not self._covers_all_names(chosen, without) or self.me not in chosen:
            return []
        view = View(max(wall_ms, self.highest_number + 1), chosen, choose_voters(chosen, self.terms.voters))
        if not self._may_adopt(now, view):
            return []
        self.formed, self.forming = view, (Form(view, without), {self.me})
        return self._to_others(chosen, self.forming[0]) + self._decide_if_all_formed(now)

    def handle_message(self, now: int, sender: Member, message: ViewMessage) -> list[OutgoingMessage]:
        """Handle a message of another gateway, which may be late or repeated; return the messages to send."""
        match message:
            case Decided(view):
                return self._adopt_view(now, view)
            case Stepped():
                if message.number == self.number + 1 and self.view:
                    return self._adopt_view(now, message.apply_to(self.view))
                return [(sender.name, LeaseRequest(self.number, now))] if message.number > self.number else []
            case Revoked(number):
                self.revoked[sender] = max(self.revoked.get(sender, 0), number)
                self._update_active()
                if number > self.number:
                    return [(sender.name, LeaseRequest(self.number, now))]
                # A gateway that the view removed would repeat Revoked for ever. Tell it that the view is active; a
                # grant at NEVER is no valid lease.
                redundant = number == self.number and self.active
                return [(sender.name, LeaseGrant(number, NEVER, True))] if redundant and sender != self.me else []
            case Form(view, without):
                # Agree again to the same view, but to no other with its number: a gateway that restarts while it forms
                # a view may use the same time as its number again.
                if view == self.formed or self._covers_all_names(view.members, without) and self._may_adopt(now, view):
                    self.formed = view
                    return [(sender.name, Formed(view))]
                return []
            case Formed(view):
                if self.forming and self.forming[0].view == view and sender in view.members:
                    self.forming[1].add(sender)
                    return self._decide_if_all_formed(now)
                return []
        if message.number < self.number and self.view:
            return [(sender.name, Decided(self.view))]  # from an older view: refused, and answered with the newer one
        if message.number > self.number:
            # This gateway missed a view. The sender refuses this request and answers with the view.
            return [(sender.name, LeaseRequest(self.number, now))]
        if self.view is None or sender not in self.view.members:
            return []
        if isinstance(message, LeaseGrant | Promise | Accepted) and sender not in self.view.voters:
            return []
        match message:
            case LeaseRequest():
                return self._grant_lease(now, sender, message)
            case LeaseGrant(_, at, active):
                self.grants[sender] = max(self.grants.get(sender, 0), at + self.terms.holder_duration())
                self.active = self.active or active
                return []
            case Prepare() | Accept():
                answer = self._vote(message)
                return [(sender.name, answer)] if answer else []
            case Promise():
                return self._handle_promise(now, sender, message)
            case Accepted():
                return self._handle_accepted(now, sender, message)
        return []

    def copy(self) -> ViewAgreement:
        """Return an independent copy."""
        made = copy(self)
        made.grants, made.revoked = dict(self.grants), dict(self.revoked)
        if (old := self.proposal) is not None:
            made.proposal = replace(old, promises=set(old.promises), accepted=set(old.accepted))
        if self.forming is not None:
            made.forming = self.forming[0], set(self.forming[1])
        return made

    def key(self) -> tuple[object, ...]:
        """Return everything that determines future behaviour, to compare states in a search."""
        pending = self.proposal
        proposal = pending and (
            pending.ballot,
            pending.view,
            frozenset(pending.promises),
            pending.highest_accepted,
            frozenset(pending.accepted),
            pending.accepting,
        )
        return (
            self.me,
            self.view,
            self.active,
            self.grants_until,
            self.earlier_grants_until,
            frozenset(self.grants.items()),
            frozenset(self.revoked.items()),
            self.previous_part,
            self.last_asked,
            self.promised,
            self.accepted,
            self.accepted_view,
            self.formed,
            proposal,
            self.forming and (self.forming[0], frozenset(self.forming[1])),
        )

    def _to_others(self, members: Iterable[Member], message: ViewMessage) -> list[OutgoingMessage]:
        return [(member.name, message) for member in members if member.name != self.me.name]

    def _send_to_voters(self, now: int, proposal: Proposal, view: View) -> list[OutgoingMessage]:
        """Send the current phase's request to the voters; if this gateway is one, handle its own vote at once."""
        request = proposal.request(view.number)
        sent = self._to_others(view.voters, request)
        for _, answer in self.handle_message(now, self.me, request):
            sent += self.handle_message(now, self.me, answer)
        return sent

    def _grant_lease(self, now: int, member: Member, request: LeaseRequest) -> list[OutgoingMessage]:
        if self.view is None or request.number != self.number or self.me not in self.view.voters:
            return []
        self.grants_until = max(self.grants_until, now + self.terms.granter_duration())
        if member == self.me:
            self.grants[member] = request.at + self.terms.holder_duration()
            return []
        return [(member.name, LeaseGrant(request.number, request.at, self.active))]

    def _vote(self, message: Prepare | Accept) -> Promise | Accepted | None:
        # Not before the view is active: with two changes at once, leases on three views could be valid together.
        if (
            not (self.active and self.state_transferred)
            or message.ballot < self.promised
            or self.view is None
            or self.me not in self.view.voters
        ):
            return None
        self.promised = message.ballot
        if isinstance(message, Prepare):
            return Promise(message.number, message.ballot, self.accepted, self.accepted_view)
        self.accepted, self.accepted_view = message.ballot, message.view
        return Accepted(message.number, message.ballot)

    def _handle_promise(self, now: int, sender: Member, promise: Promise) -> list[OutgoingMessage]:
        proposal, view = self.proposal, self.view
        if proposal is None or view is None or proposal.accepting or promise.ballot != proposal.ballot:
            return []
        if promise.view and promise.accepted > proposal.highest_accepted:
            proposal.highest_accepted, proposal.view = promise.accepted, promise.view
        proposal.promises.add(sender)
        if len(proposal.promises) < majority(view.voters):
            return []
        proposal.accepting = True
        return self._send_to_voters(now, proposal, view)

    def _handle_accepted(self, now: int, sender: Member, accepted: Accepted) -> list[OutgoingMessage]:
        proposal, view = self.proposal, self.view
        if proposal is None or view is None or accepted.ballot != proposal.ballot:
            return []
        proposal.accepted.add(sender)
        if len(proposal.accepted) < majority(view.voters):
            return []
        previous = set(view.members)
        joined = [member for member in proposal.view.members if member not in previous]
        sent = self._to_others(view.members, view_delta(view, proposal.view)) + self._to_others(
            joined, Decided(proposal.view)
        )
        return sent + self._adopt_view(now, proposal.view)

    def _covers_all_names(self, members: tuple[Member, ...], without: tuple[str, ...]) -> bool:
        return sorted([*(member.name for member in members), *without]) == sorted(self.names)

    def _may_adopt(self, now: int, view: View) -> bool:
        """Return whether to agree to a formed view, as a member that knows no later view and has no working one."""
        return self.me in view.members and view.number > self.highest_number and not self.has_working_view(now)

    def _decide_if_all_formed(self, now: int) -> list[OutgoingMessage]:
        if self.forming is None or len(self.forming[1]) < len(self.forming[0].view.members):
            return []
        view, self.forming = self.forming[0].view, None
        return self._to_others(view.members, Decided(view)) + self._adopt_view(now, view)

    def _adopt_view(self, now: int, view: View) -> list[OutgoingMessage]:
        """Switch to a decided view. From now on this gateway grants nothing for an earlier one."""
        if view.number <= self.number:
            return []
        # Until the view is active, the smaller part of the two views counts; none if the previous view was missed.
        successor = self.view is not None and view.electors and view.number == self.number + 1
        self.previous_part = self.view.part(self.me) if successor and self.view else Fraction(0)
        self.view, self.active, self.grants, self.earlier_grants_until = (
            view,
            False,
            {},
            max(self.earlier_grants_until, self.grants_until),
        )
        self.promised, self.accepted, self.accepted_view, self.proposal = NO_BALLOT, NO_BALLOT, None, None
        if self.forming and self.forming[0].view.number <= view.number:
            self.forming = None
        self._update_active()
        return self.renew(now)

    def _revoke_grants(self, now: int) -> list[OutgoingMessage]:
        """Tell the voters once all grants for earlier views have ended; repeated until the view is active."""
        revoked = self.revoked.get(self.me, 0) >= self.number
        if self.view is None or self.active and revoked:
            return []
        if not revoked:
            if now < self.earlier_grants_until:
                return []
            self.revoked[self.me] = self.number
            self._update_active()
        revokers, _ = self.view.revokers()
        return self._to_others(self.view.voters, Revoked(self.number)) if self.me in revokers else []

    def _update_active(self) -> None:
        if self.view and not self.active:
            revokers, needed = self.view.revokers()
            self.active = sum(self.revoked.get(member, 0) >= self.number for member in revokers) >= needed
