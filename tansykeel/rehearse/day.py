"""A day as a script says it: fleet, plans, load and timed troubles. Knows no stage: sockets or simulated time.

Times are seconds from the day's start. A day may be played in another length than its script's: the times and
lengths of its load and troubles are scaled, what belongs to a machine (a pause, a stall, a warm-up) is not.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from tansykeel.settings.build import Script, record_of
from tansykeel.settings.records import (
    Above,
    CategoryOf,
    ColdOf,
    Count,
    Gateway,
    Index,
    Least0,
    ListOf,
    Name,
    Part,
    PeersOf,
    PlanOf,
    Record,
    RulesOf,
    Settings,
    SizesOf,
    VolumeOf,
)
from tansykeel.settings.script import ScriptError, Verb, run
from tansykeel.standin.model import Shape

Range = Annotated[tuple[float, float], Meta()]
Indices = tuple[Index, ...]


class Fleet(Record):
    edges: Count = 2
    stores: Count = 4
    zones: Count = 1
    shape: Shape = Shape()
    talk: bool = False  # gateways pass on units of limits
    agree: bool = False  # they also watch each other and agree on views; on sockets through the fault relay
    lease_ms: Annotated[float, Meta(ge=200, le=600_000)] = 4_000.0
    ping_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1_000.0
    list_mode: str = "push"
    list_late_s: Least0 = 0.3
    list_call_ms: Least0 = 1.0
    silent_s: Least0 = 0.8  # until the list notices a store that is gone
    drain_grace_ms: Above = 500.0
    way_ms: Least0 = 0.3  # one way within a zone, on the emulator; on sockets it is what the machine makes it
    cross_ms: Least0 = 1.0  # one way between zones

    def zone_of(self, index: int) -> int:
        """Stores lie in zones in blocks, by their index."""
        return index * self.zones // self.stores

    def edge_zones(self) -> list[int]:
        """Gateways lie in zones by turns."""
        return [index % self.zones for index in range(self.edges)]

    def late(self, troubles: tuple[Trouble, ...]) -> set[int]:
        """Gateways that are not there at the start."""
        return {index for trouble in troubles if trouble.verb == "late_edge" for index in trouble.detail["edges"]}


class Clients(Record):
    processes: Count = 1
    connections: Count = 2  # of each process to each edge
    patience: Part = 1.0  # a try is given up after this part of the category's cut-off
    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    honour: Part = 0.7  # part of the clients that wait as they are told
    backoff_ms: Least0 = 50.0


class Volumes(Record):
    """All volumes of one plan. `size`: rate of one against the others; reserve and limit are multiples of its rate."""

    plan: Name
    count: Count
    share: Above = 1.0
    reserve: Least0 = 0.0
    limit: Least0 = 0.0
    limit_burst_s: Above = 2.0
    weight: Above = 1.0
    price: Above = 1.0
    hosts: Annotated[int, Meta(ge=0)] = 0  # edges of a volume; 0: all
    stores: Annotated[int, Meta(ge=0)] = 0  # stores that its data lies on; 0: all
    busy: Part = 0.2  # part of the volumes that ask for up to three times the rate all day
    heavy: Part = 0.1  # part that surges


SIZES = {"1": 0.55, "2": 0.25, "4": 0.15, "8": 0.05}


class Load(Record):
    """`part`: of what all stores can do, asked in the mean without surges and troubles."""

    part: Above = 0.5
    surges: Least0 = 0.2  # all surges in the mean, part of capacity
    surge_every_s: Above = 12.0
    surge_s: Range = (3.0, 6.0)
    skew: Least0 = 1.0  # how unevenly a volume uses its edges
    shift_s: Above = 8.0  # how often the lead among them changes
    mix: dict[str, float] = {}
    sizes: dict[str, float] = msgspec.field(default_factory=SIZES.copy)  # units of a task: part
    run: Count = 3  # tasks in a row on one key, at most
    fresh: tuple[Name, ...] = ()  # categories that write new objects
    reread: Part = 0.3  # part of the reads that go to such
    share_worth: Part = 0.4
    spare_worth: Part = 0.1


class Trouble(Record):
    verb: str
    at: float
    for_s: float
    detail: dict[str, Any]
    line: str = ""


class Chaos(Record):
    """Troubles drawn from the seed: so many, each beginning within that time."""

    least: Count = 3
    most: Annotated[int, Meta(ge=1, le=50)] = 8
    after_s: Least0 = 2.0
    until_s: Above = 10.0


class Day(Record):
    name: Name
    says: str
    seconds: Above
    fleet: Fleet
    clients: Clients
    load: Load
    categories: tuple[CategoryOf, ...]
    volumes: tuple[Volumes, ...]
    sizes: SizesOf
    rules: RulesOf
    troubles: tuple[Trouble, ...]
    gateway: Gateway
    least_service: Part = 0.0  # good looks like this service, or better
    chaos: Chaos | None = None

    def capacity(self) -> float:
        """Units a second that all stores can do."""
        shape = self.fleet.shape
        return self.fleet.stores * shape.cores * shape.speed * 1000 / shape.unit_ms

    def scaled(self, seconds: float) -> Day:
        by = seconds / self.seconds
        troubles = tuple(msgspec.structs.replace(t, at=t.at * by, for_s=t.for_s * by) for t in self.troubles)
        load = msgspec.structs.replace(
            self.load, surge_every_s=self.load.surge_every_s * by, shift_s=self.load.shift_s * by,
            surge_s=(self.load.surge_s[0] * by, self.load.surge_s[1] * by))
        return msgspec.structs.replace(self, seconds=seconds, troubles=troubles, load=load)


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
        kept = {verb: base[verb] for verb in ("category", "sizes", "rules", "cold", "budget", "gateway")}
        return kept | {
            "day": self._day, "fleet": self._fleet, "clients": self._part("clients", Clients),
            "traffic": self._part("traffic", Load), "chaos": self._part("chaos", Chaos),
            "volumes": self._volumes, "param": self._param,
        } | {verb: self._trouble(verb) for verb in VERBS}

    def _param(self, name: str, usual: Any) -> Any:
        """A figure that `--set name=value` or a sweep may change."""
        self.asked.add(name)
        value = self.given.get(name, usual)
        if isinstance(usual, (int, float)) != isinstance(value, (int, float)):
            raise ValueError(f"param({name!r}): {value!r} is not legal; legal: a value like {usual!r}")
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
            raise ValueError(f"{error}" + (f", {', '.join(known)}" if "no field" in str(error) else "")) from None

    def _volumes(self, plan: str, **values: Any) -> None:
        self.volumes.append(record_of(Volumes, "volumes", {"plan": plan, **values}))

    def _trouble(self, verb: str) -> Verb:
        whom, figures = VERBS[verb]

        def call(**values: Any) -> None:
            legal = {"at", "for_s", *figures} | ({whom} if whom in ALL else set())
            for name in values:
                if name not in legal:
                    raise ValueError(f"{verb}: no field {name!r}; legal: {', '.join(sorted(legal))}")
            at, for_s = values.pop("at", None), values.pop("for_s", 1.0)
            if not isinstance(at, (int, float)) or at < 0:
                raise ValueError(f"{verb}.at: {at!r} is not legal; legal: seconds from the day's start")
            if not isinstance(for_s, (int, float)) or for_s <= 0:
                raise ValueError(f"{verb}.for_s: {for_s!r} is not legal; legal: seconds above 0")
            for name, usual in figures.items():
                if name not in values:
                    continue
                value = values[name]
                alike = all(isinstance(usual, kind) == isinstance(value, kind) for kind in (str, bool, (list, tuple)))
                if not alike or isinstance(value, (int, float)) and value < 0:
                    raise ValueError(f"{verb}.{name}: {value!r} is not legal; legal: a value like {usual!r}")
            detail = figures | values
            if whom in ALL:
                most = getattr(self.parts.get("fleet", Fleet()), whom)
                struck = detail.setdefault(whom, [0])
                for index in struck if isinstance(struck, list) else [struck]:
                    if not isinstance(index, int) or not 0 <= index < most:
                        raise ValueError(f"{verb}.{whom}: {index!r} does not exist; legal: 0 to {most - 1}")
            if whom is LINKS:
                self._link_fault(verb, detail)
            if verb == "plan_burst" and detail["plan"] not in (names := [v.plan for v in self.volumes]):
                raise ValueError(f"plan_burst.plan: {detail['plan']!r} is no plan; legal: {', '.join(names)}")
            self.troubles.append(Trouble(verb=verb, at=float(at), for_s=float(for_s), detail=detail))
        return call

    def _link_fault(self, verb: str, detail: dict[str, Any]) -> None:
        fleet: Fleet = self.parts.get("fleet", Fleet())
        if not fleet.agree:
            raise ValueError(f"{verb}: gateways that do not know each other have no links; legal: with "
                             "fleet(agree = True)")
        for pair in detail["pairs"]:
            good = isinstance(pair, (list, tuple)) and len(pair) == 2 and all(
                isinstance(n, int) and 0 <= n < fleet.edges for n in pair) and pair[0] != pair[1]
            if not good:
                raise ValueError(f"{verb}.pairs: {pair!r} is no pair; legal: two of 0 to {fleet.edges - 1}")
        for which in ("zone", "to_zone"):
            if detail[which] != -1 and detail[which] not in range(fleet.zones):
                raise ValueError(f"{verb}.{which}: {detail[which]!r} does not exist; legal: 0 to {fleet.zones - 1}")
        if (struck := bool(detail["pairs"]) + (detail["zone"] >= 0) + (detail["to_zone"] >= 0)) > 1:
            raise ValueError(f"{verb}: {struck} of pairs, zone and to_zone; legal: one of them, or none for all links")
        if detail.get("share", 0) > 1 or detail.get("bytes_s", 1) <= 0:
            raise ValueError(f"{verb}: legal: a share of 1 at most, bytes_s above 0")

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
                raise ScriptError(f"{where}: {trouble.verb}.at: {trouble.at:g} is past the day's end; "
                                  f"legal: under {head.seconds:g}")
        load: Load = self.parts["traffic"]
        names = [c.name for c in categories]
        for name in (*load.mix, *load.fresh):
            if name not in names:
                raise ScriptError(f"{where}: traffic: {name!r} is no category; legal: {', '.join(names)}")
        made = Day(
            name=head.name, says=head.says, seconds=head.seconds, least_service=head.least_service, fleet=fleet,
            clients=self.parts.get("clients", Clients()), load=load, categories=categories,
            volumes=tuple(self.volumes), sizes=self.base.single.get("sizes", SizesOf(largest=8.0, usual=1.8)),
            rules=self.base.single.get("rules", RulesOf()), troubles=tuple(sorted(self.troubles, key=lambda t: t.at)),
            gateway=self.base.single.get("gateway", Gateway(name="edge")), chaos=self.parts.get("chaos"))
        if made.chaos and not (made.chaos.least <= made.chaos.most and made.chaos.after_s <= made.chaos.until_s
                               < head.seconds and fleet.agree):
            raise ScriptError(f"{where}: chaos: legal: least up to most, after_s up to until_s, which is under "
                              f"{head.seconds:g}, with fleet(agree = True)")
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


def volume_names(of: Volumes) -> list[str]:
    return [f"{of.plan}-{number}" for number in range(of.count)]


def volume_rate(day: Day, of: Volumes) -> float:
    """Units a second that one volume of the plan is sized for."""
    return day.capacity() * day.load.part * of.share / sum(v.share for v in day.volumes) / of.count


def peers_of(day: Day, addresses: tuple[str, ...]) -> PeersOf | None:
    """What gateways that talk are told of each other; without addresses, names that no socket needs."""
    fleet = day.fleet
    if not (fleet.talk or fleet.agree) or fleet.edges < 2:
        return None
    return PeersOf(addresses=addresses or tuple(f"edge:{n + 1}" for n in range(fleet.edges)), agree=fleet.agree,
                   zones=tuple(fleet.edge_zones()), lease_ms=fleet.lease_ms, ping_ms=fleet.ping_ms)


def settings_of(day: Day, list_address: str, listen: str, addresses: tuple[str, ...] = ()) -> Settings:
    """The settings that the day's gateways are started with; rule figures follow the fleet's shape. `addresses`: where
    one that talks to others finds each, its own among them."""
    shape, fleet = day.fleet.shape, day.fleet
    rules = day.rules
    if rules.cold is None:
        full = shape.cores * shape.speed * 1000 / shape.unit_ms
        safe = shape.fall_multiple * shape.cold_share * full * shape.fall_s
        rules = msgspec.structs.replace(rules, cold=ColdOf(
            share=shape.cold_share, warm_s=shape.cold_s, multiple=shape.fall_multiple, span_s=shape.fall_s,
            always_safe=safe))
    plans, volumes = [], []
    for of in day.volumes:
        rate = volume_rate(day, of)
        hosts = min(of.hosts or fleet.edges, fleet.edges)
        limit = of.limit * rate
        depth = max(limit * of.limit_burst_s, 2 * day.sizes.largest * hosts) if limit else 0.0
        plans.append(PlanOf(name=of.plan, rate=rate, reserve=of.reserve * rate, weight=of.weight, price=of.price,
                            limit=limit, limit_depth=depth, limit_slack=0.1 * depth))
        volumes += [VolumeOf(name=name, plan=of.plan, gateways=hosts) for name in volume_names(of)]
    return Settings(
        gateway=msgspec.structs.replace(day.gateway, listen=listen), categories=day.categories, plans=tuple(plans),
        volumes=tuple(volumes), sizes=day.sizes, rules=rules,
        peers=peers_of(day, addresses),
        listing=ListOf(address=list_address, mode=fleet.list_mode,  # type: ignore[arg-type]
                       drain_grace_ms=fleet.drain_grace_ms))
