"""Types shared by the scheduler and the code that drives it. No decisions and no tuned values.

Every time is a whole number of tenths of a millisecond; sizes are in units.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol


class RepeatSafety(Enum):
    """Whether a task may be executed more than once."""

    IDEMPOTENT = "harmless"  # any number of times
    DEDUPLICATED = "stamped"  # stores in `scope` drop a repeat that comes within `window`
    AT_MOST_ONCE = "one-shot"


class DeduplicationScope(Enum):
    """Which stores recognise and drop a repeat of a deduplicated task."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class StoreState(Enum):
    """A store's state in the list of stores."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Category:
    """A class of tasks: its latency objective, its value and whether its tasks may be repeated."""

    name: str
    soft_limit: int  # latency objective
    deadline: int  # the longest that a client waits
    gain: float  # value of an answer within the soft limit
    late_gain: float  # value of a later answer, as a fraction of `gain`
    repeat: RepeatSafety
    scope: DeduplicationScope
    window: int  # how long stores remember a deduplicated task
    writes: bool
    ordered: bool  # tasks with the same key are executed one at a time, in order of arrival
    stretch: float  # read from the settings, not used by the scheduler


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume of this plan is promised; rates in units a second over all gateways and stores."""

    name: str
    rate: float  # the rate that the volume is sized for
    reserve: float  # guaranteed rate
    weight: float
    price: float
    limit: float  # token bucket: fill rate, 0 for no limit
    limit_depth: float  # token bucket: capacity
    limit_slack: float  # how far the limit may be exceeded before it counts as broken


@dataclass(frozen=True, slots=True)
class AllowedActions:
    """What the deployment allows a gateway to do for a task."""

    hand_offs: int  # the most for one task
    retry_after: bool  # a nack may tell the client when to come back
    longest_retry_after: int
    copies: bool  # two hand-offs of one task may be out at the same time
    cancel: bool  # a hand-off may be cancelled
    probes: bool
    peers: bool = False  # gateways may send each other messages


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """How much a store that has just started may be sent.

    A cold store starts at `share` of its power and is warm after `warm_after`. It fails when it is sent `multiple`
    times its power over `span`.
    """

    share: float
    warm_after: int
    multiple: float
    span: int
    always_safe: float  # units in one span that a store bears right after its start


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """In any window of `span`, a gateway may make `free` retries and `share` of the tasks that it took."""

    span: int
    free: float
    share: float


@dataclass(frozen=True, slots=True)
class StoreListRule:
    """How the list of stores is followed."""

    must_poll: bool  # else the list is pushed
    poll_within: int
    drain_grace: int  # how long a store may still be sent to after it was reported as draining or gone


@dataclass(frozen=True, slots=True)
class TaskSizes:
    """Sizes of tasks in units."""

    largest: float
    usual: float


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """What a gateway's scheduler is configured with; each of its parts gets only what it needs of it."""

    gateways: int  # how many there are
    gateway_index: int  # this one's number, from 0
    zone: int
    categories: tuple[Category, ...]
    plans: tuple[Plan, ...]
    sizes: TaskSizes
    allowed: AllowedActions
    listing: StoreListRule
    answer_grace: int  # how long after its deadline a task's answer still counts as given in time
    slow_start: SlowStartRule | None
    retry_budget: RetryBudgetRule | None
    key_rest: int  # how long a key is not used after a hand-off that may still be executing
    report_fields: tuple[str, ...]  # names of the values in Outcome.report
    reports_use_elsewhere: bool = False  # answers carry Outcome.used_elsewhere


@dataclass(eq=False, slots=True)
class Store:
    """A store as the list describes it. An address keeps the same object for as long as the gateway runs."""

    handle: Any  # the caller's id for the store
    zone: int = 0
    kind: int = 0  # as listed; not used by the scheduler
    shard: int = -1  # whose data it holds
    state: StoreState = StoreState.GONE
    nominal: float = 1.0  # as listed; not used by the scheduler
    started: int = 0  # when it started, 0 if that is not known


@dataclass(eq=False, slots=True)
class Volume:
    """A volume and its plan: the tenant whose tasks share the stores with those of others."""

    handle: Any  # the caller's id for the volume
    plan: Plan
    gateways: float = 0.0  # how many gateways serve the volume; under 1 if that is not known
    state: Any = None  # the scheduler's own state of the volume


@dataclass(eq=False, slots=True)
class Task:
    """A request that the gateway has taken, and what became of its hand-offs so far."""

    handle: Any  # the caller's id for the task
    category: Category
    volume: Volume
    units: float
    shard: int | None  # None for a new object, which any store can take
    key: int  # 0 for none
    arrived: int
    deadline: int
    resent: bool = False  # the client sent it before
    hand_offs: int = 0
    may_have_run: list[tuple[Store, int]] = field(default_factory=list)  # store and time of such hand-offs


class OutcomeKind(Enum):
    """How a hand-off ended. The values are written on the wire and into logs."""

    DELIVERED = "delivered"
    ERROR = "error"
    QUEUE_FULL = "full"  # the store rejected it unexecuted
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"  # the connection broke after the hand-off was sent
    CANCELLED = "cancelled"
    NOT_EXECUTED = "moot"  # it ended before the store executed it, through no fault of the store


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of a hand-off, with what the store's answer says of its volume's use."""

    kind: OutcomeKind
    latency: int
    task_answered: bool  # the task has its final answer, nothing is left to do
    plan_use_percent: int | None = None  # the volume's use as a percentage of its plan's rate
    used_elsewhere: int | None = None  # units used through other gateways since the last answer; None: not reported
    report: tuple[float, ...] = ()

    @property
    def never_ran(self) -> bool:
        """Whether the store surely did not execute the task."""
        return self.kind in (OutcomeKind.QUEUE_FULL, OutcomeKind.NO_CONNECTION, OutcomeKind.NOT_EXECUTED)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message to another gateway that asks for units of a volume's limit or grants some.

    It may be lost but is never duplicated. Without a volume it is the greeting of a gateway that has just started;
    the reply to it is a grant of 1 unit from a gateway that has been up for long, else of 0.
    """

    volume: Volume | None
    units: float
    is_grant: bool


class WakeReason(Enum):
    """Why a waiting task is resumed."""

    GRANTED = "turn"  # its store's scheduler lets it be handed off now
    TIMER = "time"  # the time given in Wait has come
    RECHECK = "moved"  # what it waits for has changed: its store, its key or its volume's limit


@dataclass(frozen=True, slots=True)
class HandOff:
    """Send the task to a store; resumed with the Outcome. A timeout of 0 lasts until the deadline."""

    store: Store
    timeout: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the task; resumed with a WakeReason, with TIMER at `until` unless woken before."""

    until: int


@dataclass(frozen=True, slots=True)
class Nack:
    """Answer that the task was not executed, or that a repeat of it does no harm."""

    retry_after: int = 0  # when the client should try again, 0: not said


@dataclass(frozen=True, slots=True)
class BreakOff:
    """Answer that the task was given up and may have been executed."""


TaskAction = HandOff | Wait | Nack | BreakOff


class ShareProvider(Protocol):
    """This gateway's share of what all gateways divide among themselves, relative to an even share."""

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        """The time since then weighted by the share, in tenths at an even share; and the share that holds now.

        Both are relative: 1.0 is an even share.
        """
        ...


class EvenShares:
    """The shares of gateways that have not agreed on any other."""

    def accrued(self, since: int, now: int) -> tuple[float, float]:
        """The time since then, and one even share."""
        return now - since, 1.0


class Runtime(Protocol):
    """What a scheduler can ask of the runner beside the actions that its tasks yield."""

    now: int
    shares: ShareProvider

    def wake(self, task: Task, reason: WakeReason) -> None:
        """Resume a waiting task after the current one has yielded."""
        ...

    def call_at(self, at: int, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        ...

    def request_store_list(self) -> None:
        """Ask for the list of stores, or subscribe to it."""
        ...

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway; None: to all others."""
        ...

    def log(self, text: str) -> None:
        """Write a line to the gateway's log."""
        ...


class EffectHandler(Protocol):
    """Carries out what the runner does not do itself: I/O and timers."""

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        """Send a task to a store; its outcome is told to the runner."""
        ...

    def nack(self, task: Task, retry_after: int) -> None:
        """Answer a task with a nack."""
        ...

    def break_off(self, task: Task) -> None:
        """Answer a task with a break-off."""
        ...

    def set_timer(self, at: int) -> None:
        """Call the runner's `timer_fired` at a time."""
        ...

    def request_store_list(self) -> None:
        """Ask for the list of stores, or subscribe to it."""
        ...

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another gateway; None: to all others."""
        ...

    def log(self, text: str) -> None:
        """Write a line to the gateway's log."""
        ...
