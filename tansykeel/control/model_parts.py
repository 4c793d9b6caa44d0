"""What the search of `model_checker.py` is made of: control nodes, gateways and connections that can be copied.

The decisions are those of the real node, agreement, log and session client. Left out are the failure detector, for any
node may propose any view at any time, and chance.
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
TICK = 10_000  # by a clock that runs as time does
REGION_UNITS = 12
REGION = "r"
CLUSTER = "c"


class NoDetector:
    """In place of a failure detector: nobody is looked at."""

    others: Mapping[str, Any] = {}
    leaving = False

    def observe_incarnation(self, now: int, name: str, incarnation: int) -> None:
        """Take no notice of a message."""

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Tell nobody."""
        return []


class ModelMember(ClusterMember):
    """A cluster member that does what it does by itself only where the search says so."""

    log_class: type[ReplicatedLog] = ReplicatedLog

    def __init__(
        self,
        name: str,
        places: Mapping[str, Placement],
        life: int,
        pace: DetectorConfig,
        terms: LeaseTerms,
        chance: Random,
        now: int,
        machine: StateMachine | None = None,
    ) -> None:
        super().__init__(name, places, life, pace, terms, chance, now, machine)
        assert machine is not None
        self.failure_detector = cast(FailureDetector, NoDetector())
        self.replicated_log = self.log_class(self.me, machine, terms.lease, now)

    @property
    def log(self) -> ReplicatedLog:
        """Return the node's replicated log."""
        assert self.replicated_log is not None
        return self.replicated_log

    def due(self) -> int:
        """Return when `tick` is due: never, for the search says when it renews."""
        return NEVER_DUE

    def renew(self, now: int) -> list[OutgoingMessage]:
        """Ask for leases anew; as a leader, tell the log again."""
        sent: list[OutgoingMessage] = list(self.agreement.renew(now))
        if self.log.leader_state is not None:
            sent += self.log.tick(now, 0)
        self._sync_log(now)
        return sent

    def lead(self, now: int) -> list[OutgoingMessage]:
        """Try to lead the log."""
        return list(self.log.start_election(now))

    def propose(self, now: int, members: Iterable[Member]) -> list[OutgoingMessage]:
        """Propose the members of the next view."""
        sent: list[OutgoingMessage] = list(self.agreement.propose(now, members))
        self._sync_log(now)
        return sent

    def form(self, now: int, members: Iterable[Member], stamp: int, without: tuple[str, ...]) -> list[OutgoingMessage]:
        """Ask all to take up a view that is formed anew."""
        sent: list[OutgoingMessage] = list(self.agreement.form(now, members, stamp, without))
        self._sync_log(now)
        return sent

    def copy(self) -> ModelMember:
        """Return one that goes its own way from here on."""
        made = copy(self)
        made.agreement = self.agreement.copy()
        made.replicated_log = self.log.copy()
        made.last_told = dict(self.last_told)
        return made

    def key(self) -> tuple[object, ...]:
        """Return all that decides what it will do."""
        return (
            self.agreement.key(),
            self.log.key(),
            self.log.leader,
            self.forward_index,
            frozenset(self.last_told.items()),
        )

    def _record_part(self, now: int) -> None:
        """Keep no account of parts: control nodes have none."""


class ModelNode(ControlNode):
    """A control node that can be copied."""

    member_class = ModelMember
    member: ModelMember
    known_key: tuple[object, ...] | None = None  # a node moves only right after it was copied

    def copy(self) -> ModelNode:
        """Return one that goes its own way from here on."""
        made = copy(self)
        made.known_key = None
        made.member = self.member.copy()
        made.state = cast(BudgetState, made.member.log.machine)
        made.budget = self.budget.copy(made.member, made.state)
        made.table = self.table.copy()
        made.admission = copy(self.admission)
        return made

    def act(self, now: int, sent: list[OutgoingMessage]) -> list[Any]:
        """Go on after something that the member did."""
        return self._settle(now, sent)

    def answers_for(self, now: int) -> int:
        """Return what is outstanding, and change nothing: states of the search share a node that did not move."""
        holders = self.table._holders.values()
        return sum(max((one.units for one in holder.grants if one.until > now), default=0) for holder in holders)

    def key(self) -> tuple[object, ...]:
        """Return all that decides what it will do."""
        if self.known_key is None:
            parts = frozen(self.budget, ("member", "state", "view")), frozen(self.table), frozen(self.state.records)
            self.known_key = self.member.key(), self._leased_at, self._next_sweep, self.leaving, *parts
        return self.known_key


class Middle(Random):
    """Chance that always draws the middle: one gateway's jitter is not what the search is about."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


MIDDLE = Middle()


@dataclass(frozen=True, slots=True)
class ModelGateway:
    """One start of a gateway: its session client, and what it counts by as of the last renewal it received."""

    client: SessionClient
    incarnation: int
    wants: tuple[str, ...] = ()  # nodes that it asked to be connected to
    counted: GrantName | None = None
    known_keys: list[object] = field(default_factory=list, compare=False)  # one at most: of the client as it is

    def copied(self) -> ModelGateway:
        """Return one whose client goes its own way from here on."""
        shared = {
            id(MIDDLE): MIDDLE,
            id(self.client.terms): self.client.terms,
            id(self.client.order): self.client.order,
        }
        return replace(self, client=deepcopy(self.client, shared), known_keys=[])

    def key(self) -> tuple[object, ...]:
        """Return all that decides what it will do."""
        if not self.known_keys:
            self.known_keys.append(frozen(self.client, ("_held", "_chance", "order", "terms")))
        return self.incarnation, self.wants, self.counted, self.client._held._lease, self.known_keys[0]


@dataclass(frozen=True, slots=True)
class GrantName:
    """Which lease it is, of which start of a node."""

    node: str
    incarnation: int
    session: int
    lease: int


@dataclass(frozen=True, slots=True)
class GrantMade:
    """A lease as the node told it. `view`: of the node when it was granted; `over_at`: by the gateway's clock."""

    units: int
    over_at: int
    view: int


@dataclass(frozen=True, slots=True)
class Connection:
    """One connection of a gateway to a control node: what is on its way arrives in order, or never."""

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
        """Return the connection once the node's end is closed."""
        return replace(self, node_open=False, to_node=())

    def closed_at_gateway(self) -> Connection:
        """Return the connection once the gateway's end is closed."""
        return replace(self, gateway_open=False, to_gateway=())


@dataclass(frozen=True)
class ModelConfig:
    """How nodes and gateways are made."""

    gateways: tuple[str, ...] = ("g", "k")
    drift: float = 0.0
    node_class: type[ModelNode] = ModelNode
    leases: LeaseTerms = field(init=False)
    sessions: SessionTerms = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "leases", LeaseTerms(LEASE, self.drift))
        object.__setattr__(self, "sessions", SessionTerms(LEASE, LEASE // 4, self.drift, 10_000.0))

    def node(self, member: Member, names: tuple[str, ...], now: int) -> ModelNode:
        """Return a control node that starts."""
        places = {name: Placement() for name in names}
        return self.node_class(
            cluster=CLUSTER,
            region=REGION,
            region_units=REGION_UNITS,
            name=member.name,
            incarnation=member.incarnation,
            nodes=places,
            gateways=frozenset(self.gateways),
            pace=DetectorConfig(),
            terms=self.leases,
            session_terms=self.sessions,
            chance=MIDDLE,
            now=now,
        )

    def gateway(self, name: str, incarnation: int, nodes: tuple[str, ...], now: int) -> ModelGateway:
        """Return a gateway that starts."""
        count = len(self.gateways)
        client = SessionClient(CLUSTER, REGION, name, count, nodes, self.sessions, MIDDLE, now)
        return ModelGateway(client, incarnation)


def frozen(value: object, without: tuple[str, ...] = ()) -> object:
    """Return what an object holds as something that can be hashed and compared."""
    if isinstance(value, dict):
        return frozenset((frozen(key), frozen(held)) for key, held in value.items())
    if isinstance(value, set | frozenset):
        return frozenset(frozen(held) for held in value)
    if isinstance(value, (list, tuple)) or type(value).__name__ == "deque":
        return tuple(frozen(held) for held in cast("Iterable[object]", value))
    names = getattr(value, "__struct_fields__", None) or getattr(type(value), "__slots__", None)
    if not names and hasattr(value, "__dict__") and not isinstance(value, type):
        names = tuple(vars(value))
    if not names or isinstance(value, (str, int, float)):
        return value
    return tuple(frozen(getattr(value, name)) for name in names if name not in without)
