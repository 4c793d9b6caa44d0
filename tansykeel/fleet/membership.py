"""Memberships of a fleet as they are told of: lives of gateways, views, and the words that agree on them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from fractions import Fraction

import xxhash

SAFE = Fraction(1, 5)  # of a whole: dealt evenly over all that the settings name, whatever is agreed
Ballot = tuple[int, str]  # round and proposer
NONE: Ballot = (0, "")
NEVER = -10**15  # a grant that was asked for then counts no more


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One life of a gateway: `incarnation` is another with each start."""

    name: str
    incarnation: int
    zone: int = 0
    weight: int = 1


@dataclass(frozen=True, slots=True)
class View:
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
        return (1 - SAFE) * Fraction(member.weight, sum(other.weight for other in self.members))

    def enders(self) -> tuple[tuple[Member, ...], int]:
        """Who must have ended their grants before this view counts, and how many of them."""
        return (self.electors, majority(self.electors)) if self.electors else (self.members, len(self.members))


def majority(members: tuple[Member, ...]) -> int:
    return len(members) // 2 + 1


def voters_of(members: tuple[Member, ...], most: int, kept: tuple[Member, ...] = ()) -> tuple[Member, ...]:
    """At most so many of the members: those of `kept` that stay, then from zones that have the fewest, and of a zone by
    the hash of their names, so that no name is favoured by its place in the settings."""
    chosen = [member for member in kept if member in members][:most]
    left = sorted(set(members) - set(chosen), key=lambda member: (xxhash.xxh64_intdigest(member.name.encode()), member))
    while left and len(chosen) < most:
        held = Counter(member.zone for member in chosen)
        chosen.append(min(left, key=lambda member: held[member.zone]))
        left.remove(chosen[-1])
    return tuple(sorted(chosen))


@dataclass(frozen=True, slots=True)
class Ask:
    """For a lease on a view, of its voters; `at` is the asker's own clock, which comes back."""

    number: int
    at: int


@dataclass(frozen=True, slots=True)
class Grant:
    """`active`: the view is so at its giver, and what is so at one gateway holds for all."""

    number: int
    at: int
    active: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """For the successor of view `number`."""

    number: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    number: int
    ballot: Ballot
    accepted: Ballot
    view: View | None


@dataclass(frozen=True, slots=True)
class Accept:
    number: int
    ballot: Ballot
    view: View


@dataclass(frozen=True, slots=True)
class Accepted:
    number: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Form:
    """A view that all names of the settings are asked to take up."""

    view: View


@dataclass(frozen=True, slots=True)
class Formed:
    view: View


@dataclass(frozen=True, slots=True)
class Decided:
    view: View


@dataclass(frozen=True, slots=True)
class Done:
    """The sender grants nothing for a view under `number` any more, and all that it granted is over."""

    number: int


Message = Ask | Grant | Prepare | Promise | Accept | Accepted | Form | Formed | Decided | Done
Sent = tuple[str, Message]  # to whom
