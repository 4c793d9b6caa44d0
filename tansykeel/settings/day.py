"""A rehearsed day as records: fleet, load, plans, troubles, and the settings that its gateways are started with.

Times are seconds from the day's start. A day may be played in another length than its script's: the times and
lengths of its load and troubles are scaled, what belongs to a machine (a pause, a stall, a warm-up) is not.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from tansykeel.settings.records import (
    Above,
    AccordOf,
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
from tansykeel.settings.shape import Shape

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
    patience: Part = 1.0  # a try is given up after this part of the category's deadline
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


class ReleaseOf(Record):
    """A release of gateways that an operator plans at a time: waves of their numbers, the first the canary. `version`:
    old (nothing changes), at-once (sends all at once) or crashes (ends as it starts). `ends`: what becomes of it."""

    at: Least0
    waves: tuple[tuple[Index, ...], ...]
    version: str = "old"
    ends: str = "done"


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
    accord: AccordOf | None = None
    release: ReleaseOf | None = None

    def capacity(self) -> float:
        """Units a second that all stores can do."""
        shape = self.fleet.shape
        return self.fleet.stores * shape.cores * shape.speed * 1000 / shape.unit_ms

    def scaled(self, seconds: float) -> Day:
        by = seconds / self.seconds
        troubles = tuple(msgspec.structs.replace(t, at=t.at * by, for_s=t.for_s * by) for t in self.troubles)
        load = msgspec.structs.replace(
            self.load,
            surge_every_s=self.load.surge_every_s * by,
            shift_s=self.load.shift_s * by,
            surge_s=(self.load.surge_s[0] * by, self.load.surge_s[1] * by),
        )
        return msgspec.structs.replace(self, seconds=seconds, troubles=troubles, load=load)


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
    return PeersOf(
        addresses=addresses or tuple(f"edge:{n + 1}" for n in range(fleet.edges)),
        agree=fleet.agree,
        zones=tuple(fleet.edge_zones()),
        lease_ms=fleet.lease_ms,
        ping_ms=fleet.ping_ms,
    )


def settings_of(day: Day, list_address: str, listen: str, addresses: tuple[str, ...] = ()) -> Settings:
    """The settings that the day's gateways are started with; rule figures follow the fleet's shape. `addresses`: where
    one that talks to others finds each, its own among them."""
    shape, fleet = day.fleet.shape, day.fleet
    rules = day.rules
    if rules.cold is None:
        full = shape.cores * shape.speed * 1000 / shape.unit_ms
        safe = shape.fall_multiple * shape.cold_share * full * shape.fall_s
        rules = msgspec.structs.replace(
            rules,
            cold=ColdOf(
                share=shape.cold_share,
                warm_s=shape.cold_s,
                multiple=shape.fall_multiple,
                span_s=shape.fall_s,
                always_safe=safe,
            ),
        )
    plans, volumes = [], []
    for of in day.volumes:
        rate = volume_rate(day, of)
        hosts = min(of.hosts or fleet.edges, fleet.edges)
        limit = of.limit * rate
        depth = max(limit * of.limit_burst_s, 2 * day.sizes.largest * hosts) if limit else 0.0
        plans.append(
            PlanOf(
                name=of.plan,
                rate=rate,
                reserve=of.reserve * rate,
                weight=of.weight,
                price=of.price,
                limit=limit,
                limit_depth=depth,
                limit_slack=0.1 * depth,
            )
        )
        volumes += [VolumeOf(name=name, plan=of.plan, gateways=hosts) for name in volume_names(of)]
    return Settings(
        gateway=msgspec.structs.replace(day.gateway, listen=listen),
        categories=day.categories,
        plans=tuple(plans),
        volumes=tuple(volumes),
        sizes=day.sizes,
        rules=rules,
        peers=peers_of(day, addresses),
        accord=day.accord,
        listing=ListOf(
            address=list_address,
            mode=fleet.list_mode,  # type: ignore[arg-type]
            drain_grace_ms=fleet.drain_grace_ms,
        ),
    )
