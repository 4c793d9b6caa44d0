"""Simple schedulers to compare the scheduler with. They decide through the same interface and never replace it."""

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
    """Sends every task when it comes, to the store of its shard; new objects go to the stores in turn.

    After a failure a task is sent again where that does no harm. Nothing is held, and a task is refused only
    if there is no store for it.
    """

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        self.config, self.runtime = config, runtime
        self.stores: dict[Store, None] = {}
        self.by_shard: dict[int, Store] = {}
        self.new_objects = seed  # a counter
        self.asks = 0
        if config.listing.must_poll:
            runtime.request_store_list()

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        """Take in stores that are new or changed; of two for one shard, the one that started last counts."""
        known = self.stores | dict.fromkeys(stores)
        self.stores = {store: None for store in known if store.state is not StoreState.GONE}
        ready = [store for store in self.stores if store.state is StoreState.READY]
        self.by_shard = {store.shard: store for store in sorted(ready, key=lambda s: s.started)}

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """Do nothing: baselines neither ask other gateways for units nor grant any."""

    def list_failed(self) -> None:
        """Ask for the list again in a second."""
        self.runtime.call_at(self.runtime.now + 10_000, self.runtime.request_store_list)

    def store_for(self, task: Task) -> Store | None:
        """The store of the task's shard, or the next one in turn for a new object."""
        if task.shard is not None:
            return self.by_shard.get(task.shard)
        shards = sorted(self.by_shard)
        self.new_objects += 1
        return self.by_shard[shards[self.new_objects % len(shards)]] if shards else None

    def serve(self, task: Task) -> TaskGenerator:
        """The generator that decides on one task."""
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
        """The answer of a task that is given up: a nack where the client may safely send it again."""
        repeat, scope = task.category.repeat, task.category.scope
        repeat_is_safe = (
            repeat is RepeatSafety.IDEMPOTENT or repeat is RepeatSafety.DEDUPLICATED and scope is DeduplicationScope.ALL
        )
        return BreakOff() if task.may_have_run and not repeat_is_safe else Nack(0)


class FixedWindow(SendAtOnce):
    """First in, first out: WINDOW hand-offs in flight at a store, and one queue for all other tasks."""

    WINDOW = 8

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.in_flight: dict[Store, int] = {}
        self.queues: dict[Store, deque[Task]] = {}

    def wait_for_room(self, store: Store, task: Task) -> Generator[TaskAction, WakeReason | Outcome | None, bool]:
        """Wait until the store has room; False when the task's deadline has come."""
        queue = self.queues.setdefault(store, deque())
        if self.in_flight.get(store, 0) < self.WINDOW and not queue:
            return True
        queue.append(task)
        reason = yield Wait(task.deadline)
        if task in queue:
            queue.remove(task)
        return reason is WakeReason.GRANTED

    def grant_next(self, store: Store) -> None:
        """Wake the next task that waits for the store."""
        if queue := self.queues.get(store):
            self.runtime.wake(queue.popleft(), WakeReason.GRANTED)

    def serve(self, task: Task) -> TaskGenerator:
        """The generator that decides on one task."""
        while task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline:
            store = self.store_for(task)
            if store is None or task.may_have_run and task.category.repeat is not RepeatSafety.IDEMPOTENT:
                break
            if not (yield from self.wait_for_room(store, task)):
                break
            if store.state is not StoreState.READY:
                self.grant_next(store)
                continue
            self.in_flight[store] = self.in_flight.get(store, 0) + 1
            task.hand_offs += 1
            sent, outcome = self.runtime.now, (yield HandOff(store))
            assert isinstance(outcome, Outcome)
            self.in_flight[store] -= 1
            self.grant_next(store)
            if outcome.task_answered or outcome.kind is OutcomeKind.DELIVERED:
                return
            if not outcome.never_ran:
                task.may_have_run.append((store, sent))
        yield self.final_answer(task)


class TokenBuckets(SendAtOnce):
    """A token bucket for each volume, filled at its plan's rate over its gateways; a task waits for its units."""

    SECOND = 10_000

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.level: dict[Volume, tuple[float, int]] = {}  # units in the bucket, and when they were computed

    def serve(self, task: Task) -> TaskGenerator:
        """The generator that decides on one task."""
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


class DeficitRoundRobin(FixedWindow):
    """Deficit round robin over volumes for each store, WINDOW hand-offs in flight.

    All volumes get equal shares; there are no reserves and no rates.
    """

    QUANTUM = 4.0  # units that a volume gains in a round

    def __init__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.volume_queues: dict[Store, dict[Volume, deque[Task]]] = {}  # by store, in round-robin order
        self.deficits: dict[tuple[Store, Volume], float] = {}

    def wait_for_room(self, store: Store, task: Task) -> Generator[TaskAction, WakeReason | Outcome | None, bool]:
        """Wait until the task's volume has its turn; False when the task's deadline has come."""
        queues = self.volume_queues.setdefault(store, {})
        if self.in_flight.get(store, 0) < self.WINDOW and not queues:
            return True
        queues.setdefault(task.volume, deque()).append(task)
        reason = yield Wait(task.deadline)
        if reason is not WakeReason.GRANTED and task in queues.get(task.volume, ()):
            self._remove(store, task.volume, task)
        return reason is WakeReason.GRANTED

    def _remove(self, store: Store, volume: Volume, task: Task) -> None:
        queues = self.volume_queues[store]
        queues[volume].remove(task)
        if not queues[volume]:
            del queues[volume]
            self.deficits.pop((store, volume), None)

    def grant_next(self, store: Store) -> None:
        """Wake the first task of the next volume whose deficit counter covers it."""
        queues = self.volume_queues.get(store)
        while queues:
            volume = next(iter(queues))
            first, key = queues[volume][0], (store, volume)
            if self.deficits.get(key, 0.0) >= first.units:
                self.deficits[key] -= first.units
                self._remove(store, volume, first)
                self.runtime.wake(first, WakeReason.GRANTED)
                return
            self.deficits[key] = self.deficits.get(key, 0.0) + self.QUANTUM
            queues[volume] = queues.pop(volume)  # to the end of the round


BASELINES: dict[str, type[SendAtOnce]] = {
    "at-once": SendAtOnce,
    "window": FixedWindow,
    "buckets": TokenBuckets,
    "round-robin": DeficitRoundRobin,
}
