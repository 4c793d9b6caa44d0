"""Parts of the states that `model_checker.py` explores: control nodes, gateways and connections that can be copied.

They use the real node, agreement, log and session client. The failure detector is left out, because in the model any
node may propose any view at any time, and random numbers are replaced by a constant.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy, deepcopy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, cast

from tansykeel.cluster.failure_detector import DetectorConfig, FailureDetector
from tansykeel.cluster.member import ClusterMember, OutgoingMessage, Placement
from tansykeel.cluster.membership import Member
from tansykeel.cluster.replicated_log import ReplicatedLog, StateMachine
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.control.actions import SessionTerms
from tansykeel.control.budget_state import BudgetState
from tansykeel.control.node import ControlNode
from tansykeel.control.session_client import SessionClient
from tansykeel.protocol.frames import Fields

NEVER_DUE = 1 << 62
LEASE = 20_000  # tenths of a millisecond: two ticks
TICK = 10_000  # tenths of a millisecond in a tick, by an exact clock
REGION_UNITS = 12
REGION = "r"
CLUSTER = "c"


class NullFailureDetector:
    """Stands in for a failure detector and monitors no member."""

    others: Mapping[str, Any] = {}
    leaving = False

    def observe_incarnation(self, now: int, name: str, incarnation: int) -> None:
        """Do nothing."""

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Announce the departure to no member."""
        return []


class ModelMember(ClusterMember):
    """A cluster member whose periodic work is done only as events of the search."""

    log_class: type[ReplicatedLog] = ReplicatedLog

    def __init__(
        self,
        name: str,
        placements: Mapping[str, Placement],
        incarnation: int,
        detector_config: DetectorConfig,
        terms: LeaseTerms,
        rng: Random,
        now: int,
        machine: StateMachine | None = None,
    ) -> None:
        super().__init__(name, placements, incarnation, detector_config, terms, rng, now, machine)
        assert machine is not None
        self.failure_detector = cast(FailureDetector, NullFailureDetector())
        self.replicated_log = self.log_class(self.me, machine, terms.lease, now)

    @property
    def log(self) -> ReplicatedLog:
        """Return the node's replicated log."""
        assert self.replicated_log is not None
        return self.replicated_log

    def due(self) -> int:
        """Return when `tick` is due: never, because renewals are events of the search."""
        return NEVER_DUE

    def renew(self, now: int) -> list[OutgoingMessage]:
        """Request new leases; as leader of the log, also send its state to the followers again."""
        sent: list[OutgoingMessage] = list(self.agreement.renew(now))
        if self.log.leader_state is not None:
            sent += self.log.tick(now, 0)
        self._sync_log(now)
        return sent

    def lead(self, now: int) -> list[OutgoingMessage]:
        """Start an election for the leadership of the log."""
        return list(self.log.start_election(now))

    def propose(self, now: int, members: Iterable[Member]) -> list[OutgoingMessage]:
        """Propose the members of the next view."""
        sent: list[OutgoingMessage] = list(self.agreement.propose(now, members))
        self._sync_log(now)
        return sent

    def form(
        self, now: int, members: Iterable[Member], wall_ms: int, without: tuple[str, ...]
    ) -> list[OutgoingMessage]:
        """Form a view without a predecessor and ask its members to adopt it."""
        sent: list[OutgoingMessage] = list(self.agreement.form(now, members, wall_ms, without))
        self._sync_log(now)
        return sent

    def copy(self) -> ModelMember:
        """Return an independent copy."""
        made = copy(self)
        made.agreement = self.agreement.copy()
        made.replicated_log = self.log.copy()
        made.last_told = dict(self.last_told)
        return made

    def key(self) -> tuple[object, ...]:
        """Return everything that determines the member's future behaviour."""
        return (
            self.agreement.key(),
            self.log.key(),
            self.log.leader,
            self.forward_index,
            frozenset(self.last_told.items()),
        )

    def _record_part(self, now: int) -> None:
        """Record nothing: control nodes do not use parts."""


class ModelNode(ControlNode):
    """A control node that can be copied."""

    member_class = ModelMember
    member: ModelMember
    cached_key: tuple[object, ...] | None = None  # valid because a node changes only right after it was copied

    def copy(self) -> ModelNode:
        """Return an independent copy."""
        made = copy(self)
        made.cached_key = None
        made.member = self.member.copy()
        made.state = cast(BudgetState, made.member.log.machine)
        made.budget = self.budget.copy(made.member, made.state)
        made.table = self.table.copy()
        made.admission = copy(self.admission)
        return made

    def act(self, now: int, sent: list[OutgoingMessage]) -> list[Any]:
        """Let the node react to what its member did, which sent these messages."""
        return self._update_budget(now, sent)

    def outstanding_units(self, now: int) -> int:
        """Return the outstanding units without changing the node, which other states of the search may share."""
        holders = self.table._holders.values()
        return sum(max((grant.units for grant in holder.grants if grant.until > now), default=0) for holder in holders)

    def key(self) -> tuple[object, ...]:
        """Return everything that determines the node's future behaviour."""
        if self.cached_key is None:
            parts = (
                hashable_state(self.budget, ("member", "state", "view")),
                hashable_state(self.table),
                hashable_state(self.state.records),
            )
            self.cached_key = self.member.key(), self._last_leased_at, self._next_sweep, self.leaving, *parts
        return self.cached_key


class FixedRandom(Random):
    """A random source that always returns one half, because the search does not cover the gateways' jitter."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


FIXED_RANDOM = FixedRandom()


@dataclass(frozen=True, slots=True)
class ModelGateway:
    """One incarnation of a gateway: its session client, and the grant of the last renewal that it counts by."""

    client: SessionClient
    incarnation: int
    pending: tuple[str, ...] = ()  # nodes it asked to connect to, without a result so far
    counted: GrantId | None = None
    cached_keys: list[object] = field(default_factory=list, compare=False)  # empty, or the key of the client

    def copy(self) -> ModelGateway:
        """Return a copy with an independent client; what never changes is shared."""
        shared = {
            id(FIXED_RANDOM): FIXED_RANDOM,
            id(self.client.terms): self.client.terms,
            id(self.client.order): self.client.order,
        }
        return replace(self, client=deepcopy(self.client, shared), cached_keys=[])

    def key(self) -> tuple[object, ...]:
        """Return everything that determines the gateway's future behaviour."""
        if not self.cached_keys:
            self.cached_keys.append(hashable_state(self.client, ("_held", "_chance", "order", "terms")))
        return self.incarnation, self.pending, self.counted, self.client._held._lease, self.cached_keys[0]


@dataclass(frozen=True, slots=True)
class GrantId:
    """Identifies a grant: the node with its incarnation, the session and the number of the lease."""

    node: str
    incarnation: int
    session: int
    lease: int


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """A lease as the node sent it.

    `expires_at` is by the gateway's clock; `view` is the number of the node's view when it granted the lease.
    """

    units: int
    expires_at: int
    view: int


@dataclass(frozen=True, slots=True)
class Connection:
    """A connection of a gateway to a control node: records in transit arrive in order, or never."""

    number: int
    gateway: str
    gateway_incarnation: int
    node: str
    node_incarnation: int
    to_node: tuple[Fields, ...] = ()
    to_gateway: tuple[Fields, ...] = ()
    node_open: bool = True
    gateway_open: bool = True

    def closed_at_node(self) -> Connection:
        """Return the connection with the node's end closed."""
        return replace(self, node_open=False, to_node=())

    def closed_at_gateway(self) -> Connection:
        """Return the connection with the gateway's end closed."""
        return replace(self, gateway_open=False, to_gateway=())


@dataclass(frozen=True)
class ModelConfig:
    """Configures the nodes and gateways of the model, and creates them."""

    gateways: tuple[str, ...] = ("g", "k")
    drift: float = 0.0
    node_class: type[ModelNode] = ModelNode
    leases: LeaseTerms = field(init=False)
    sessions: SessionTerms = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "leases", LeaseTerms(LEASE, self.drift))
        object.__setattr__(self, "sessions", SessionTerms(LEASE, LEASE // 4, self.drift, 10_000.0))

    def node(self, member: Member, names: tuple[str, ...], now: int) -> ModelNode:
        """Create a control node that has just started."""
        placements = {name: Placement() for name in names}
        return self.node_class(
            cluster=CLUSTER,
            region=REGION,
            region_units=REGION_UNITS,
            name=member.name,
            incarnation=member.incarnation,
            placements=placements,
            gateways=frozenset(self.gateways),
            detector_config=DetectorConfig(),
            terms=self.leases,
            session_terms=self.sessions,
            rng=FIXED_RANDOM,
            now=now,
        )

    def gateway(self, name: str, incarnation: int, nodes: tuple[str, ...], now: int) -> ModelGateway:
        """Create a gateway that has just started."""
        count = len(self.gateways)
        client = SessionClient(CLUSTER, REGION, name, count, nodes, self.sessions, FIXED_RANDOM, now)
        return ModelGateway(client, incarnation)


def hashable_state(value: object, exclude: tuple[str, ...] = ()) -> object:
    """Convert an object's state, except for the attributes named in `exclude`, to hashable values."""
    if isinstance(value, dict):
        return frozenset((hashable_state(key), hashable_state(item)) for key, item in value.items())
    if isinstance(value, set | frozenset):
        return frozenset(hashable_state(item) for item in value)
    if isinstance(value, (list, tuple)) or type(value).__name__ == "deque":
        return tuple(hashable_state(item) for item in cast("Iterable[object]", value))
    names = getattr(value, "__struct_fields__", None) or getattr(type(value), "__slots__", None)
    if not names and hasattr(value, "__dict__") and not isinstance(value, type):
        names = tuple(vars(value))
    if not names or isinstance(value, (str, int, float)):
        return value
    return tuple(hashable_state(getattr(value, name)) for name in names if name not in exclude)
