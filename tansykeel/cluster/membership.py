"""Members, views and the messages by which members agree on views.

A view is a numbered membership. Its members divide a whole, such as the limit of a volume, into parts.
"""

from __future__ import annotations

from collections import Counter
from fractions import Fraction

import xxhash
from msgspec import Struct

# Fraction of a whole that is divided evenly among all members in the settings, whatever view is agreed. What a member
# gets of it, its safe part, counts even without a lease.
SAFE_FRACTION = Fraction(1, 5)
Ballot = tuple[int, str]  # round and proposer
NO_BALLOT: Ballot = (0, "")  # lower than any other
NEVER = -(10**15)  # a time so long ago that a lease requested then has expired


class Member(Struct, frozen=True, order=True, array_like=True):
    """One incarnation of a member of the cluster; each start of its process has a new one."""

    name: str
    incarnation: int
    zone: int = 0
    weight: int = 1


class View(Struct, frozen=True, array_like=True):
    """Agreed membership.

    The `voters` among the members grant leases and decide the next view. `electors` are the voters of the previous
    view, which decided this one; there are none if all members formed it together.
    """

    number: int
    members: tuple[Member, ...]
    voters: tuple[Member, ...]
    electors: tuple[Member, ...] = ()

    def part(self, member: Member) -> Fraction:
        """Return the member's part of a whole, beyond its safe part."""
        if member not in self.members:
            return Fraction(0)
        return (1 - SAFE_FRACTION) * Fraction(member.weight, sum(other.weight for other in self.members))

    def revokers(self) -> tuple[tuple[Member, ...], int]:
        """Return whose earlier grants must be over before this view becomes active, and of how many of them."""
        return (self.electors, majority(self.electors)) if self.electors else (self.members, len(self.members))


def majority(members: tuple[Member, ...]) -> int:
    """Return how many of the members are a majority."""
    return len(members) // 2 + 1


def choose_voters(members: tuple[Member, ...], count: int, previous: tuple[Member, ...] = ()) -> tuple[Member, ...]:
    """Choose at most `count` of the members as voters.

    Those of `previous` that are still members stay. Others are taken from the zones with the fewest voters, and within
    a zone in the order of the hashes of their names, so that a member's position in the settings gives no preference.
    """
    chosen = [member for member in previous if member in members][:count]
    candidates = sorted(
        set(members) - set(chosen), key=lambda member: (xxhash.xxh64_intdigest(member.name.encode()), member)
    )
    while candidates and len(chosen) < count:
        voters_in_zone = Counter(member.zone for member in chosen)
        chosen.append(min(candidates, key=lambda member: voters_in_zone[member.zone]))
        candidates.remove(chosen[-1])
    return tuple(sorted(chosen))


class LeaseRequest(Struct, frozen=True, array_like=True):
    """Asks a voter of view `number` for a lease on it. `at` is the requester's clock, which the grant returns."""

    number: int
    at: int


class LeaseGrant(Struct, frozen=True, array_like=True):
    """Grants the lease that was requested at `at`.

    `active` says that the view is active at the sender; a view that is active at one member is active for all.
    """

    number: int
    at: int
    active: bool


class Prepare(Struct, frozen=True, array_like=True):
    """Paxos, phase 1: asks the voters of view `number` for promises in the decision of its successor."""

    number: int
    ballot: Ballot


class Promise(Struct, frozen=True, array_like=True):
    """Answers a Prepare. `view` is what the sender accepted last, if anything, under the ballot `accepted`."""

    number: int
    ballot: Ballot
    accepted: Ballot
    view: View | None


class Accept(Struct, frozen=True, array_like=True):
    """Paxos, phase 2: asks the voters of view `number` to accept `view` as its successor."""

    number: int
    ballot: Ballot
    view: View


class Accepted(Struct, frozen=True, array_like=True):
    """Answers an Accept whose view the sender accepted."""

    number: int
    ballot: Ballot


class Form(Struct, frozen=True, array_like=True):
    """Asks all members in the settings to take up a view that consists of all of them.

    Those named in `without` are left out: an operator stated that no process runs under these names.
    """

    view: View
    without: tuple[str, ...] = ()


class Formed(Struct, frozen=True, array_like=True):
    """Answers a Form whose view the sender took up."""

    view: View


class Decided(Struct, frozen=True, array_like=True):
    """Announces a view that was decided, in full."""

    view: View


class Stepped(Struct, frozen=True, array_like=True):
    """Announces a view that was decided, as the difference from the previous one.

    Sent to the members of the previous view, so that the size of the message depends on what changed and not on the
    size of the cluster.
    """

    number: int
    left: tuple[str, ...]
    joined: tuple[Member, ...]
    voters: tuple[str, ...]

    def apply_to(self, before: View) -> View:
        """Return the decided view, given the previous one."""
        replaced = {*self.left, *(member.name for member in self.joined)}
        members = tuple(sorted([*(m for m in before.members if m.name not in replaced), *self.joined]))
        voters = tuple(member for member in members if member.name in self.voters)
        return View(self.number, members, voters, before.voters)


def view_delta(before: View, view: View) -> Stepped:
    """Return the difference between a view and the previous one."""
    members_before, names = set(before.members), {member.name for member in view.members}
    return Stepped(
        view.number,
        tuple(m.name for m in before.members if m.name not in names),
        tuple(m for m in view.members if m not in members_before),
        tuple(v.name for v in view.voters),
    )


class Revoked(Struct, frozen=True, array_like=True):
    """States that the sender grants no lease on views before `number` any more and that those it granted expired."""

    number: int


ViewMessage = (
    LeaseRequest | LeaseGrant | Prepare | Promise | Accept | Accepted | Form | Formed | Decided | Stepped | Revoked
)
OutgoingMessage = tuple[str, ViewMessage]  # recipient and message
