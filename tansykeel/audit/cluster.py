"""What gateways that agree on views must keep, judged from the words seen between them and the parts they counted on.

No gateway's own log is the judge: what a gateway says that it counts as its part is held against the grants that were
seen to reach it, and against what all others count at the same moment.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from fractions import Fraction
from typing import NamedTuple

from tansykeel.audit.join import Passed
from tansykeel.audit.records import Counted, Said
from tansykeel.audit.rules import SLACK, Break
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import (
    SAFE_FRACTION,
    Accepted,
    Decided,
    Form,
    Formed,
    LeaseGrant,
    LeaseRequest,
    Promise,
    Revoked,
    Stepped,
    View,
    majority,
)
from tansykeel.cluster.messages import CODEC, view_number
from tansykeel.cluster.view_agreement import LeaseTerms

TENTH = 100  # microseconds
CLOCKS = 20_000  # microseconds by which a gateway's own word for a moment may be off from what was seen


class Seen(NamedTuple):
    """A word between two gateways: when it came by and when it went on, 0 for never."""

    at: int
    passed: int
    edge: str
    life: int
    hearer: str
    word: ClusterMessage


class FleetLaw(NamedTuple):
    """`words`: all that was seen between gateways, in the order in which it came by."""

    gateways: int
    terms: LeaseTerms
    words: list[Seen]


def words_of(passed: Passed) -> list[Seen]:
    """A view that is told as what changed is read as a whole one, after the one before."""
    views: dict[int, View] = {}

    def seen(said: Said) -> Seen:
        word = CODEC.decode(said.what, said.word)
        if isinstance(word, Stepped) and (before := views.get(word.number - 1)) is not None:
            word = Decided(word.apply_to(before))
        if isinstance(word, Decided | Form | Formed):
            views.setdefault(word.view.number, word.view)
        return Seen(said.at, said.passed, said.edge, said.life, said.hearer, word)

    return [seen(said) for said in passed.said]


def one_view(passed: Passed, law: FleetLaw) -> Iterator[Break]:
    """At most one view a number is told as decided."""
    views: dict[int, View] = {}
    for seen in law.words:
        if isinstance(seen.word, Decided):
            view = seen.word.view
            if views.setdefault(view.number, view) != view:
                yield Break("one_view", f"{seen.edge} told another view {view.number} than was told before")


def old_epochs(passed: Passed, law: FleetLaw) -> Iterator[Break]:
    """A gateway grants and votes for no view after it was heard to know a later one."""
    known: dict[tuple[str, int], tuple[int, int]] = {}  # by life: the latest number and since when
    for seen in law.words:
        number, who = view_number(seen.word), (seen.edge, seen.life)
        if number is None:
            continue
        latest, since = known.get(who, (0, 0))
        if isinstance(seen.word, LeaseGrant | Promise | Accepted) and number < latest and seen.at > since + SLACK:
            late = (seen.at - since) / 1000
            yield Break(
                "old_epochs",
                f"{seen.edge} gave its {type(seen.word).__name__} for view {number} {late:.0f} "
                f"ms after it knew of {latest}",
            )
        if isinstance(seen.word, Revoked | Decided | LeaseGrant) and number > latest:
            known[who] = number, seen.at


class Leases:
    """What was seen to reach each life of a gateway: until when each voter's grant can count there at most."""

    def __init__(self, law: FleetLaw) -> None:
        self.views: dict[int, View] = {}
        asked: dict[tuple[str, int, int], tuple[int, int]] = {}  # by whom, for which view, its stamp: life, and when
        self.grants: dict[tuple[str, int, int, str, int], list[tuple[int, int]]] = defaultdict(list)
        holds = law.terms.holder_duration() * TENTH
        for seen in law.words:
            match seen.word:
                case Decided(view) | Form(view) | Formed(view):
                    self.views.setdefault(view.number, view)
                case LeaseRequest(number, stamp):
                    asked.setdefault((seen.edge, number, stamp), (seen.life, seen.at))
        for seen in law.words:
            if not isinstance(seen.word, LeaseGrant) or not seen.passed:
                continue
            if (of := asked.get((seen.hearer, seen.word.number, seen.word.at))) is not None:
                life, at = of
                self.grants[seen.hearer, life, seen.word.number, seen.edge, seen.life].append((seen.passed, at + holds))
        for line in self.grants.values():  # what counts at a moment is the longest of those that came before
            line.sort()
            longest = 0
            for n, (reached, end) in enumerate(line):
                longest = max(longest, end)
                line[n] = reached, longest

    def until(self, edge: str, life: int, number: int, at: int) -> int:
        """Until when this life may have held a lease on a view, by what had reached it at a moment."""
        view = self.views.get(number)
        if view is None:
            return 0
        needed, ends = majority(view.voters), []
        for voter in view.voters:
            if voter.name == edge and voter.incarnation == life:
                needed -= 1  # what it grants itself passes nobody
                continue
            line = self.grants.get((edge, life, number, voter.name, voter.incarnation), [])
            before = bisect_right(line, (at + CLOCKS, 1 << 62))
            ends.append(line[before - 1][1] if before else 0)
        return sorted(ends, reverse=True)[needed - 1] if needed else 1 << 62


def parts(passed: Passed, law: FleetLaw) -> Iterator[Break]:
    """No part without the leases for it, and never more than the whole together."""
    safe, leases = SAFE_FRACTION / law.gateways, Leases(law)
    for one in passed.counted:
        if one.share <= safe:
            continue
        view = leases.views.get(one.view)
        most = (
            safe
            + sum((view.part(m) for m in view.members if (m.name, m.incarnation) == (one.edge, one.life)), Fraction(0))
            if view
            else safe
        )
        if one.share > most:
            yield Break(
                "parts",
                f"{one.edge} counted {float(one.share):.4f} of the whole by view "
                f"{one.view}, which gives it {float(most):.4f}",
            )
        held = leases.until(one.edge, one.life, one.view, one.at)
        if one.until > held + CLOCKS:
            yield Break(
                "parts",
                f"{one.edge} counted on view {one.view} for {(one.until - held) / 1000:.0f} ms longer "
                "than it was granted its part",
            )
    yield from sums(passed, law, safe)


def sums(passed: Passed, law: FleetLaw, safe: Fraction) -> Iterator[Break]:
    """The sum at each moment at which it can grow. Gateways that are not there count as their safe parts."""
    names = {one.edge for one in passed.counted}
    now: dict[str, Counted] = {}
    kills = sorted(((at, edge) for edge, times in passed.killed.items() for at in times), reverse=True)
    for one in sorted(passed.counted, key=lambda one: one.at):
        while kills and kills[-1][0] < one.at:
            now.pop(kills.pop()[1], None)
        now[one.edge], at = one, one.at
        held = {edge: it.share for edge, it in now.items() if it.until > at or not it.until}
        whole = sum((held.get(edge, safe) for edge in names), Fraction(0)) + safe * (law.gateways - len(names))
        if whole > 1:
            most = ", ".join(f"{edge} {float(part):.4f}" for edge, part in sorted(held.items()) if part > safe)
            yield Break("parts", f"together {float(whole):.4f} of the whole was counted on: {most}")
            return


def counted_mean(passed: Passed, law: FleetLaw) -> float:
    """How much of a whole was counted on in the mean over the day, from the first word on."""
    safe = SAFE_FRACTION / law.gateways
    events = sorted(passed.counted, key=lambda one: one.at)
    if not events:
        return 0.0
    end = max(max(said.at for said in passed.said), events[-1].at) if passed.said else events[-1].at
    by_edge: dict[str, list[Counted]] = defaultdict(list)
    for one in events:
        by_edge[one.edge].append(one)
    total = 0.0
    for edge, line in by_edge.items():
        for one, after in zip(line, [*line[1:], None], strict=True):
            until = after.at if after else end
            until = min([until, *(at for at in passed.killed.get(edge, []) if at > one.at)])
            leased = min(until, one.until) if one.until else until
            total += float(one.share) * max(leased - one.at, 0)
            total += float(safe) * max(until - max(leased, one.at), 0)
    return total / max(end - events[0].at, 1)


FLEET_RULES: dict[str, Callable[[Passed, FleetLaw], Iterator[Break]]] = {
    "one_view": one_view,
    "old_epochs": old_epochs,
    "parts": parts,
}
