"""The leader's part in maintenance: whom it permits to go out of service next, and when it halts a release.

The controller only offers entries to the log; the state decides their effect. The agent of a machine asks for an order
again and again. The leader answers once a majority has confirmed that it led when the agent asked, or later, so that an
order never comes from a leader that was replaced before. Times are in ticks of 0.1 ms. Without I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from tansykeel.maintenance.canary_analysis import Comparison, Seen, Terms
from tansykeel.maintenance.disruption_budget import Bounds, Place
from tansykeel.maintenance.entries import AnyEntry, Back, Bounded, Leave, Move, Plan, Recover, There, Went
from tansykeel.maintenance.rollouts import GOING, GOING_BACK, SETTLING, WAITING, Release
from tansykeel.maintenance.state import State

MAX_ENTRIES, MAX_PLACES = 8, 64  # entries offered at a time; places that one entry adds, and that it removes


class Ask(Struct, frozen=True, array_like=True):
    """Request of a machine's agent for an order.

    `boot`: the incarnation of the program that it runs, or ran last. `went`: number of the order by which it went out
    last. `whole`: whether the program is ready: a store warm, a gateway with its lease. `wants`: why the machine itself
    asks to go out of service; empty if it does not.
    """

    name: str
    boot: int
    went: tuple[int, int] = (0, 0)
    whole: bool = False
    wants: str = ""


class Order(Struct, frozen=True, array_like=True):
    """Order to an agent: go out of service, and come back with this version.

    Valid for `lasts` ticks from when the agent asked. An empty `version` means the one that runs. Numbers only grow: an
    agent refuses an older one.
    """

    name: str
    boot: int
    number: tuple[int, int]  # the latest view that lost the state, and the index of the entry
    version: str
    lasts: int


class Pace(Struct, frozen=True):
    """Times of the controller, in ticks of 0.1 ms.

    `patience`: how long an order is valid. `back`: within which what went out has to be back and ready. `settles`: for
    which a wave is compared at least before the next one.
    """

    patience: int = 10_000
    back: int = 600_000
    settles: int = 100_000


class Controller:
    """Decides for the leader which entries to offer. `classes`: number of request classes that are compared."""

    def __init__(self, state: State, pace: Pace, terms: Terms, classes: int) -> None:
        self.state, self.pace, self.terms, self.classes = state, pace, terms, classes
        self.requests: dict[str, tuple[Ask, int]] = {}  # by agent: the latest request and when it came
        self.first_seen: dict[int, int] = {}  # by number of an `Out`: when it was first seen here
        # By release number and wave: when all of the wave were first seen back.
        self.settling_since: dict[tuple[int, int], int] = {}
        self.comparison: tuple[str, Comparison] | None = None  # name of a release and its evidence over all waves
        self.last_compared = 0  # when both versions last had counts in the same class and zone
        self.leading_since = -1  # since when this gateway leads; -1 if it does not

    # Requests of agents

    def record_request(self, now: int, ask: Ask) -> None:
        """Record the request of an agent; the latest one counts."""
        self.requests[ask.name] = ask, now

    def order_for(self, now: int, name: str, confirmed: int) -> Order | None:
        """Return the order for an agent, if there is one and a majority has confirmed this leader since it asked.

        `confirmed`: the latest time at which a majority has confirmed that this gateway led.
        """
        if name not in self.requests:
            return None
        ask, at = self.requests[name]
        kept, out = self.state.kept, self.state.kept.out.get(name)
        if out is None or not kept.known or confirmed < at or now - at >= self.pace.patience:
            return None
        number = kept.guess, out.number
        if out.boot != ask.boot or number <= ask.went:
            return None
        release = kept.releases.get(out.release)
        version = "" if release is None else release.before if release.state == GOING_BACK else release.version
        return Order(name, ask.boot, number, version, self.pace.patience)

    # Decisions of the leader

    def set_leading(self, now: int, leads: bool) -> None:
        """Note whether this gateway leads; what was recorded while it led before is discarded."""
        if not leads:
            self.leading_since = -1
        elif self.leading_since < 0:
            self.leading_since = now
            self.first_seen, self.settling_since, self.comparison = {}, {}, None

    def entries_to_offer(
        self, now: int, places: Mapping[str, Place], bounds: Bounds, gone: Mapping[str, str], alive: Iterable[str]
    ) -> list[AnyEntry]:
        """Return the entries to offer now.

        `places`: all gateways and stores by the settings and the store list. `gone`: what went out unplanned, with the
        reason, by failure detector and store list. `alive`: what is in service and ready by the same sources.
        """
        kept = self.state.kept
        if self.leading_since < 0:
            return []
        changes = self._fleet_changes(places, bounds, alive)
        if changes or not kept.known:
            return changes
        for out in kept.out.values():
            self.first_seen.setdefault(out.number, now)
        entries: list[AnyEntry] = [
            Went(name, why) for name, why in gone.items() if name in kept.places and name not in kept.out
        ]
        entries += self._returns(alive)
        entries += self._agent_requests()
        if (release := self.state.active_release()) is not None:
            entries += self._halt_if_late(now, release)
            entries += self._next_step(now, release)
            entries += self._evaluate_wave(now, release)
        return entries[:MAX_ENTRIES]

    def recovery_entry(self, now: int, out: Iterable[tuple[str, str]], by: str) -> Recover | None:
        """Return the entry for an operator's statement of what is out of service.

        None if this gateway does not lead, or while an agent may still obey an order from before it led.
        """
        if self.leading_since < 0 or now - self.leading_since <= 2 * self.pace.patience:
            return None
        return Recover(tuple(out), by)

    def add_task_counts(
        self, now: int, new: Mapping[tuple[str, int], Seen], old: Mapping[tuple[str, int], Seen]
    ) -> None:
        """Add the task counts of both versions in one interval to the comparison, by class and zone."""
        if self.comparison is not None:
            self.comparison[1].add(new, old)
            if any(key in old for key in new):
                self.last_compared = now

    # Implementation

    def _fleet_changes(self, places: Mapping[str, Place], bounds: Bounds, alive: Iterable[str]) -> list[AnyEntry]:
        """Return entries for bounds and places that differ from those in the state."""
        kept, entries = self.state.kept, list[AnyEntry]()
        if kept.bounds != bounds:
            entries.append(Bounded(bounds))
        changed = tuple(place for place in places.values() if kept.places.get(place.name) != place)[:MAX_PLACES]
        ready_shards = {kept.places[name].shard for name in alive if name in kept.places}
        gone = tuple(
            name
            for name, place in kept.places.items()
            if name not in places
            and (name not in kept.out or place.shard in ready_shards and self.state.has_replacement(name))
        )[:MAX_PLACES]
        if changed or gone:
            entries.append(There(changed, gone))
        return entries

    def _returns(self, alive: Iterable[str]) -> list[AnyEntry]:
        """Return entries for what is seen back and ready; that time has passed is never enough."""
        kept, found = self.state.kept, list[AnyEntry]()
        in_service = set(alive)
        for name, out in kept.out.items():
            ask = self.requests[name][0] if name in self.requests else None
            if ask is not None and ask.whole and ask.boot > out.boot:
                found.append(Back(name, ask.boot, out.number))
            elif out.boot == 0 and name in in_service:
                found.append(Back(name, 1, out.number))
        return found

    def _agent_requests(self) -> list[AnyEntry]:
        """Return permissions for machines that ask themselves to go out of service."""
        kept = self.state.kept
        return [
            Leave(name, ask.boot, ask.wants, "its agent")
            for name, (ask, _) in self.requests.items()
            if ask.wants and name not in kept.out and not self.state.denial_reasons(name)
        ]

    def _halt_if_late(self, now: int, release: Release) -> list[AnyEntry]:
        """Halt a release if something that it took out of service is not back in time."""
        for name, out in self.state.kept.out.items():
            if (
                out.release == release.name
                and release.allows("halt")
                and now - self.first_seen.get(out.number, now) > self.pace.back
            ):
                return [Move(release.name, "halt", f"{name} is not back in its time", "")]
        return []

    def _next_step(self, now: int, release: Release) -> list[AnyEntry]:
        """Permit the next gateway or store of a release to go out, if the budget allows it."""
        if release.state not in (WAITING, GOING, GOING_BACK):
            return []
        back = release.state == GOING_BACK
        for name in release.next_targets():
            request = self.requests.get(name)
            if request is None or now - request[1] > self.pace.patience:
                continue  # its agent does not ask: the others need not wait for it
            if not self.state.denial_reasons(name) or self.state.rolls_back_while_out(name, release):
                return [Leave(name, request[0].boot, release.name, release.by, release.name, back)]
        return []

    def _evaluate_wave(self, now: int, release: Release) -> list[AnyEntry]:
        """Halt a release that serves worse; let the next wave begin once the present one has settled."""
        if release.state not in (GOING, WAITING, SETTLING) or not release.went:
            return []
        if self.comparison is None or self.comparison[0] != release.name:
            self.comparison = release.name, Comparison(self.terms, self.classes)
        comparison = self.comparison[1]
        if worse := comparison.worse():
            return [Move(release.name, "halt", f"the new ones serve {', '.join(sorted(worse))} worse", "")]
        if release.state != SETTLING:
            return []
        since = self.settling_since.setdefault((release.number, release.wave), now)
        # Without counts of both versions, because none is left with the old one or no tasks come, time alone decides.
        no_counts = now - self.last_compared >= self.pace.settles
        enough = no_counts or comparison.tests and comparison.harm_ruled_out()
        return [Move(release.name, "next", "", "")] if enough and now - since >= self.pace.settles else []


def make_plan(name: str, version: str, before: str, waves: Iterable[Iterable[str]], by: str) -> Plan:
    """Return the entry that plans a release."""
    return Plan(name, version, before, tuple(tuple(wave) for wave in waves), by)
