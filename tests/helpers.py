"""Builds the state that a test needs: facts, a desk that only notes, stores, tasks."""

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
    """A desk that notes what it is asked and moves only when told."""

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


def facts(**changes: Any) -> SchedulerConfig:
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
    made = Store(f"store-{shard}", shard=shard, state=StoreState.READY)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def scheduler(stores: list[Store], **changes: Any) -> tuple[Scheduler, Runtime]:
    runtime = Runtime()
    made = Scheduler(facts(**changes), 1, runtime)
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
    return Task(
        "t", category, volume or Volume("v", PLAN, 1.0), units, shard, key, runtime.now, runtime.now + category.deadline
    )


def outcome(how: OutcomeKind, lag: int = 100, over: bool | None = None) -> Outcome:
    return Outcome(how, lag, how is OutcomeKind.DELIVERED if over is None else over)


def add_samples(node, *lags):
    for lag in lags:
        node.add_sample(lag, 2.0)


def grant_turn(run, runtime, brain):
    """Start a task and give it its turn; returns what it then wants."""
    assert isinstance(next(run), Wait)
    runtime.now += 200
    for node in brain.nodes.values():
        node.run_round()
    assert runtime.woken[-1][1] is WakeReason.GRANTED
    return run.send(WakeReason.GRANTED)
