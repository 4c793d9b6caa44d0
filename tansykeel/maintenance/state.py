"""What the whole fleet holds true of who is out and of its releases: the ledger's entries, applied in order.

Every voter applies the same entries, so nothing here hangs on a clock, on chance or on what one gateway sees. An entry
that is not legal as of when it is decided changes nothing and leaves its reason. Without I/O.
"""

from __future__ import annotations

from copy import deepcopy

import msgspec
from msgspec import Struct

from tansykeel.maintenance.disruption_budget import Bounds, Place, violated_bounds
from tansykeel.maintenance.entries import (
    AnyEntry,
    Asked,
    Back,
    Bounded,
    Leave,
    Lost,
    Move,
    Plan,
    Recover,
    There,
    Went,
    decode_entry,
    encode_entry,
)
from tansykeel.maintenance.rollouts import FINISHED, GOING_BACK, LEADER_ACTIONS, PLANNED, SETTLING, Release

MOST_REFUSED = 64  # refusals that are kept, the newest
MOST_RELEASES = 32  # releases that are over and kept, the newest


class Out(Struct, frozen=True, array_like=True):
    """One counts as out from this entry on. `boot`: of the life that was given leave, 0 where it went unasked."""

    number: int
    boot: int
    why: str
    by: str
    release: str = ""


class Refused(Struct, frozen=True, array_like=True):
    number: int
    what: str
    why: tuple[str, ...]


class Kept(Struct):
    """All of the state, as it is snapshot."""

    known: bool = True
    places: dict[str, Place] = {}
    bounds: Bounds = Bounds()
    asked: dict[str, float] = {}
    out: dict[str, Out] = {}
    releases: dict[str, Release] = {}
    refused: list[Refused] = []
    guess: int = 0  # the view that made the state a guess


_KEPT = msgspec.msgpack.Decoder(Kept)


class State:
    """The ledger's machine."""

    def __init__(self, known: bool = False) -> None:
        """A fleet that never said what is out does not know it: `known` is for fleets that surely are new."""
        self.kept = Kept(known=known)

    # The ledger's side

    def apply(self, index: int, entry: bytes) -> None:
        self.apply_entry(index, decode_entry(entry))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.kept)

    def restore(self, data: bytes) -> None:
        self.kept = _KEPT.decode(data)

    def state_lost_entry(self, number: int) -> bytes:
        return encode_entry(Lost(number))

    def copy(self) -> State:
        made = State()
        made.kept = deepcopy(self.kept)
        return made

    # What is asked of it

    def denial_reasons(self, name: str) -> list[str]:
        """What speaks against one more going out now; nothing: it may."""
        kept = self.kept
        if not kept.known:
            return ["what is out is not known: accord recover"]
        if name not in kept.places:
            return [f"{name} is not known"]
        if name in kept.out:
            return [f"{name} is out already: {kept.out[name].why}"]
        place = kept.places[name]
        return violated_bounds(place, kept.places, kept.out, kept.bounds, kept.asked.get(place.kind, 0.0))

    def replaced(self, name: str) -> bool:
        """Whether another store that is there holds the shard of this one."""
        place = self.kept.places.get(name)
        return (
            place is not None
            and place.kind == "store"
            and any(
                other.shard == place.shard
                and other.name != name
                and other.kind == "store"
                and other.name not in self.kept.out
                for other in self.kept.places.values()
            )
        )

    def turns_back(self, name: str, release: Release) -> bool:
        """Whether it is out for this release, which goes back: it need not be whole with the new version first."""
        out = self.kept.out.get(name)
        return self.kept.known and release.state == GOING_BACK and out is not None and out.release == release.name

    def active_release(self) -> Release | None:
        """The release whose turn it is: one that goes back before any other, else the one that began."""
        open_ = [release for release in self.kept.releases.values() if release.state not in FINISHED]
        back = [release for release in open_ if release.state == GOING_BACK]
        begun = back or [release for release in open_ if release.state != PLANNED]
        return begun[0] if begun else None

    def apply_entry(self, index: int, entry: AnyEntry) -> None:
        kept = self.kept
        match entry:
            case There(places, gone):
                kept.places |= {place.name: place for place in places}
                for name in gone:
                    # Guards against room that opens because one that is out left the list for good: it stays out until
                    # it is seen back, or another store holds its shard, or an operator says that it never comes.
                    if name not in kept.out or self.replaced(name):
                        kept.places.pop(name, None)
                        kept.out.pop(name, None)
            case Bounded(bounds):
                kept.bounds = bounds
            case Asked(of_stores, of_gateways):
                kept.asked = {"store": of_stores, "gateway": of_gateways}
            case Leave():
                self._leave(index, entry)
            case Went(name, why):
                if name in kept.places and name not in kept.out:
                    kept.out[name] = Out(index, 0, why, "")
            case Back(name, boot, number):
                self._back(index, name, boot, number)
            case Plan():
                self._plan(index, entry)
            case Move(release, what, why, by):
                self._move(index, release, what, why, by)
            case Lost(view):
                kept.known, kept.guess = False, view
            case Recover(out, by):
                kept.known = True
                kept.out = {name: Out(index, 0, why, by) for name, why in out if name in kept.places}
                for one in kept.releases.values():
                    if one.allows("halt"):
                        one.transition("halt")
                        one.why = "the fleet's state was lost"

    # Within

    def _refuse(self, index: int, what: str, *why: str) -> None:
        self.kept.refused = [*self.kept.refused[-MOST_REFUSED + 1 :], Refused(index, what, why)]

    def _leave(self, index: int, leave: Leave) -> None:
        against, release = self.denial_reasons(leave.name), None
        if leave.release:
            release = self.kept.releases.get(leave.release)
            if release is not None and leave.back and self.turns_back(leave.name, release):
                against = []  # it takes no more room than it has
            if (
                release is None
                or release is not self.active_release()
                or leave.name not in release.next_targets()
                or leave.back is not (release.state == GOING_BACK)
            ):
                against.append(f"it is no step of {leave.release} now")
        if against:
            return self._refuse(index, f"leave for {leave.name}", *against)
        self.kept.out[leave.name] = Out(index, leave.boot, leave.why, leave.by, leave.release)
        if release:
            (release.returned if leave.back else release.went).append(leave.name)
            release.transition("out")

    def _back(self, index: int, name: str, boot: int, number: int) -> None:
        out = self.kept.out.get(name)
        if out is None or out.number != number or out.boot and out.boot == boot:
            return  # of an earlier leave, or not yet another life
        del self.kept.out[name]
        release = self.kept.releases.get(out.release)
        if release is not None and release.state not in FINISHED and self._rests(release):
            if release.state == GOING_BACK:
                self._end(release)
            elif release.allows("wave"):
                release.transition("wave")

    def _plan(self, index: int, plan: Plan) -> None:
        releases = self.kept.releases
        known = releases.get(plan.name)
        names = [name for wave in plan.waves for name in wave]
        if known and (known.version, known.waves) == (plan.version, plan.waves):
            return  # told twice
        faults = []
        if known:
            faults.append("a release has this name already")
        if not names or any(not wave for wave in plan.waves) or len(set(names)) < len(names):
            faults.append("legal: one wave or more, none empty, nobody twice")
        if strange := [name for name in names if name not in self.kept.places]:
            faults.append(f"{', '.join(strange[:5])}: not known")
        for other in releases.values():
            if other.state not in FINISHED and (both := {*names} & {name for wave in other.waves for name in wave}):
                faults.append(f"{other.name} has {min(both)} too and is not over")
        if faults:
            return self._refuse(index, f"release {plan.name}", *faults)
        over = [release.name for release in releases.values() if release.state in FINISHED]
        for name in over[:-MOST_RELEASES]:
            del releases[name]
        releases[plan.name] = Release(plan.name, plan.version, plan.before, plan.waves, plan.by, index)
        self._begin()

    def _move(self, index: int, name: str, what: str, why: str, by: str) -> None:
        release = self.kept.releases.get(name)
        if release is None or not release.allows(what) or what in LEADER_ACTIONS and by != "":
            return self._refuse(
                index, f"{what} {name}", "there is none" if release is None else f"it is {release.state}"
            )
        if what == "next" and release.is_last_wave:
            what = "end"
        elif what == "next":
            release.wave += 1
        release.transition(what)
        release.why = why
        if what == "resume" and self._rests(release):
            release.state = SETTLING  # it was halted while it was compared
        if what == "back" and self._rests(release):
            self._end(release)
        self._begin()

    def _rests(self, release: Release) -> bool:
        """Whether nobody is out for it, and nobody may go next."""
        return not release.next_targets() and all(out.release != release.name for out in self.kept.out.values())

    def _end(self, release: Release) -> None:
        release.transition("end")
        self._begin()

    def _begin(self) -> None:
        """The next planned release begins once no other is under way."""
        if self.active_release() is None:
            for release in self.kept.releases.values():
                if release.state == PLANNED:
                    return release.transition("begin")
