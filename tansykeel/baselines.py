"""Baselines to measure the module against, never in its place: each decides through the same door."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator

from tansykeel.interface import (
    BreakOff,
    DeduplicationScope,
    HandOff,
    Nack,
    Outcome,
    OutcomeKind,
    PeerMessage,
    RepeatSafety,
    Runtime,
    SchedulerConfig,
    Store,
    StoreState,
    Task,
    TaskAction,
    Volume,
    Wait,
    WakeReason,
)
from tansykeel.runner import TaskGenerator


class SendAtOnce:
    """Every task goes out when it comes, to the store that holds its data (a new object to each store in turn),
    and once more after a quick failure where that does no harm. Nothing is held, nothing refused but for a drain."""

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        self.config, self.runtime = config, runtime
        self.by_shard: dict[int, Store] = {}
        self.next_new = seed
        self.asks = 0
        if config.listing.must_poll:
            runtime.request_store_list()

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        ready = [store for store in stores if store.state is StoreState.READY]
        self.by_shard = {store.shard: store for store in sorted(ready, key=lambda s: s.started)}

    def on_peer_message(self, peer: int, word: PeerMessage) -> None:
        """Baselines keep to what is theirs: they neither ask nor give."""

    def list_failed(self) -> None:
        self.runtime.call_at(self.runtime.now + 10_000, self.runtime.request_store_list)

    def store_for(self, task: Task) -> Store | None:
        if task.shard is not None:
            return self.by_shard.get(task.shard)
        shards = sorted(self.by_shard)
        self.next_new += 1
        return self.by_shard[shards[self.next_new % len(shards)]] if shards else None

    def serve(self, task: Task) -> TaskGenerator:
        while task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline:
            store = self.store_for(task)
            if store is None or task.may_have_run and task.category.repeat is not RepeatSafety.IDEMPOTENT:
                break
            task.hand_offs += 1
            sent, outcome = self.runtime.now, (yield HandOff(store))
            assert isinstance(outcome, Outcome)
            if outcome.task_answered or outcome.kind is OutcomeKind.DELIVERED:
                return
            if not outcome.never_ran:
                task.may_have_run.append((store, sent))
        yield self.final_answer(task)

    def final_answer(self, task: Task) -> TaskAction:
        repeat, scope = task.category.repeat, task.category.scope
        sure = (
            repeat is RepeatSafety.IDEMPOTENT or repeat is RepeatSafety.DEDUPLICATED and scope is DeduplicationScope.ALL
        )
        return BreakOff() if task.may_have_run and not sure else Nack(0)


class Window(SendAtOnce):
    """First in first out: WINDOW hand-offs out at a store, all others wait in one line for it, whoever they are."""

    WINDOW = 8

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.out: dict[Store, int] = {}
        self.lines: dict[Store, deque[Task]] = {}

    def room(self, store: Store, task: Task) -> Generator[TaskAction, WakeReason | Outcome | None, bool]:
        """Wait until the store has room; False when the task's time is up."""
        line = self.lines.setdefault(store, deque())
        if self.out.get(store, 0) < self.WINDOW and not line:
            return True
        line.append(task)
        signal = yield Wait(task.deadline)
        if task in line:
            line.remove(task)
        return signal is WakeReason.GRANTED

    def pass_on(self, store: Store) -> None:
        """Whoever is next at the store has its turn."""
        if line := self.lines.get(store):
            self.runtime.wake(line.popleft(), WakeReason.GRANTED)

    def serve(self, task: Task) -> TaskGenerator:
        while task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline:
            store = self.store_for(task)
            if store is None or task.may_have_run and task.category.repeat is not RepeatSafety.IDEMPOTENT:
                break
            if not (yield from self.room(store, task)):
                break
            if store.state is not StoreState.READY:
                self.pass_on(store)
                continue
            self.out[store] = self.out.get(store, 0) + 1
            task.hand_offs += 1
            sent, outcome = self.runtime.now, (yield HandOff(store))
            assert isinstance(outcome, Outcome)
            self.out[store] -= 1
            self.pass_on(store)
            if outcome.task_answered or outcome.kind is OutcomeKind.DELIVERED:
                return
            if not outcome.never_ran:
                task.may_have_run.append((store, sent))
        yield self.final_answer(task)


class Buckets(SendAtOnce):
    """A token bucket for each volume, filled at its plan's rate over its gateways; a task waits for its units."""

    SECOND = 10_000

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.level: dict[Volume, tuple[float, int]] = {}

    def serve(self, task: Task) -> TaskGenerator:
        rate = task.volume.plan.rate / self.SECOND / max(task.volume.gateways, 1)
        depth = rate * self.SECOND + self.config.sizes.largest
        level, at = self.level.get(task.volume, (depth, self.runtime.now))
        level = min(level + rate * (self.runtime.now - at), depth) - task.units
        self.level[task.volume] = level, self.runtime.now
        if level < 0:
            ready = self.runtime.now + int(-level / rate) + 1
            if ready >= task.deadline:
                self.level[task.volume] = level + task.units, self.runtime.now
                yield self.final_answer(task)
                return
            yield Wait(ready)
        yield from super().serve(task)


class RoundRobin(Window):
    """Deficit round robin over volumes for each store, WINDOW hand-offs out: equal shares, no reserves, no rates."""

    QUANTUM = 4.0  # units that a volume gains in a round

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.rings: dict[Store, dict[Volume, deque[Task]]] = {}
        self.deficits: dict[tuple[Store, Volume], float] = {}

    def room(self, store: Store, task: Task) -> Generator[TaskAction, WakeReason | Outcome | None, bool]:
        ring = self.rings.setdefault(store, {})
        if self.out.get(store, 0) < self.WINDOW and not ring:
            return True
        ring.setdefault(task.volume, deque()).append(task)
        signal = yield Wait(task.deadline)
        if signal is not WakeReason.GRANTED and task in ring.get(task.volume, ()):
            self._take(store, task.volume, task)
        return signal is WakeReason.GRANTED

    def _take(self, store: Store, volume: Volume, task: Task) -> None:
        ring = self.rings[store]
        ring[volume].remove(task)
        if not ring[volume]:
            del ring[volume]
            self.deficits.pop((store, volume), None)

    def pass_on(self, store: Store) -> None:
        ring = self.rings.get(store)
        while ring:
            volume = next(iter(ring))
            first, key = ring[volume][0], (store, volume)
            if self.deficits.get(key, 0.0) >= first.units:
                self.deficits[key] -= first.units
                self._take(store, volume, first)
                self.runtime.wake(first, WakeReason.GRANTED)
                return
            self.deficits[key] = self.deficits.get(key, 0.0) + self.QUANTUM
            ring[volume] = ring.pop(volume)  # to the end of the ring


BASELINES: dict[str, type[SendAtOnce]] = {
    "at-once": SendAtOnce,
    "window": Window,
    "buckets": Buckets,
    "round-robin": RoundRobin,
}
