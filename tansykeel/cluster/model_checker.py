"""Tries every order of events on a small fleet that agrees on views, and judges each state that comes of it.

An explicit-state search as model checkers make it: a message that was sent may arrive at any later time, any number of
times, or never; gateways crash, start again, propose and form views, while time goes on in ticks. States seen before
are not gone into again. A broken law is cut down to the fewest events that still show it. Without I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from fractions import Fraction

from tansykeel.cluster.membership import Member, View, ViewMessage
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.errors import Problem

AgreementFactory = Callable[[Member, tuple[str, ...], LeaseTerms, int], ViewAgreement]
Event = tuple[object, ...]  # its name, then whom and what
EXACT_CLOCK_TERMS = LeaseTerms(lease=2, drift=0.0)  # in ticks, by clocks that agree
DRIFTING_CLOCK_TERMS = LeaseTerms(lease=20, drift=0.1)  # in tenths of a tick, by clocks that are off by as much
DRIFTING_CLOCK_RATES = (11, 9)  # tenths that a fast and a slow clock show in a tick: of three gateways two are fast
STEPS = 80  # events of a drawn run
FRESH = 0.7  # part of the steps of a drawn run in which something arrives that had not yet


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of each may happen in one run, how many events a run has, and how many states are looked at."""

    ticks: int = 6
    proposals: int = 2
    crashes: int = 1
    restarts: int = 1
    forms: int = 1
    events: int = 12
    states: int = 20_000


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search saw. `whole`: its states did not run out; `trace`: the fewest events that break `law`."""

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


class NoFirstView(Problem, ValueError):
    """A search of orders of events can't begin."""

    advice = "give terms under which the gateways can form a first view"


class Fleet:
    """A state: who lives, what was ever sent, what time it is, what was decided by anybody."""

    def __init__(
        self, names: tuple[str, ...], terms: LeaseTerms, make: AgreementFactory, rates: tuple[int, ...] = (1,)
    ) -> None:
        self.names, self.terms, self.make, self.rates = names, terms, make, rates
        self.now = 0
        self.incarnations = dict.fromkeys(names, 0)
        self.alive: dict[str, ViewAgreement] = {}
        self.sent: dict[tuple[str, Member, ViewMessage], None] = {}  # in the order in which they were first sent
        self.decided: dict[int, View] = {}
        self.event_counts = {"tick": 0, "propose": 0, "crash": 0, "restart": 0, "form": 0}
        self.violation = ""
        for name in names:
            self._start(name)

    def copy(self) -> Fleet:
        made = object.__new__(type(self))
        made.names, made.terms, made.make, made.rates = self.names, self.terms, self.make, self.rates
        made.now, made.violation = self.now, self.violation
        made.incarnations, made.sent, made.decided = dict(self.incarnations), dict(self.sent), dict(self.decided)
        made.alive, made.event_counts = (
            dict(self.alive),
            dict(self.event_counts),
        )  # an agreement is copied before it moves
        return made

    def clock(self, name: str) -> int:
        """What a gateway's own clock shows; gateways have the rates by turns."""
        return self.now * self.rates[self.names.index(name) % len(self.rates)]

    def key(self) -> tuple[object, ...]:
        return (
            self.now,
            frozenset((name, one.key()) for name, one in self.alive.items()),
            frozenset(self.sent),
            tuple(self.event_counts.values()),
            tuple(self.incarnations.values()),
        )

    def events(self, bounds: Bounds) -> list[Event]:
        """All that may happen next, in a fixed order."""
        free = {
            name: self.event_counts[name] < most
            for name, most in (
                ("tick", bounds.ticks),
                ("propose", bounds.proposals),
                ("crash", bounds.crashes),
                ("restart", bounds.restarts),
                ("form", bounds.forms),
            )
        }
        found: list[Event] = [("arrives", *word) for word in self.sent if word[0] in self.alive]
        found += [("renews", name) for name in self.alive]
        if free["tick"]:
            found.append(("tick",))
        for name, one in self.alive.items():
            if free["propose"] and one.view:
                there = {member.name: member for member in one.view.members}
                leave = [tuple(m for m in one.view.members if m is not gone) for gone in one.view.members]
                join = [
                    (*(m for m in one.view.members if m.name != other.me.name), other.me)
                    for other in self.alive.values()
                    if there.get(other.me.name) != other.me
                ]
                found += [("proposes", name, members) for members in leave + join if members]
            if free["form"]:  # without the dead, where an operator says that they are
                found.append(("forms", name))
            if free["crash"]:
                found.append(("crashes", name))
        if free["restart"]:
            found += [("restarts", name) for name in self.names]
        return found

    def arrivals(self, before: Fleet) -> list[Event]:
        """What was sent since the state before, and may arrive."""
        return [("arrives", *word) for word in self.sent if word not in before.sent]

    def successor(self, event: Event) -> Fleet | None:
        """The state after an event; None where it can't happen here."""
        made = self.copy()
        return made if made._apply(event) else None

    def _apply(self, event: Event) -> bool:
        kind, *what = event
        if kind == "tick":
            self.now += 1
            self.event_counts["tick"] += 1
        elif kind == "restarts":
            self.event_counts["restart"] += 1
            self._start(str(what[0]))
        elif str(what[0]) not in self.alive:
            return False
        elif kind == "crashes":
            self.event_counts["crash"] += 1
            del self.alive[str(what[0])]
        else:
            one = self.alive[str(what[0])] = self.alive[str(what[0])].copy()
            now = self.clock(one.me.name)
            if kind == "arrives":
                if tuple(what) not in self.sent:
                    return False
                told = one.handle_message(now, what[1], what[2])  # type: ignore[arg-type]
            elif kind == "renews":
                told = one.renew(now)
            elif kind == "proposes":
                self.event_counts["propose"] += 1
                told = one.propose(now, what[1])  # type: ignore[arg-type]
            else:
                self.event_counts["form"] += 1
                without = tuple(name for name in self.names if name not in self.alive)
                told = one.form(now, [other.me for other in self.alive.values()], 10 * self.now + 1, without)
            self.sent |= dict.fromkeys((to, one.me, message) for to, message in told)
        self._check_invariants()
        return True

    def _start(self, name: str) -> None:
        self.incarnations[name] += 1
        self.alive[name] = self.make(Member(name, self.incarnations[name]), self.names, self.terms, self.clock(name))

    def _check_invariants(self) -> None:
        parts = {name: one.part(self.clock(name)) for name, one in self.alive.items()}
        if sum(parts.values(), Fraction(0)) > 1:
            self.violation = "parts are more than the whole: " + ", ".join(
                f"{name} {part}" for name, part in parts.items()
            )
        for one in self.alive.values():
            if one.view and self.decided.setdefault(one.view.number, one.view) != one.view:
                self.violation = f"two views with the number {one.view.number}"


def form_first_view(
    names: tuple[str, ...],
    terms: LeaseTerms,
    make: AgreementFactory,
    rates: tuple[int, ...] = (1,),
    kind: type[Fleet] = Fleet,
) -> Fleet:
    """A fleet that formed its first view, made it active and holds leases on it."""
    fleet = kind(names, terms, make, rates)
    for _ in range(3):  # to form and follow; to end grants; to lease
        for name in names:
            event: Event = ("forms", name) if not fleet.event_counts["form"] else ("renews", name)
            fleet = _must(fleet, event)
        for _ in range(4):
            for word in list(fleet.sent):
                fleet = _must(fleet, ("arrives", *word))
    fleet.sent, fleet.event_counts = {}, dict.fromkeys(fleet.event_counts, 0)
    if any(not one.active or not one.leased(fleet.clock(one.me.name)) for one in fleet.alive.values()):
        raise NoFirstView(f"no first view among {names}: legal: terms under which one can be formed")
    return fleet


def _must(fleet: Fleet, event: Event) -> Fleet:
    after = fleet.successor(event)
    assert after is not None
    return after


def search(first: Fleet, bounds: Bounds, seed: int = 1) -> SearchResult:
    """Go through the states within the bounds, deepest first and in an order drawn by `seed`, until a law breaks."""
    chance = random.Random(seed)
    seen = {first.key()}
    path: list[tuple[Fleet, list[Event], Event | None]] = [(first, _drawn(first, bounds, chance), None)]
    while path:
        fleet, left, _ = path[-1]
        if not left or len(path) > bounds.events:
            path.pop()
            continue
        event = left.pop()
        after = fleet.successor(event)
        if after is None or (key := after.key()) in seen:
            continue
        seen.add(key)
        if after.violation:
            events = [step for _, _, step in path if step] + [event]
            return SearchResult(
                len(seen), False, after.violation, tuple(map(describe_event, minimize_trace(first, events)))
            )
        if len(seen) >= bounds.states:
            return SearchResult(len(seen), False)
        path.append((after, _drawn(after, bounds, chance), event))
    return SearchResult(len(seen), True)


def random_runs(first: Fleet, bounds: Bounds, seed: int, steps: int = STEPS, by_kind: bool = False) -> SearchResult:
    """Runs drawn by chance, for depths that a search of all states does not come to. What is on its way mostly arrives
    in some order, the rest late, again or never. `by_kind`: kinds of events are drawn evenly, however many of one."""
    chance, seen = random.Random(seed), 0
    while seen < bounds.states:
        fleet, events, fresh = first, list[Event](), dict[Event, None]()
        for _ in range(steps):
            choice = list(fresh) if fresh and chance.random() < FRESH else fleet.events(bounds)
            if by_kind:
                kind = chance.choice(list(dict.fromkeys(event[0] for event in choice)))
                choice = [event for event in choice if event[0] == kind]
            event = chance.choice(choice)
            fresh.pop(event, None)
            after = fleet.successor(event)
            if after is None:
                continue
            fresh |= dict.fromkeys(after.arrivals(fleet))
            fleet, seen = after, seen + 1
            events.append(event)
            if fleet.violation:
                return SearchResult(
                    seen, False, fleet.violation, tuple(map(describe_event, minimize_trace(first, events)))
                )
    return SearchResult(seen, False)


def _drawn(fleet: Fleet, bounds: Bounds, chance: random.Random) -> list[Event]:
    events = fleet.events(bounds)
    chance.shuffle(events)
    return events


def breaks(first: Fleet, events: Iterable[Event]) -> bool:
    fleet = first
    for event in events:
        after = fleet.successor(event)
        if after is None:
            continue
        fleet = after
        if fleet.violation:
            return True
    return False


def minimize_trace(first: Fleet, events: list[Event]) -> list[Event]:
    """The events without those that are not needed to break a law: halves, quarters, then single ones, over again."""
    size = max(len(events) // 2, 1)
    while True:
        index, before = 0, len(events)
        while index < len(events):
            rest = events[:index] + events[index + size :]
            if breaks(first, rest):
                events = rest
            else:
                index += size
        if size == 1 and len(events) == before:
            return events
        size = max(size // 2, 1)


def describe_event(event: Event) -> str:
    """An event as a line of a trace."""
    kind, *what = event
    if kind == "tick":
        return "a tick passes"
    if kind == "arrives":
        to, sender, message = what
        return f"{to} hears {_plain(message)} from {_plain(sender)}"
    return " ".join([str(what[0]), str(kind), *map(_plain, what[1:])])


def _plain(what: object) -> str:
    if isinstance(what, Member):
        return f"{what.name}{what.incarnation}"
    if isinstance(what, tuple):
        return "{" + ", ".join(map(_plain, what)) + "}"
    if isinstance(what, View):
        return f"view {what.number} {_plain(what.members)}"
    fields = getattr(what, "__struct_fields__", None)
    if fields:
        return f"{type(what).__name__}({', '.join(_plain(getattr(what, name)) for name in fields)})"
    return str(what)
