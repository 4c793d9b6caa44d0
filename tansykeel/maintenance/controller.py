"""What whoever leads the ledger does about leave: whom it lets go next, what it has seen, when it halts. Without I/O.

It only ever offers entries; what comes of them is decided by the state. Machines' agents ask again and again: an agent
asks, the leader answers once a majority has confirmed that it led at that moment or later.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from tansykeel.maintenance.canary_analysis import Comparison, Seen, Terms
from tansykeel.maintenance.disruption_budget import Bounds, Place
from tansykeel.maintenance.entries import AnyEntry, Back, Bounded, Leave, Move, Plan, Recover, There, Went
from tansykeel.maintenance.rollouts import GOING, GOING_BACK, SETTLING, WAITING, Release
from tansykeel.maintenance.state import State

AT_ONCE, MOST_PLACES = 8, 64  # entries offered at a time; places told in one


class Ask(Struct, frozen=True, array_like=True):
    """A machine's agent: which life (`boot`) of what it runs, the last one where nothing runs; by which leave it went
    last; whether it is whole: warm, or with its lease; whether it wants to go out by hand, and why."""

    name: str
    boot: int
    went: tuple[int, int] = (0, 0)
    whole: bool = False
    wants: str = ""


class Order(Struct, frozen=True, array_like=True):
    """Go out by this leave, come back with this version. Counts for `lasts` tenths from when the agent asked."""

    name: str
    boot: int
    number: tuple[int, int]  # the view that lost all last, and the entry
    version: str
    lasts: int


class Pace(Struct, frozen=True):
    """Tenths. `patience`: how long an answer to an agent counts; `back`: in which one that is out has to be back and
    whole; `settles`: that a wave is compared at least."""

    patience: int = 10_000
    back: int = 600_000
    settles: int = 100_000


class Controller:
    """`classes`: of tasks that are compared."""

    def __init__(self, state: State, pace: Pace, terms: Terms, classes: int) -> None:
        self.state, self.pace, self.terms, self.classes = state, pace, terms, classes
        self.asks: dict[str, tuple[Ask, int]] = {}  # the newest of each, and when it came
        self.since: dict[int, int] = {}  # by the number of a leave: when it was first seen here
        self.settling: dict[tuple[int, int], int] = {}  # by a release's number and wave: since when all of it are back
        self.comparison: tuple[str, Comparison] | None = None  # of a release: evidence counts on from wave to wave
        self.paired = 0  # when new and old ones were last seen side by side
        self.leading_since = -1  # since when this gateway leads

    # What agents say

    def record_request(self, now: int, ask: Ask) -> None:
        self.asks[ask.name] = ask, now

    def order_for(self, now: int, name: str, confirmed: int) -> Order | None:
        """The order that an agent waits for, if there is one and a majority has confirmed it since the agent asked."""
        if name not in self.asks:
            return None
        ask, at = self.asks[name]
        kept, out = self.state.kept, self.state.kept.out.get(name)
        if out is None or not kept.known or confirmed < at or now - at >= self.pace.patience:
            return None
        number = kept.guess, out.number
        if out.boot != ask.boot or number <= ask.went:
            return None
        release = kept.releases.get(out.release)
        version = "" if release is None else release.before if release.state == GOING_BACK else release.version
        return Order(name, ask.boot, number, version, self.pace.patience)

    # What it does

    def set_leading(self, now: int, so: bool) -> None:
        """Whether this gateway leads: what was noted under an earlier lead is old."""
        if not so:
            self.leading_since = -1
        elif self.leading_since < 0:
            self.leading_since = now
            self.since, self.settling, self.comparison = {}, {}, None

    def entries_to_offer(
        self, now: int, places: Mapping[str, Place], bounds: Bounds, gone: Mapping[str, str], alive: Iterable[str]
    ) -> list[AnyEntry]:
        """The entries to offer now. `places`: who there is by settings and list; `gone`: who went unasked and how, by
        what liveness or the list says; `alive`: of those that went so, who is there and whole."""
        kept = self.state.kept
        if self.leading_since < 0:
            return []
        settled = self._settled(places, bounds, alive)
        if settled or not kept.known:
            return settled
        for out in kept.out.values():
            self.since.setdefault(out.number, now)
        wanted: list[AnyEntry] = [
            Went(name, why) for name, why in gone.items() if name in kept.places and name not in kept.out
        ]
        wanted += self._backs(alive)
        wanted += self._by_hand()
        if (release := self.state.active_release()) is not None:
            wanted += self._late(now, release)
            wanted += self._steps(now, release)
            wanted += self._compared(now, release)
        return wanted[:AT_ONCE]

    def recovery_entry(self, now: int, out: Iterable[tuple[str, str]], by: str) -> Recover | None:
        """An operator's word, once no answer that an agent may still obey can be on its way."""
        if self.leading_since < 0 or now - self.leading_since <= 2 * self.pace.patience:
            return None
        return Recover(tuple(out), by)

    def add_task_counts(
        self, now: int, new: Mapping[tuple[str, int], Seen], old: Mapping[tuple[str, int], Seen]
    ) -> None:
        """What new and old ones served in a stretch of time, by class and zone."""
        if self.comparison is not None:
            self.comparison[1].add(new, old)
            if any(key in old for key in new):
                self.paired = now

    # Within

    def _settled(self, places: Mapping[str, Place], bounds: Bounds, alive: Iterable[str]) -> list[AnyEntry]:
        kept, wanted = self.state.kept, list[AnyEntry]()
        if kept.bounds != bounds:
            wanted.append(Bounded(bounds))
        came = tuple(place for place in places.values() if kept.places.get(place.name) != place)[:MOST_PLACES]
        whole = {kept.places[name].shard for name in alive if name in kept.places}
        gone = tuple(
            name
            for name, place in kept.places.items()
            if name not in places
            and (name not in kept.out or place.shard in whole and self.state.has_replacement(name))
        )[:MOST_PLACES]
        if came or gone:
            wanted.append(There(came, gone))
        return wanted

    def _backs(self, alive: Iterable[str]) -> list[AnyEntry]:
        """Who is seen back and whole. Never because time has passed."""
        kept, found = self.state.kept, list[AnyEntry]()
        there = set(alive)
        for name, out in kept.out.items():
            ask = self.asks[name][0] if name in self.asks else None
            if ask is not None and ask.whole and ask.boot > out.boot:
                found.append(Back(name, ask.boot, out.number))
            elif out.boot == 0 and name in there:
                found.append(Back(name, 1, out.number))
        return found

    def _by_hand(self) -> list[AnyEntry]:
        kept = self.state.kept
        return [
            Leave(name, ask.boot, ask.wants, "its agent")
            for name, (ask, _) in self.asks.items()
            if ask.wants and name not in kept.out and not self.state.denial_reasons(name)
        ]

    def _late(self, now: int, release: Release) -> list[AnyEntry]:
        """Guards against a release that goes on though those it took out do not come back."""
        for name, out in self.state.kept.out.items():
            if (
                out.release == release.name
                and release.allows("halt")
                and now - self.since.get(out.number, now) > self.pace.back
            ):
                return [Move(release.name, "halt", f"{name} is not back in its time", "")]
        return []

    def _steps(self, now: int, release: Release) -> list[AnyEntry]:
        if release.state not in (WAITING, GOING, GOING_BACK):
            return []
        back = release.state == GOING_BACK
        for name in release.next_targets():
            asked = self.asks.get(name)
            if asked is None or now - asked[1] > self.pace.patience:
                continue  # its agent is not there: the others need not wait for it
            if not self.state.denial_reasons(name) or self.state.rolls_back_while_out(name, release):
                return [Leave(name, asked[0].boot, release.name, release.by, release.name, back)]
        return []

    def _compared(self, now: int, release: Release) -> list[AnyEntry]:
        """While a wave goes and settles, the new ones are compared with the old ones."""
        if release.state not in (GOING, WAITING, SETTLING) or not release.went:
            return []
        if self.comparison is None or self.comparison[0] != release.name:
            self.comparison = release.name, Comparison(self.terms, self.classes)
        comparison = self.comparison[1]
        if worse := comparison.worse():
            return [Move(release.name, "halt", f"the new ones serve {', '.join(sorted(worse))} worse", "")]
        if release.state != SETTLING:
            return []
        since = self.settling.setdefault((release.number, release.wave), now)
        # Where nobody is left to compare with, or nothing is asked, the time alone has to do.
        alone = now - self.paired >= self.pace.settles
        enough = alone or comparison.tests and comparison.harm_ruled_out()
        return [Move(release.name, "next", "", "")] if enough and now - since >= self.pace.settles else []


def make_plan(name: str, version: str, before: str, waves: Iterable[Iterable[str]], by: str) -> Plan:
    return Plan(name, version, before, tuple(tuple(wave) for wave in waves), by)
