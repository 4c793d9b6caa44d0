"""Memberships of a fleet as they are told of: lives of gateways, views, and the words that agree on them."""

from __future__ import annotations

from collections import Counter
from fractions import Fraction

import xxhash
from msgspec import Struct

SAFE_FRACTION = Fraction(1, 5)  # of a whole: dealt evenly over all that the settings name, whatever is agreed
Ballot = tuple[int, str]  # round and proposer
NO_BALLOT: Ballot = (0, "")
NEVER = -(10**15)  # a grant that was asked for then counts no more


class Member(Struct, frozen=True, order=True, array_like=True):
    """One life of a gateway: `incarnation` is another with each start."""

    name: str
    incarnation: int
    zone: int = 0
    weight: int = 1


class View(Struct, frozen=True, array_like=True):
    """An agreed membership. `voters` of it grant leases and decide its successor; `electors` are the voters of the view
    that decided this one, none where all formed it."""

    number: int
    members: tuple[Member, ...]
    voters: tuple[Member, ...]
    electors: tuple[Member, ...] = ()

    def part(self, member: Member) -> Fraction:
        """Of the whole beside the safe parts."""
        if member not in self.members:
            return Fraction(0)
        return (1 - SAFE_FRACTION) * Fraction(member.weight, sum(other.weight for other in self.members))

    def revokers(self) -> tuple[tuple[Member, ...], int]:
        """Who must have ended their grants before this view counts, and how many of them."""
        return (self.electors, majority(self.electors)) if self.electors else (self.members, len(self.members))


def majority(members: tuple[Member, ...]) -> int:
    return len(members) // 2 + 1


def choose_voters(members: tuple[Member, ...], most: int, kept: tuple[Member, ...] = ()) -> tuple[Member, ...]:
    """At most so many of the members: those of `kept` that stay, then from zones that have the fewest, and of a zone by
    the hash of their names, so that no name is favoured by its place in the settings."""
    chosen = [member for member in kept if member in members][:most]
    left = sorted(set(members) - set(chosen), key=lambda member: (xxhash.xxh64_intdigest(member.name.encode()), member))
    while left and len(chosen) < most:
        held = Counter(member.zone for member in chosen)
        chosen.append(min(left, key=lambda member: held[member.zone]))
        left.remove(chosen[-1])
    return tuple(sorted(chosen))


class LeaseRequest(Struct, frozen=True, array_like=True):
    """For a lease on a view, of its voters; `at` is the asker's own clock, which comes back."""

    number: int
    at: int


class LeaseGrant(Struct, frozen=True, array_like=True):
    """`active`: the view is so at its giver, and what is so at one gateway holds for all."""

    number: int
    at: int
    active: bool


class Prepare(Struct, frozen=True, array_like=True):
    """For the successor of view `number`."""

    number: int
    ballot: Ballot


class Promise(Struct, frozen=True, array_like=True):
    number: int
    ballot: Ballot
    accepted: Ballot
    view: View | None


class Accept(Struct, frozen=True, array_like=True):
    number: int
    ballot: Ballot
    view: View


class Accepted(Struct, frozen=True, array_like=True):
    number: int
    ballot: Ballot


class Form(Struct, frozen=True, array_like=True):
    """A view that all names of the settings are asked to take up, but those `without` which an operator's word lets it
    be formed."""

    view: View
    without: tuple[str, ...] = ()


class Formed(Struct, frozen=True, array_like=True):
    view: View


class Decided(Struct, frozen=True, array_like=True):
    view: View


class Stepped(Struct, frozen=True, array_like=True):
    """What was decided, told to whoever follows the view before: bytes go with what changed and not with the fleet."""

    number: int
    left: tuple[str, ...]
    joined: tuple[Member, ...]
    voters: tuple[str, ...]

    def apply_to(self, view: View) -> View:
        """The decided view, `view` being the one before."""
        gone = {*self.left, *(member.name for member in self.joined)}
        members = tuple(sorted([*(m for m in view.members if m.name not in gone), *self.joined]))
        voters = tuple(member for member in members if member.name in self.voters)
        return View(self.number, members, voters, view.voters)


def view_delta(before: View, view: View) -> Stepped:
    were, there = set(before.members), {member.name for member in view.members}
    return Stepped(
        view.number,
        tuple(m.name for m in before.members if m.name not in there),
        tuple(m for m in view.members if m not in were),
        tuple(v.name for v in view.voters),
    )


class Revoked(Struct, frozen=True, array_like=True):
    """The sender grants nothing for a view under `number` any more, and all that it granted is over."""

    number: int


ViewMessage = (
    LeaseRequest | LeaseGrant | Prepare | Promise | Accept | Accepted | Form | Formed | Decided | Stepped | Revoked
)
OutgoingMessage = tuple[str, ViewMessage]  # to whom
