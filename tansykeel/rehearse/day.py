"""A day's script: the verbs that say fleet, plans, load, timed troubles. Knows no stage: sockets or simulated time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from tansykeel.settings.build import Script, record_of
from tansykeel.settings.day import Chaos, Clients, Day, Fleet, Load, ReleaseOf, Trouble, Volumes
from tansykeel.settings.records import Above, Gateway, Name, Part, Record, RulesOf, SizesOf
from tansykeel.settings.script import FieldError, ScriptError, Verb, run
from tansykeel.settings.shape import Shape

STORES, EDGES, LOAD, LIST, LINKS = "stores", "edges", "load", "list", "links"
# Between which gateways: pairs as they stand there, between a zone and the rest, into a zone; else between all.
WHICH: dict[str, Any] = {"pairs": [], "zone": -1, "to_zone": -1, "both": True}
# Each trouble: whom it strikes, and its figures with their defaults. `for_s` and `at` go with all of them.
VERBS: dict[str, tuple[str, dict[str, Any]]] = {
    "slow": (STORES, {"factor": 5.0}),
    "fast_errors": (STORES, {"share": 0.6}),
    "pauses": (STORES, {"pause_ms": 200.0, "every_s": 1.0}),
    "neighbour": (STORES, {"share": 0.5}),
    "stand": (STORES, {}),
    "full": (STORES, {}),
    "refuse": (STORES, {}),
    "reset": (STORES, {}),
    "silent": (STORES, {}),
    "cut": (STORES, {}),
    "report_late": (STORES, {"late_s": 2.0}),
    "heavy_tail": (STORES, {"factor": 10.0, "share": 0.02}),
    "drain": (STORES, {"die_after_s": 0.0}),
    "die": (STORES, {}),
    "restart": (STORES, {"down_s": 1.0, "within_s": 0.2}),
    "mass_restart": (STORES, {"down_s": 1.5, "within_s": 0.3}),
    "replace": (STORES, {"after_s": 1.0}),
    "preempt": (STORES, {"notice_s": 1.0, "after_s": 1.0, "waves": 2}),
    "stall": (EDGES, {"stall_ms": 1000.0, "every_s": 3.0}),
    "kill_edge": (EDGES, {"back_s": 2.0}),
    "restart_edge": (EDGES, {"down_s": 1.0}),
    "leave_edge": (EDGES, {}),
    "late_edge": (EDGES, {}),
    "link_cut": (LINKS, WHICH | {"keeps": True}),
    "link_delay": (LINKS, WHICH | {"ms": 100.0, "spread": 0.5}),
    "link_drop": (LINKS, WHICH | {"share": 0.1}),
    "link_repeat": (LINKS, WHICH | {"share": 0.1}),
    "link_reorder": (LINKS, WHICH | {"share": 0.1, "ms": 100.0}),
    "link_trickle": (LINKS, WHICH | {"bytes_s": 2000.0}),
    "link_half_open": (LINKS, WHICH),
    "list_late": (LIST, {"late_s": 3.0}),
    "list_gone": (LIST, {}),
    "burst": (LOAD, {"times": 2.0}),
    "plan_burst": (LOAD, {"plan": "", "times": 3.0}),
    "hot_key": (LOAD, {"volumes": 2, "share": 0.2}),
    "scan": (LOAD, {"volumes": 2, "share": 0.2}),
    "give_up": (LOAD, {"patience": 0.2}),
    "vanish": (LOAD, {"share": 0.1}),
}
VERSIONS, ENDS = ("old", "at-once", "crashes"), ("done", "given up", "")
ALL = {"stores": (), "edges": ()}


class DayScript:
    """Collects what the verbs of a day's script are called with. `given` are parameters set from outside."""

    def __init__(self, given: dict[str, Any]) -> None:
        self.base = Script()
        self.given, self.asked = given, set[str]()
        self.parts: dict[str, Any] = {}
        self.volumes: list[Volumes] = []
        self.troubles: list[Trouble] = []

    def verbs(self) -> dict[str, Verb]:
        base = self.base.verbs()
        kept = {verb: base[verb] for verb in ("category", "sizes", "rules", "cold", "budget", "gateway", "accord")}
        return (
            kept
            | {
                "day": self._day,
                "fleet": self._fleet,
                "clients": self._part("clients", Clients),
                "traffic": self._part("traffic", Load),
                "chaos": self._part("chaos", Chaos),
                "release": self._part("release", ReleaseOf),
                "volumes": self._volumes,
                "param": self._param,
            }
            | {verb: self._trouble(verb) for verb in VERBS}
        )

    def _param(self, name: str, usual: Any) -> Any:
        """A figure that `--set name=value` or a sweep may change."""
        self.asked.add(name)
        value = self.given.get(name, usual)
        if isinstance(usual, (int, float)) != isinstance(value, (int, float)):
            raise FieldError(f"param({name!r}): {value!r} is not legal; legal: a value like {usual!r}")
        return value

    def _day(self, name: str, **values: Any) -> None:
        self.parts["day"] = record_of(DayHead, "day", {"name": name, **values})

    def _part(self, verb: str, kind: Any) -> Verb:
        def call(**values: Any) -> None:
            self.parts[verb] = record_of(kind, verb, values)

        return call

    def _fleet(self, **values: Any) -> None:
        known = Shape.__struct_fields__
        shape = {name: values.pop(name) for name in list(values) if name in known}
        try:
            self.parts["fleet"] = record_of(Fleet, "fleet", values | {"shape": shape})
        except ValueError as error:
            raise FieldError(f"{error}" + (f", {', '.join(known)}" if "no field" in str(error) else "")) from None

    def _volumes(self, plan: str, **values: Any) -> None:
        self.volumes.append(record_of(Volumes, "volumes", {"plan": plan, **values}))

    def _trouble(self, verb: str) -> Verb:
        whom, figures = VERBS[verb]

        def call(**values: Any) -> None:
            legal = {"at", "for_s", *figures} | ({whom} if whom in ALL else set())
            for name in values:
                if name not in legal:
                    raise FieldError(f"{verb}: no field {name!r}; legal: {', '.join(sorted(legal))}")
            at, for_s = values.pop("at", None), values.pop("for_s", 1.0)
            if not isinstance(at, (int, float)) or at < 0:
                raise FieldError(f"{verb}.at: {at!r} is not legal; legal: seconds from the day's start")
            if not isinstance(for_s, (int, float)) or for_s <= 0:
                raise FieldError(f"{verb}.for_s: {for_s!r} is not legal; legal: seconds above 0")
            for name, usual in figures.items():
                if name not in values:
                    continue
                value = values[name]
                alike = all(isinstance(usual, kind) == isinstance(value, kind) for kind in (str, bool, (list, tuple)))
                if not alike or isinstance(value, (int, float)) and value < 0:
                    raise FieldError(f"{verb}.{name}: {value!r} is not legal; legal: a value like {usual!r}")
            detail = figures | values
            if whom in ALL:
                most = getattr(self.parts.get("fleet", Fleet()), whom)
                struck = detail.setdefault(whom, [0])
                for index in struck if isinstance(struck, list) else [struck]:
                    if not isinstance(index, int) or not 0 <= index < most:
                        raise FieldError(f"{verb}.{whom}: {index!r} does not exist; legal: 0 to {most - 1}")
            if whom is LINKS:
                self._link_fault(verb, detail)
            if verb == "plan_burst" and detail["plan"] not in (names := [v.plan for v in self.volumes]):
                raise FieldError(f"plan_burst.plan: {detail['plan']!r} is no plan; legal: {', '.join(names)}")
            self.troubles.append(Trouble(verb=verb, at=float(at), for_s=float(for_s), detail=detail))

        return call

    def _link_fault(self, verb: str, detail: dict[str, Any]) -> None:
        fleet: Fleet = self.parts.get("fleet", Fleet())
        if not fleet.agree:
            raise FieldError(
                f"{verb}: gateways that do not know each other have no links; legal: with fleet(agree = True)"
            )
        for pair in detail["pairs"]:
            good = (
                isinstance(pair, (list, tuple))
                and len(pair) == 2
                and all(isinstance(n, int) and 0 <= n < fleet.edges for n in pair)
                and pair[0] != pair[1]
            )
            if not good:
                raise FieldError(f"{verb}.pairs: {pair!r} is no pair; legal: two of 0 to {fleet.edges - 1}")
        for which in ("zone", "to_zone"):
            if detail[which] != -1 and detail[which] not in range(fleet.zones):
                raise FieldError(f"{verb}.{which}: {detail[which]!r} does not exist; legal: 0 to {fleet.zones - 1}")
        if (struck := bool(detail["pairs"]) + (detail["zone"] >= 0) + (detail["to_zone"] >= 0)) > 1:
            raise FieldError(f"{verb}: {struck} of pairs, zone and to_zone; legal: one of them, or none for all links")
        if detail.get("share", 0) > 1 or detail.get("bytes_s", 1) <= 0:
            raise FieldError(f"{verb}: legal: a share of 1 at most, bytes_s above 0")

    def day(self, where: str) -> Day:
        for verb in ("day", "traffic"):
            if verb not in self.parts:
                raise ScriptError(f"{where}: {verb} is missing; legal: one call of {verb}(...)")
        if not self.volumes:
            raise ScriptError(f"{where}: volumes: none; legal: one volumes(plan, ...) or more")
        if unknown := sorted(set(self.given) - self.asked):
            raise ScriptError(f"{where}: no param {unknown[0]!r}; legal: {', '.join(sorted(self.asked)) or 'none'}")
        head: DayHead = self.parts["day"]
        categories = tuple(self.base.many["category"].values())
        fleet: Fleet = self.parts.get("fleet", Fleet())
        for trouble in self.troubles:
            if trouble.at >= head.seconds:
                raise ScriptError(
                    f"{where}: {trouble.verb}.at: {trouble.at:g} is past the day's end; legal: under {head.seconds:g}"
                )
        load: Load = self.parts["traffic"]
        names = [c.name for c in categories]
        for name in (*load.mix, *load.fresh):
            if name not in names:
                raise ScriptError(f"{where}: traffic: {name!r} is no category; legal: {', '.join(names)}")
        made = Day(
            name=head.name,
            says=head.says,
            seconds=head.seconds,
            least_service=head.least_service,
            fleet=fleet,
            clients=self.parts.get("clients", Clients()),
            load=load,
            categories=categories,
            volumes=tuple(self.volumes),
            sizes=self.base.single.get("sizes", SizesOf(largest=8.0, usual=1.8)),
            rules=self.base.single.get("rules", RulesOf()),
            troubles=tuple(sorted(self.troubles, key=lambda t: t.at)),
            gateway=self.base.single.get("gateway", Gateway(name="edge")),
            chaos=self.parts.get("chaos"),
            accord=self.base.single.get("accord"),
            release=self.parts.get("release"),
        )
        if made.chaos and not (
            made.chaos.least <= made.chaos.most
            and made.chaos.after_s <= made.chaos.until_s < head.seconds
            and fleet.agree
        ):
            raise ScriptError(
                f"{where}: chaos: legal: least up to most, after_s up to until_s, which is under "
                f"{head.seconds:g}, with fleet(agree = True)"
            )
        if (release := made.release) is not None:
            numbers = [index for wave in release.waves for index in wave]
            if made.accord is None or not fleet.agree:
                raise ScriptError(
                    f"{where}: release: gateways that give no leave; legal: with accord(...) and fleet(agree = True)"
                )
            if not numbers or len(set(numbers)) < len(numbers) or max(numbers) >= fleet.edges or not all(release.waves):
                raise ScriptError(
                    f"{where}: release.waves: legal: each of 0 to {fleet.edges - 1} once at most, and no wave empty"
                )
            if release.version not in VERSIONS or release.ends not in ENDS:
                raise ScriptError(f"{where}: release: legal: version {', '.join(VERSIONS)}, ends {', '.join(ENDS)}")
        if not categories:
            raise ScriptError(f"{where}: category: none; legal: one category(name, ...) or more")
        return made


class DayHead(Record):
    name: Name
    seconds: Above = 30.0
    says: str = ""
    least_service: Part = 0.0


def load_day(path: Path, given: dict[str, Any] | None = None) -> Day:
    """The day of a script. Raises ScriptError."""
    collected = DayScript(given or {})
    run(path, collected.verbs())
    return collected.day(path.name)
