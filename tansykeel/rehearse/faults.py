"""What faults between two gateways do to each word on its way, without I/O: in simulated time and in the relay.

A way is one direction of a pair. A word that passes comes out at one moment or at several (told twice), or never. What
is kept back by a cut comes out when that is over, as bytes do that are sent again; words keep their order but where a
fault says otherwise. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

Way = tuple[int, int]  # from whom, to whom
MS, SECOND = 1_000, 1_000_000
APART = 1  # microseconds between words that come out one after the other


@dataclass(frozen=True, slots=True)
class Fault:
    verb: str
    until: int
    detail: dict[str, Any]
    ways: frozenset[Way]


def ways_of(detail: dict[str, Any], zones: list[int]) -> frozenset[Way]:
    """The ways that a trouble strikes, by each gateway's zone: those of `pairs` as they stand there, all between a
    `zone` and the rest, all that lead to `to_zone` from outside it, or all there are; `both`: those back too."""
    everyone = range(len(zones))
    found: Iterable[Way]
    if detail["pairs"]:
        found = [(a, b) for a, b in detail["pairs"]]
    elif detail["zone"] >= 0:
        found = [(a, b) for a in everyone for b in everyone if zones[a] == detail["zone"] != zones[b]]
    elif detail["to_zone"] >= 0:
        found = [(a, b) for a in everyone for b in everyone if zones[b] == detail["to_zone"] != zones[a]]
    else:
        found = [(a, b) for a in everyone for b in everyone if a != b]
    back = [(b, a) for a, b in found] if detail["both"] else []
    return frozenset([*found, *back])


class Faults:
    """`chance` is drawn from only while a fault strikes, in the order of the words."""

    def __init__(self, chance: Random) -> None:
        self.chance = chance
        self.active: list[Fault] = []
        self.last: dict[Way, int] = {}  # when the last word that kept its order came out
        self.busy: dict[Way, int] = {}  # until when a trickle is taken up by words before

    def cause(self, now: int, verb: str, for_us: int, detail: dict[str, Any], ways: frozenset[Way]) -> None:
        self.active = [fault for fault in self.active if fault.until > now]
        self.active.append(Fault(verb, now + for_us, detail, ways))

    def passes(self, now: int, way: Way, size: int, takes: int = 0, whole: bool = True) -> list[int]:
        """When a word of so many bytes that starts now comes out, each copy of it; `takes` is the way's own time.

        With `whole` False it is no word but a part of a connection's own: it is kept back and slowed, never lost,
        repeated or overtaken.
        """
        out, copies, ordered = now + takes, 1, True
        for fault in [fault for fault in self.active if fault.until > now and way in fault.ways]:
            detail = fault.detail
            match fault.verb:
                case "link_cut" if detail["keeps"] or not whole:
                    out = max(out, fault.until)
                case "link_delay":
                    spread = detail["spread"] * (2 * self.chance.random() - 1)
                    out += max(int(detail["ms"] * MS * (1 + spread)), 0)
                case "link_trickle":
                    start = max(self.busy.get(way, 0), now)
                    self.busy[way] = start + int(size * SECOND / detail["bytes_s"])
                    out = max(out, self.busy[way])
                case "link_cut" | "link_half_open" if whole:
                    copies = 0
                case "link_drop" if whole and self.chance.random() < detail["share"]:
                    copies = 0
                case "link_repeat" if whole and self.chance.random() < detail["share"]:
                    copies = min(copies, 1) * 2
                case "link_reorder" if whole and self.chance.random() < detail["share"]:
                    ordered = False
                    out += int(detail["ms"] * MS * self.chance.random())
        if not copies:
            return []
        if ordered:
            out = self.last[way] = max(out, self.last.get(way, 0) + APART)
        return [out + APART * number for number in range(copies)]
