"""Types shared by the decision module and whatever feeds it. No decisions and no tuned values.

Every time is a whole number of tenths of a millisecond; sizes are units.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol


class RepeatSafety(Enum):
    IDEMPOTENT = "harmless"
    DEDUPLICATED = "stamped"
    AT_MOST_ONCE = "one-shot"


class DeduplicationScope(Enum):
    """Which stores drop a repeat of a stamped task."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class StoreState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Category:
    name: str
    soft_limit: int
    deadline: int
    gain: float
    late_gain: float
    repeat: RepeatSafety
    scope: DeduplicationScope
    window: int
    writes: bool
    ordered: bool
    stretch: float


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume of this plan is promised; rates in units a second over all gateways and stores."""

    name: str
    rate: float
    reserve: float
    weight: float
    price: float
    limit: float
    limit_depth: float
    limit_slack: float


@dataclass(frozen=True, slots=True)
class AllowedActions:
    hand_offs: int
    retry_after: bool
    longest_retry_after: int
    copies: bool
    cancel: bool
    probes: bool
    peers: bool = False  # gateways may send each other words


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """A store starts at `share` of its power, is warm after `warm_after`, falls at `multiple` over `span`."""

    share: float
    warm_after: int
    multiple: float
    span: int
    always_safe: float


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    span: int
    free: float
    share: float


@dataclass(frozen=True, slots=True)
class StoreListRule:
    """How the list of stores is followed."""

    must_poll: bool
    poll_within: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class TaskSizes:
    largest: float
    usual: float


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """What an instance is told at its start; each part of the module is handed only what it needs of it."""

    gateways: int
    gateway_index: int
    zone: int
    categories: tuple[Category, ...]
    plans: tuple[Plan, ...]
    sizes: TaskSizes
    allowed: AllowedActions
    listing: StoreListRule
    answer_grace: int
    slow_start: SlowStartRule | None
    retry_budget: RetryBudgetRule | None
    key_rest: int
    report_fields: tuple[str, ...]
    tells_elsewhere: bool = False


@dataclass(eq=False, slots=True)
class Store:
    """A store as the list tells of it. The same object stays for the same address while an instance runs."""

    handle: Any
    zone: int = 0
    kind: int = 0
    shard: int = -1
    state: StoreState = StoreState.GONE
    nominal: float = 1.0
    started: int = 0


@dataclass(eq=False, slots=True)
class Volume:
    handle: Any
    plan: Plan
    gateways: float = 0.0
    state: Any = None


@dataclass(eq=False, slots=True)
class Task:
    handle: Any
    category: Category
    volume: Volume
    units: float
    shard: int | None
    key: int
    arrived: int
    deadline: int
    resent: bool = False
    hand_offs: int = 0
    may_have_run: list[tuple[Store, int]] = field(default_factory=list)


class OutcomeKind(Enum):
    DELIVERED = "delivered"
    ERROR = "error"
    QUEUE_FULL = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_EXECUTED = "moot"


@dataclass(frozen=True, slots=True)
class Outcome:
    kind: OutcomeKind
    latency: int
    task_answered: bool
    plan_use_percent: int | None = None
    used_elsewhere: int | None = None  # None: answers do not tell it
    report: tuple[float, ...] = ()

    @property
    def never_ran(self) -> bool:
        return self.kind in (OutcomeKind.QUEUE_FULL, OutcomeKind.NO_CONNECTION, OutcomeKind.NOT_EXECUTED)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """One gateway to another: units of a volume's limit, asked for or given. It may be lost, never doubled. Without
    a volume it is a greeting at the start, answered (as a gift) with 1 by gateways that have run for long, else 0."""

    volume: Volume | None
    units: float
    is_grant: bool


class WakeReason(Enum):
    GRANTED = "turn"
    TIMER = "time"
    RECHECK = "moved"


@dataclass(frozen=True, slots=True)
class HandOff:
    """Send the task to a store; resumed with the Outcome. A time-out of 0 runs to the deadline."""

    store: Store
    timeout: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the task; resumed with a WakeReason, TIME at `until` unless woken before."""

    until: int


@dataclass(frozen=True, slots=True)
class Nack:
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class BreakOff:
    pass


TaskAction = HandOff | Wait | Nack | BreakOff


class ShareProvider(Protocol):
    """How this gateway's part of what all gateways divide stands to an even one."""

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        """What the time since then was worth in tenths of an even part, and how many even parts count now."""
        ...


class EvenShares:
    """Where nothing else is agreed."""

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        return now - since, 1.0


class Runtime(Protocol):
    """What the module can ask of the runner beside what tasks yield."""

    now: int
    shares: ShareProvider

    def wake(self, task: Task, signal: WakeReason) -> None: ...
    def call_at(self, at: int, call: Callable[[], None]) -> None: ...
    def request_store_list(self) -> None: ...
    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None: ...  # None: all other gateways
    def log(self, text: str) -> None: ...


class EffectHandler(Protocol):
    """What the runner needs of the outside."""

    def hand_off(self, task: Task, store: Store, timeout: int) -> None: ...
    def nack(self, task: Task, retry_after: int) -> None: ...
    def break_off(self, task: Task) -> None: ...
    def set_timer(self, at: int) -> None: ...
    def request_store_list(self) -> None: ...
    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None: ...
    def log(self, text: str) -> None: ...
