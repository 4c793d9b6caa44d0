"""The records that a settings script builds. Times are in the unit that a field's name ends with, sizes in bytes or
in units; rates are units a second over all gateways and stores together."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from tansykeel.errors import Problem

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Address = Annotated[str, Meta(pattern=r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$")]
Above = Annotated[float, Meta(gt=0)]
Least0 = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Index = Annotated[int, Meta(ge=0)]


class UnknownGateway(Problem, IndexError):
    """A gateway's number is beyond those of the regions in the settings."""

    advice = "start the gateway with a number of its region, or raise `gateways` of the region in the settings of all"


class Record(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all: fields by name only, nothing unknown."""


class Gateway(Record):
    """The edge program itself: where it listens and its bounds."""

    name: Name
    listen: Address = "127.0.0.1:0"
    zone: Index = 0
    unit_bytes: Count = 4096  # size of one unit: a task counts its size in these, rounded up
    body_memory: Count = 256 << 20  # bytes held for bodies of all connections together
    connection_memory: Count = 32 << 20  # bytes held for bodies of one connection
    largest_body: Count = 16 << 20
    open_tasks: Count = 20_000
    streams_per_connection: Count = 32
    connections_per_store: Count = 8
    connect_timeout_ms: Above = 250.0
    idle_close_s: Above = 15.0
    peer_stall_s: Above = 10.0  # a peer that takes none of what is sent to it for so long is dropped
    stop_within_s: Above = 10.0  # from SIGTERM to the exit
    stall_allowance_ms: Least0 = 0.0  # answers are due this long before a client's patience ends

    def named(self, number: int) -> str:
        """What the gateway of this number calls itself."""
        return f"{self.name}-{number}"


class CategoryOf(Record):
    name: Name
    soft_limit_ms: Above
    cut_off_ms: Above
    gain: Above = 1.0
    late_gain: Part = 0.0
    repeat: Literal["harmless", "stamped", "one-shot"] = "harmless"
    scope: Literal["all", "zone", "shard"] = "shard"  # stores that drop a repeat, for stamped categories
    window_ms: Least0 = 0.0  # how long they remember it
    writes: bool = False
    ordered: bool = False


class PlanOf(Record):
    name: Name
    rate: Above
    reserve: Least0 = 0.0
    weight: Above = 1.0
    price: Above = 1.0
    limit: Least0 = 0.0  # 0: none
    limit_depth: Least0 = 0.0
    limit_slack: Least0 = 0.0


class VolumeOf(Record):
    name: Name
    plan: Name
    gateways: Annotated[int, Meta(ge=0)] = 0  # through how many gateways its tasks come; 0: through all


class StoreOf(Record):
    """A store known before the list was heard. Without an address it is left to the list."""

    name: Name
    address: Address
    shard: Index
    zone: Index = 0


class ListOf(Record):
    address: Address
    mode: Literal["push", "ask"] = "push"
    ask_within_ms: Least0 = 10_000.0
    drain_grace_ms: Above = 500.0


class PeersOf(Record):
    """Where the gateways listen, by number: they pass on units of limits to each other.

    With `agree` they also watch each other and agree on who is there; `lease_ms` is how long a part of a whole is
    granted for, `ping_ms` how often one of the others is looked at, `drift` by how much any clock may be off.
    """

    addresses: Annotated[tuple[Address, ...], Meta(min_length=2, max_length=1_000)]
    connect_timeout_ms: Above = 250.0
    agree: bool = False
    zones: tuple[Index, ...] = ()  # by number; none: all in one
    weights: tuple[Count, ...] = ()  # by number; none: all alike
    lease_ms: Annotated[float, Meta(ge=200, le=600_000)] = 4_000.0
    ping_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01


class AccordOf(Record):
    """How many gateways and stores may be out at once, as parts of all of a kind, and how releases are watched; with
    `peers(agree = True)` only. `harm`: what a new version may not take of a category unseen."""

    share: Part = 0.2
    zone: Part = 0.34
    shard: Part = 0.5
    volume: Part = 0.5
    spare: Part = 0.1
    alone: bool = False  # whether a store that alone holds a shard may go
    patience_ms: Above = 1_000.0  # for which an answer to an agent counts
    back_s: Above = 60.0  # in which one that is out has to be back and whole
    settles_s: Above = 10.0  # that each wave is watched at least
    allowed: Part = 0.03
    harm: Part = 0.1
    alpha: Annotated[float, Meta(gt=0, le=0.5)] = 0.002  # chance that a comparison halts for nothing


class RegionOf(Record):
    """One region: its fixed part of every whole beside the safe part, and how many gateways it has.

    Gateways are numbered region by region, in the order in which the settings name the regions.
    """

    name: Name
    share: Annotated[float, Meta(gt=0, le=1)]
    gateways: Annotated[int, Meta(ge=1, le=10_000)]


class ControlNodeOf(Record):
    """One control node. The nodes of a region agree among themselves, so each region has an odd number of them."""

    name: Name
    region: Name
    address: Address
    zone: Index = 0


class ControlOf(Record):
    """The control plane: control nodes that hold the gateways' sessions and grant them leases on parts of every whole.

    `lease_ms` is how long the control nodes of a region grant each other leases on their agreed view, which bounds
    every lease of a gateway; `ping_ms` how often they look at each other; `drift` by how much any clock may be off.
    """

    cluster: Name  # control nodes and gateways of another cluster are rejected
    lease_ms: Annotated[float, Meta(ge=200, le=60_000)] = 3_000.0
    heartbeat_ms: Annotated[float, Meta(ge=50, le=20_000)] = 1_000.0
    ping_ms: Annotated[float, Meta(ge=50, le=10_000)] = 300.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    admissions_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 100.0  # new sessions that a control node accepts
    connect_timeout_ms: Above = 500.0


class SizesOf(Record):
    largest: Above = 16.0
    usual: Above = 2.0


class ColdOf(Record):
    share: Annotated[float, Meta(gt=0, le=1)]
    warm_s: Above
    multiple: Above
    span_s: Above
    always_safe: Least0


class BudgetOf(Record):
    span_ms: Above
    free: Least0
    share: Least0


class RulesOf(Record):
    hand_offs: Count = 3
    answer_grace_ms: Least0 = 50.0
    key_rest_ms: Least0 = 0.0
    come_back: bool = True
    longest_come_back_ms: Least0 = 1_000.0
    copies: bool = False
    cancel: bool = True
    tells: Literal["node", "fleet"] = "node"  # stores tell a volume's use through others, or of all in a period
    cold: ColdOf | None = None
    budget: BudgetOf | None = None


class Settings(Record):
    gateway: Gateway
    categories: tuple[CategoryOf, ...]
    plans: tuple[PlanOf, ...]
    volumes: tuple[VolumeOf, ...]
    stores: tuple[StoreOf, ...] = ()
    listing: ListOf | None = None
    peers: PeersOf | None = None
    accord: AccordOf | None = None
    control: ControlOf | None = None
    regions: tuple[RegionOf, ...] = ()
    control_nodes: tuple[ControlNodeOf, ...] = ()
    sizes: SizesOf = field(default_factory=SizesOf)
    rules: RulesOf = field(default_factory=RulesOf)

    def names(self) -> list[str]:
        """What the gateways that know of each other call themselves, by number."""
        return [self.gateway.named(number) for number in range(len(self.peers.addresses))] if self.peers else []

    def gateway_count(self) -> int:
        """Return how many gateways the settings name: in regions, else as peers, else this one alone."""
        if self.regions:
            return sum(region.gateways for region in self.regions)
        return len(self.peers.addresses) if self.peers else 1

    def region_of(self, number: int) -> RegionOf:
        """Return the region of the gateway of this number. Raises UnknownGateway for a number beyond the last."""
        first = 0
        for region in self.regions:
            if first <= number < first + region.gateways:
                return region
            first += region.gateways
        raise UnknownGateway(f"gateway number {number}: the regions have {first} gateways; legal: 0 to {first - 1}")

    def nodes_of(self, region: str) -> tuple[ControlNodeOf, ...]:
        """Return the control nodes of a region, in the order of the settings."""
        return tuple(node for node in self.control_nodes if node.region == region)

    def listens_at(self, number: int) -> str:
        """The address of the gateway of this number: with peers its own of those."""
        return self.peers.addresses[number] if self.peers else self.gateway.listen
