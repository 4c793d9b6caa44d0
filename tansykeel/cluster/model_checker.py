"""Model checker for the view agreement: explores orders of events on a small fleet and checks invariants. Without I/O.

An explicit-state search: a message that was sent may arrive at any later time, any number of times, or never; gateways
crash, restart, propose and form views, while time advances in ticks. A state that was visited before is not explored
again. The trace of a violated invariant is minimized: no event can be left out of it.
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
Event = tuple[object, ...]  # the kind of event, the gateway, and further arguments by kind
EXACT_CLOCK_TERMS = LeaseTerms(lease=2, drift=0.0)  # in ticks; all clocks run alike
DRIFTING_CLOCK_TERMS = LeaseTerms(lease=20, drift=0.1)  # in tenths of a tick; clocks drift by up to a tenth
DRIFTING_CLOCK_RATES = (11, 9)  # tenths per tick of a fast and a slow clock, assigned in turn; two of three are fast
RUN_LENGTH = 80  # events of a random run
NEW_ARRIVAL_PROBABILITY = 0.7  # that an event of a random run is a first arrival, if one is due


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits: on each kind of event in a run, on the events of a run in `search`, and on the states visited."""

    ticks: int = 6
    proposals: int = 2
    crashes: int = 1
    restarts: int = 1
    forms: int = 1
    events: int = 12
    states: int = 20_000


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The outcome of a search. `complete`: all states within the bounds were visited; `violation`: the violated
    invariant, or empty; `trace`: the minimized events that lead to it."""

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


class NoFirstView(Problem, ValueError):
    """The model checker could not form a first view to start from."""

    advice = "give terms under which the gateways can form a first view"


class Fleet:
    """A state of the model: the running gateways, all messages sent so far, the time and all views ever adopted."""

    def __init__(
        self, names: tuple[str, ...], terms: LeaseTerms, make_agreement: AgreementFactory, rates: tuple[int, ...] = (1,)
    ) -> None:
        self.names, self.terms, self.make_agreement, self.rates = names, terms, make_agreement, rates
        self.now = 0
        self.incarnations = dict.fromkeys(names, 0)
        self.alive: dict[str, ViewAgreement] = {}
        # Recipient, sender and message, in the order in which they were first sent.
        self.sent: dict[tuple[str, Member, ViewMessage], None] = {}
        self.decided: dict[int, View] = {}  # by number, as first adopted by any gateway
        self.event_counts = {"tick": 0, "propose": 0, "crash": 0, "restart": 0, "form": 0}
        self.violation = ""  # the last invariant found violated
        for name in names:
            self._start(name)

    def copy(self) -> Fleet:
        """Return a copy that shares the agreements; each is copied before it changes."""
        made = object.__new__(type(self))
        made.names, made.terms, made.make_agreement, made.rates = (
            self.names,
            self.terms,
            self.make_agreement,
            self.rates,
        )
        made.now, made.violation = self.now, self.violation
        made.incarnations, made.sent, made.decided = dict(self.incarnations), dict(self.sent), dict(self.decided)
        made.alive, made.event_counts = dict(self.alive), dict(self.event_counts)
        return made

    def clock(self, name: str) -> int:
        """Return the time by a gateway's own clock; the rates are assigned to the names in turn."""
        return self.now * self.rates[self.names.index(name) % len(self.rates)]

    def key(self) -> tuple[object, ...]:
        """Return everything that determines the future of the state, to recognize visited states."""
        return (
            self.now,
            frozenset((name, agreement.key()) for name, agreement in self.alive.items()),
            frozenset(self.sent),
            tuple(self.event_counts.values()),
            tuple(self.incarnations.values()),
        )

    def events(self, bounds: Bounds) -> list[Event]:
        """Return all events that are possible next, in a fixed order."""
        allowed = {
            name: self.event_counts[name] < limit
            for name, limit in (
                ("tick", bounds.ticks),
                ("propose", bounds.proposals),
                ("crash", bounds.crashes),
                ("restart", bounds.restarts),
                ("form", bounds.forms),
            )
        }
        possible: list[Event] = [("arrives", *delivery) for delivery in self.sent if delivery[0] in self.alive]
        possible += [("renews", name) for name in self.alive]
        if allowed["tick"]:
            possible.append(("tick",))
        for name, agreement in self.alive.items():
            if allowed["propose"] and agreement.view:
                current = {member.name: member for member in agreement.view.members}
                leaves = [
                    tuple(m for m in agreement.view.members if m is not leaving) for leaving in agreement.view.members
                ]
                joins = [
                    (*(m for m in agreement.view.members if m.name != other.me.name), other.me)
                    for other in self.alive.values()
                    if current.get(other.me.name) != other.me
                ]
                possible += [("proposes", name, members) for members in leaves + joins if members]
            if allowed["form"]:  # an operator excludes the gateways that are not running
                possible.append(("forms", name))
            if allowed["crash"]:
                possible.append(("crashes", name))
        if allowed["restart"]:
            possible += [("restarts", name) for name in self.names]
        return possible

    def arrivals(self, before: Fleet) -> list[Event]:
        """Return the arrivals of messages that were not yet sent in the state `before`."""
        return [("arrives", *delivery) for delivery in self.sent if delivery not in before.sent]

    def successor(self, event: Event) -> Fleet | None:
        """Return the state after an event, or None if it is not possible in this state."""
        made = self.copy()
        return made if made._apply(event) else None

    def _apply(self, event: Event) -> bool:
        """Apply the event to this state; return False if it is not possible."""
        kind, *arguments = event
        if kind == "tick":
            self.now += 1
            self.event_counts["tick"] += 1
        elif kind == "restarts":
            self.event_counts["restart"] += 1
            self._start(str(arguments[0]))
        elif str(arguments[0]) not in self.alive:
            return False
        elif kind == "crashes":
            self.event_counts["crash"] += 1
            del self.alive[str(arguments[0])]
        else:
            agreement = self.alive[str(arguments[0])] = self.alive[str(arguments[0])].copy()
            now = self.clock(agreement.me.name)
            if kind == "arrives":
                if tuple(arguments) not in self.sent:
                    return False
                sent = agreement.handle_message(now, arguments[1], arguments[2])  # type: ignore[arg-type]
            elif kind == "renews":
                sent = agreement.renew(now)
            elif kind == "proposes":
                self.event_counts["propose"] += 1
                sent = agreement.propose(now, arguments[1])  # type: ignore[arg-type]
            else:
                self.event_counts["form"] += 1
                without = tuple(name for name in self.names if name not in self.alive)
                sent = agreement.form(now, [other.me for other in self.alive.values()], 10 * self.now + 1, without)
            self.sent |= dict.fromkeys((to, agreement.me, message) for to, message in sent)
        self._check_invariants()
        return True

    def _start(self, name: str) -> None:
        """Start a gateway, or restart it as a new incarnation that remembers nothing."""
        self.incarnations[name] += 1
        self.alive[name] = self.make_agreement(
            Member(name, self.incarnations[name]), self.names, self.terms, self.clock(name)
        )

    def _check_invariants(self) -> None:
        """Parts add up to the whole at most, and a view number stands for one view."""
        parts = {name: agreement.part(self.clock(name)) for name, agreement in self.alive.items()}
        if sum(parts.values(), Fraction(0)) > 1:
            self.violation = "parts are more than the whole: " + ", ".join(
                f"{name} {part}" for name, part in parts.items()
            )
        for agreement in self.alive.values():
            if agreement.view and self.decided.setdefault(agreement.view.number, agreement.view) != agreement.view:
                self.violation = f"two views with the number {agreement.view.number}"


def form_first_view(
    names: tuple[str, ...],
    terms: LeaseTerms,
    make_agreement: AgreementFactory,
    rates: tuple[int, ...] = (1,),
    kind: type[Fleet] = Fleet,
) -> Fleet:
    """Return a fleet whose first view is formed and active, and on which all gateways hold leases.

    Raises NoFirstView if the lease terms do not allow that.
    """
    fleet = kind(names, terms, make_agreement, rates)
    for _ in range(3):  # form and adopt the view; revoke earlier grants; get leases
        for name in names:
            event: Event = ("forms", name) if not fleet.event_counts["form"] else ("renews", name)
            fleet = _require_successor(fleet, event)
        for _ in range(4):
            for delivery in list(fleet.sent):
                fleet = _require_successor(fleet, ("arrives", *delivery))
    fleet.sent, fleet.event_counts = {}, dict.fromkeys(fleet.event_counts, 0)
    if any(
        not agreement.active or not agreement.leased(fleet.clock(agreement.me.name))
        for agreement in fleet.alive.values()
    ):
        raise NoFirstView(f"no first view among {names}: it is not active and leased everywhere under these terms")
    return fleet


def _require_successor(fleet: Fleet, event: Event) -> Fleet:
    successor = fleet.successor(event)
    assert successor is not None
    return successor


def search(first: Fleet, bounds: Bounds, seed: int = 1) -> SearchResult:
    """Visit the states within the bounds depth-first, in an order drawn from `seed`, until an invariant is violated."""
    rng = random.Random(seed)
    visited = {first.key()}
    path: list[tuple[Fleet, list[Event], Event | None]] = [(first, _shuffled_events(first, bounds, rng), None)]
    while path:
        fleet, remaining, _ = path[-1]
        if not remaining or len(path) > bounds.events:
            path.pop()
            continue
        event = remaining.pop()
        successor = fleet.successor(event)
        if successor is None or (key := successor.key()) in visited:
            continue
        visited.add(key)
        if successor.violation:
            events = [step for _, _, step in path if step] + [event]
            return SearchResult(
                len(visited), False, successor.violation, tuple(map(describe_event, minimize_trace(first, events)))
            )
        if len(visited) >= bounds.states:
            return SearchResult(len(visited), False)
        path.append((successor, _shuffled_events(successor, bounds, rng), event))
    return SearchResult(len(visited), True)


def random_runs(
    first: Fleet, bounds: Bounds, seed: int, steps: int = RUN_LENGTH, by_kind: bool = False
) -> SearchResult:
    """Draw random runs, which reach depths that a search of all states does not, until an invariant is violated.

    New messages mostly arrive soon, in random order; the others arrive late, repeatedly or never. `by_kind`: draw the
    kind of event first, each with the same probability, however many events of it are possible.
    """
    rng, visited = random.Random(seed), 0
    while visited < bounds.states:
        fleet, events, new_arrivals = first, list[Event](), dict[Event, None]()
        for _ in range(steps):
            candidates = (
                list(new_arrivals) if new_arrivals and rng.random() < NEW_ARRIVAL_PROBABILITY else fleet.events(bounds)
            )
            if by_kind:
                kind = rng.choice(list(dict.fromkeys(event[0] for event in candidates)))
                candidates = [event for event in candidates if event[0] == kind]
            event = rng.choice(candidates)
            new_arrivals.pop(event, None)
            successor = fleet.successor(event)
            if successor is None:
                continue
            new_arrivals |= dict.fromkeys(successor.arrivals(fleet))
            fleet, visited = successor, visited + 1
            events.append(event)
            if fleet.violation:
                return SearchResult(
                    visited, False, fleet.violation, tuple(map(describe_event, minimize_trace(first, events)))
                )
    return SearchResult(visited, False)


def _shuffled_events(fleet: Fleet, bounds: Bounds, rng: random.Random) -> list[Event]:
    events = fleet.events(bounds)
    rng.shuffle(events)
    return events


def violates(first: Fleet, events: Iterable[Event]) -> bool:
    """Return whether the events, leaving out those that are not possible, violate an invariant."""
    fleet = first
    for event in events:
        successor = fleet.successor(event)
        if successor is None:
            continue
        fleet = successor
        if fleet.violation:
            return True
    return False


def minimize_trace(first: Fleet, events: list[Event]) -> list[Event]:
    """Return the events without those that are not needed for a violation.

    Tries to leave out halves, then quarters, down to single events, until no single event can be left out.
    """
    size = max(len(events) // 2, 1)
    while True:
        index, before = 0, len(events)
        while index < len(events):
            rest = events[:index] + events[index + size :]
            if violates(first, rest):
                events = rest
            else:
                index += size
        if size == 1 and len(events) == before:
            return events
        size = max(size // 2, 1)


def describe_event(event: Event) -> str:
    """Return an event as a line of a trace."""
    kind, *arguments = event
    if kind == "tick":
        return "a tick passes"
    if kind == "arrives":
        to, sender, message = arguments
        return f"{to} receives {_describe_value(message)} from {_describe_value(sender)}"
    return " ".join([str(arguments[0]), str(kind), *map(_describe_value, arguments[1:])])


def _describe_value(value: object) -> str:
    if isinstance(value, Member):
        return f"{value.name}{value.incarnation}"
    if isinstance(value, tuple):
        return "{" + ", ".join(map(_describe_value, value)) + "}"
    if isinstance(value, View):
        return f"view {value.number} {_describe_value(value.members)}"
    fields = getattr(value, "__struct_fields__", None)
    if fields:
        return f"{type(value).__name__}({', '.join(_describe_value(getattr(value, name)) for name in fields)})"
    return str(value)
