"""Builds what a scheduler test needs: a configuration, a recording runtime, stores, tasks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tansykeel.brain import Scheduler
from tansykeel.interface import (
    AllowedActions,
    Category,
    DeduplicationScope,
    EvenShares,
    Outcome,
    OutcomeKind,
    PeerMessage,
    Plan,
    RepeatSafety,
    SchedulerConfig,
    Store,
    StoreListRule,
    StoreState,
    Task,
    TaskSizes,
    Volume,
    Wait,
    WakeReason,
)

IDEMPOTENT = Category(
    "read", 2_500, 10_000, 1.0, 0.1, RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, False, False, 0.0
)
AT_MOST_ONCE = replace(IDEMPOTENT, repeat=RepeatSafety.AT_MOST_ONCE)
DEDUPLICATED = replace(IDEMPOTENT, repeat=RepeatSafety.DEDUPLICATED, scope=DeduplicationScope.SHARD, window=5_000)
PLAN = Plan("plain", 10.0, 0.0, 1.0, 1.0, 0.0, 0.0, 0.0)


class Runtime:
    """Records the calls of the scheduler. Its clock moves only when the test sets it."""

    def __init__(self) -> None:
        self.now, self.shares = 1_000_000, EvenShares()
        self.woken: list[tuple[Task, WakeReason]] = []
        self.calls: list[tuple[int, Callable[[], None]]] = []
        self.list_requests = 0
        self.log_lines: list[str] = []
        self.sent_messages: list[tuple[int | None, PeerMessage]] = []

    def wake(self, task: Task, reason: WakeReason) -> None:
        self.woken.append((task, reason))

    def call_at(self, at: int, call: Callable[[], None]) -> None:
        self.calls.append((at, call))

    def request_store_list(self) -> None:
        self.list_requests += 1

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        self.sent_messages.append((peer, message))

    def log(self, text: str) -> None:
        self.log_lines.append(text)


def config(**changes: Any) -> SchedulerConfig:
    """A configuration of two gateways, with changes by field."""
    base: dict[str, Any] = dict(
        gateways=2,
        gateway_index=0,
        zone=0,
        categories=(IDEMPOTENT,),
        plans=(PLAN,),
        sizes=TaskSizes(8.0, 2.0),
        allowed=AllowedActions(3, False, 0, False, True, False),
        listing=StoreListRule(False, 0, 10_000),
        answer_grace=80,
        slow_start=None,
        retry_budget=None,
        key_rest=0,
        report_fields=(),
    )
    return SchedulerConfig(**(base | changes))


def store(shard: int = 0, **changes: Any) -> Store:
    """A ready store, with changes by field."""
    made = Store(f"store-{shard}", shard=shard, state=StoreState.READY)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def scheduler(stores: list[Store], **changes: Any) -> tuple[Scheduler, Runtime]:
    """A scheduler that knows these stores, and its runtime; `changes` are of its configuration."""
    runtime = Runtime()
    made = Scheduler(config(**changes), 1, runtime)
    made.list_changed(stores, confirmed=True)
    return made, runtime


def task(
    runtime: Runtime,
    shard: int | None = 0,
    units: float = 2.0,
    category: Category = IDEMPOTENT,
    key: int = 0,
    volume: Volume | None = None,
) -> Task:
    """A task that has just come."""
    return Task(
        "t", category, volume or Volume("v", PLAN, 1.0), units, shard, key, runtime.now, runtime.now + category.deadline
    )


def outcome(kind: OutcomeKind, latency: int = 100, answered: bool | None = None) -> Outcome:
    """An outcome; a delivery has answered the task."""
    return Outcome(kind, latency, kind is OutcomeKind.DELIVERED if answered is None else answered)


def add_samples(node, *latencies):
    """Add samples of usual tasks with these latencies."""
    for latency in latencies:
        node.add_sample(latency, 2.0)


def run_until_granted(run, runtime, brain):
    """Start a task and run rounds until it is granted; returns its next action."""
    assert isinstance(next(run), Wait)
    runtime.now += 200
    for node in brain.nodes.values():
        node.run_round()
    assert runtime.woken[-1][1] is WakeReason.GRANTED
    return run.send(WakeReason.GRANTED)
