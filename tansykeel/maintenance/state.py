"""State machine of the maintenance log: what is out of service, and the releases.

Every voter applies the same entries in order, so nothing here depends on a clock, on chance or on what one gateway
observes. An entry that is not legal when it is committed changes nothing; refused permissions, plans and actions are
stored with the reasons. Without I/O.
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

MAX_REFUSALS = 64  # the latest refusals are kept
MAX_FINISHED_RELEASES = 32  # the latest finished releases are kept


class Out(Struct, frozen=True, array_like=True):
    """A gateway or store that counts as out of service since entry `number`.

    `boot`: the incarnation that was permitted to go out; 0 if it went unplanned. `release`: the one that took it out.
    """

    number: int
    boot: int
    why: str
    by: str
    release: str = ""


class Refused(Struct, frozen=True, array_like=True):
    """An entry that was refused: its index, what it asked for and the reasons."""

    number: int
    what: str
    why: tuple[str, ...]


class Kept(Struct):
    """The whole state, as it is stored in snapshots.

    `known`: whether it is known what is out of service; if not, nothing may go out until an operator has said so.
    `places`: all gateways and stores by name. `asked`: the load by kind, in units a second.
    """

    known: bool = True
    places: dict[str, Place] = {}
    bounds: Bounds = Bounds()
    asked: dict[str, float] = {}
    out: dict[str, Out] = {}
    releases: dict[str, Release] = {}
    refused: list[Refused] = []
    guess: int = 0  # the latest view that may have lost entries


_snapshot_decoder = msgspec.msgpack.Decoder(Kept)


class State:
    """The state machine that each voter runs on the replicated log."""

    def __init__(self, known: bool = False) -> None:
        """A new state does not know what is out of service; `known` is for fleets that are certainly new."""
        self.kept = Kept(known=known)

    # Interface to the replicated log

    def apply(self, index: int, entry: bytes) -> None:
        """Apply an encoded entry of the log."""
        self.apply_entry(index, decode_entry(entry))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode(self.kept)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.kept = _snapshot_decoder.decode(data)

    def state_lost_entry(self, number: int) -> bytes:
        """Return the entry that says that the state may be incomplete from view `number` on."""
        return encode_entry(Lost(number))

    def copy(self) -> State:
        """Return an independent copy."""
        made = State()
        made.kept = deepcopy(self.kept)
        return made

    # Queries

    def denial_reasons(self, name: str) -> list[str]:
        """Return the reasons why `name` may not go out of service now; empty if it may."""
        kept = self.kept
        if not kept.known:
            return ["what is out is not known: accord recover"]
        if name not in kept.places:
            return [f"{name} is not known"]
        if name in kept.out:
            return [f"{name} is out already: {kept.out[name].why}"]
        place = kept.places[name]
        return violated_bounds(place, kept.places, kept.out, kept.bounds, kept.asked.get(place.kind, 0.0))

    def has_replacement(self, name: str) -> bool:
        """Whether another store that is in service holds the shard of this one."""
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

    def rolls_back_while_out(self, name: str, release: Release) -> bool:
        """Whether `name` is out for this release, which is rolled back.

        It may then go back without having been ready with the new version, and takes no more of the budget.
        """
        out = self.kept.out.get(name)
        return self.kept.known and release.state == GOING_BACK and out is not None and out.release == release.name

    def active_release(self) -> Release | None:
        """Return the release whose turn it is: one that is rolled back before any other, else the one that began."""
        unfinished = [release for release in self.kept.releases.values() if release.state not in FINISHED]
        rolled_back = [release for release in unfinished if release.state == GOING_BACK]
        begun = rolled_back or [release for release in unfinished if release.state != PLANNED]
        return begun[0] if begun else None

    def apply_entry(self, index: int, entry: AnyEntry) -> None:
        """Apply the entry with this index in the log, or refuse it."""
        kept = self.kept
        match entry:
            case There(places, gone):
                kept.places |= {place.name: place for place in places}
                for name in gone:
                    # What is out and is removed from the list must not free budget by that. It stays out until it is
                    # seen back, another store holds its shard, or an operator says that it will never return.
                    if name not in kept.out or self.has_replacement(name):
                        kept.places.pop(name, None)
                        kept.out.pop(name, None)
            case Bounded(bounds):
                kept.bounds = bounds
            case Asked(of_stores, of_gateways):
                kept.asked = {"store": of_stores, "gateway": of_gateways}
            case Leave():
                self._permit(index, entry)
            case Went(name, why):
                if name in kept.places and name not in kept.out:
                    kept.out[name] = Out(index, 0, why, "")
            case Back(name, boot, number):
                self._return(index, name, boot, number)
            case Plan():
                self._add_release(index, entry)
            case Move(release, what, why, by):
                self._change_release(index, release, what, why, by)
            case Lost(view):
                kept.known, kept.guess = False, view
            case Recover(out, by):
                kept.known = True
                kept.out = {name: Out(index, 0, why, by) for name, why in out if name in kept.places}
                for each in kept.releases.values():
                    if each.allows("halt"):
                        each.transition("halt")
                        each.why = "the fleet's state was lost"

    # Implementation

    def _refuse(self, index: int, what: str, *why: str) -> None:
        """Store a refusal with its reasons."""
        self.kept.refused = [*self.kept.refused[-MAX_REFUSALS + 1 :], Refused(index, what, why)]

    def _permit(self, index: int, leave: Leave) -> None:
        """Take a gateway or store out of service, or refuse the permission."""
        reasons, release = self.denial_reasons(leave.name), None
        if leave.release:
            release = self.kept.releases.get(leave.release)
            if release is not None and leave.back and self.rolls_back_while_out(leave.name, release):
                reasons = []  # it is out already and takes no more of the budget
            if (
                release is None
                or release is not self.active_release()
                or leave.name not in release.next_targets()
                or leave.back is not (release.state == GOING_BACK)
            ):
                reasons.append(f"it is no step of {leave.release} now")
        if reasons:
            return self._refuse(index, f"leave for {leave.name}", *reasons)
        self.kept.out[leave.name] = Out(index, leave.boot, leave.why, leave.by, leave.release)
        if release:
            (release.returned if leave.back else release.went).append(leave.name)
            release.transition("out")

    def _return(self, index: int, name: str, boot: int, number: int) -> None:
        """Count `name` as back in service, and end the wave or the rollback if it was the last one out."""
        out = self.kept.out.get(name)
        if out is None or out.number != number or out.boot and out.boot == boot:
            return  # it refers to an earlier outage, or to the incarnation that has yet to go out
        del self.kept.out[name]
        release = self.kept.releases.get(out.release)
        if release is not None and release.state not in FINISHED and self._is_idle(release):
            if release.state == GOING_BACK:
                self._finish(release)
            elif release.allows("wave"):
                release.transition("wave")

    def _add_release(self, index: int, plan: Plan) -> None:
        """Add a planned release, or refuse it."""
        releases = self.kept.releases
        known = releases.get(plan.name)
        names = [name for wave in plan.waves for name in wave]
        if known and (known.version, known.waves) == (plan.version, plan.waves):
            return  # the same plan was offered twice
        faults = []
        if known:
            faults.append("a release has this name already")
        if not names or any(not wave for wave in plan.waves) or len(set(names)) < len(names):
            faults.append("legal: one wave or more, none empty, nobody twice")
        if unknown := [name for name in names if name not in self.kept.places]:
            faults.append(f"{', '.join(unknown[:5])}: not known")
        for other in releases.values():
            if other.state not in FINISHED and (shared := {*names} & {name for wave in other.waves for name in wave}):
                faults.append(f"{other.name} has {min(shared)} too and is not over")
        if faults:
            return self._refuse(index, f"release {plan.name}", *faults)
        finished = [release.name for release in releases.values() if release.state in FINISHED]
        for name in finished[:-MAX_FINISHED_RELEASES]:
            del releases[name]
        releases[plan.name] = Release(plan.name, plan.version, plan.before, plan.waves, plan.by, index)
        self._begin_next()

    def _change_release(self, index: int, name: str, action: str, why: str, by: str) -> None:
        """Take an action of the leader (`by` is empty) or of an operator on a release, or refuse it."""
        release = self.kept.releases.get(name)
        if release is None or not release.allows(action) or action in LEADER_ACTIONS and by != "":
            return self._refuse(
                index, f"{action} {name}", "there is none" if release is None else f"it is {release.state}"
            )
        if action == "next" and release.is_last_wave:
            action = "end"
        elif action == "next":
            release.wave += 1
        release.transition(action)
        release.why = why
        if action == "resume" and self._is_idle(release):
            release.state = SETTLING  # it was halted while the versions were compared
        if action == "back" and self._is_idle(release):
            self._finish(release)
        self._begin_next()

    def _is_idle(self, release: Release) -> bool:
        """Whether nothing is out for this release, and nothing may go out next."""
        return not release.next_targets() and all(out.release != release.name for out in self.kept.out.values())

    def _finish(self, release: Release) -> None:
        """Finish a release and begin the next one."""
        release.transition("end")
        self._begin_next()

    def _begin_next(self) -> None:
        """Begin the next planned release if no other is active."""
        if self.active_release() is None:
            for release in self.kept.releases.values():
                if release.state == PLANNED:
                    return release.transition("begin")
