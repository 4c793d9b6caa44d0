"""Baselines to measure the module against, never in its place: each decides through the same door."""

from __future__ import annotations

from tansykeel.interface import (
    BreakOff,
    Desk,
    Facts,
    HandOff,
    How,
    Nack,
    Outcome,
    Repeat,
    Scope,
    State,
    Store,
    Task,
    Want,
)
from tansykeel.runner import Run


class SendAtOnce:
    """Every task goes out when it comes, to the store that holds its data (a new object to each store in turn),
    and once more after a quick failure where that does no harm. Nothing is held, nothing refused but for a drain."""

    def __init__(self, facts: Facts, seed: int, desk: Desk) -> None:
        self.facts, self.desk = facts, desk
        self.by_shard: dict[int, Store] = {}
        self.turn = seed
        self.asks = 0
        if facts.listing.must_ask:
            desk.watch()

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        ready = [store for store in stores if store.state is State.READY]
        self.by_shard = {store.shard: store for store in sorted(ready, key=lambda s: s.started)}

    def list_failed(self) -> None:
        self.desk.alarm(self.desk.now + 10_000, self.desk.watch)

    def store_for(self, task: Task) -> Store | None:
        if task.shard is not None:
            return self.by_shard.get(task.shard)
        shards = sorted(self.by_shard)
        self.turn += 1
        return self.by_shard[shards[self.turn % len(shards)]] if shards else None

    def serve(self, task: Task) -> Run:
        while task.hand_offs < self.facts.allowed.hand_offs and self.desk.now < task.cut_off:
            store = self.store_for(task)
            if store is None or task.may_have_run and task.category.repeat is not Repeat.HARMLESS:
                break
            task.hand_offs += 1
            sent, outcome = self.desk.now, (yield HandOff(store))
            assert isinstance(outcome, Outcome)
            if outcome.over or outcome.how is How.DELIVERED:
                return
            if not outcome.never_ran:
                task.may_have_run.append((store, sent))
        yield self.final(task)

    def final(self, task: Task) -> Want:
        repeat, scope = task.category.repeat, task.category.scope
        sure = repeat is Repeat.HARMLESS or repeat is Repeat.STAMPED and scope is Scope.ALL
        return BreakOff() if task.may_have_run and not sure else Nack(0)
