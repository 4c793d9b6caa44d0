"""The upper mark: decisions with a view of the true state, which no gateway has.

One eye over the whole world: it knows each store's true power and pauses, what all gateways have out there and wait
with, and each volume's use. It keeps no order by key. What it serves says how much of a day can be had at all; it is a
mark to measure against and never in the module's place.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from tansykeel.baselines import SendAtOnce
from tansykeel.brain.volumes import RetryBudget
from tansykeel.emulator.engine import Engine
from tansykeel.emulator.gateway import Gateway
from tansykeel.emulator.stores import SimStore
from tansykeel.interface import (
    HandOff,
    Outcome,
    OutcomeKind,
    RepeatSafety,
    Runtime,
    SchedulerConfig,
    Store,
    StoreState,
    Task,
    Wait,
    WakeReason,
)
from tansykeel.runner import TaskGenerator
from tansykeel.settings.day import Day

SECOND = 10_000
AHEAD = 2  # hand-offs out at a store beyond one for each core: what covers the way
LOOK = 50  # tenths after which a task whose store is not to be had looks again


@dataclass(eq=False, slots=True)
class Seat:
    """A task that waits for a store, or has its turn there."""

    task: Task
    at: TrueView
    aim: int
    granted: bool = False


class Eye:
    """What is true of a world: shared by all gateways of it, and by no other world."""

    def __init__(self, day: Day, engine: Engine, gateways: list[Gateway], stores: dict[str, SimStore]) -> None:
        self.day, self.engine, self.gateways, self.stores = day, engine, gateways, stores  # stores: by address
        self.out: dict[SimStore, int] = defaultdict(int)
        self.waiting: dict[SimStore, list[Seat]] = defaultdict(list)
        self.used: dict[object, tuple[int, float]] = {}  # by volume's name: its second, units sent in it
        self.allowed: dict[object, tuple[float, int]] = {}  # by volume's name: what its limit has left, when

    def __call__(self, config: SchedulerConfig, seed: int, runtime: Runtime) -> TrueView:
        return TrueView(self, config, seed, runtime)

    def power(self, store: SimStore) -> float:
        """Part of its full power that a store has now; none while it stands still."""
        now = self.engine.now / 1000
        model = store.behaviour.model
        shut = max(store.refuse_until, store.silent_until) / 1000
        if now < max(model.paused_until, shut) or any(model.faults.get(f, now, 0.0) for f in ("stand", "full")):
            return 0.0
        speed = model.warm(now) / model.faults.get("slow", now, 1.0)
        return float(speed * (1 - model.faults.get("neighbour", now, 0.0)))

    def room(self, store: SimStore) -> bool:
        return self.out[store] < store.behaviour.shape.cores + AHEAD and self.power(store) > 0

    def used_now(self, task: Task, now: int) -> float:
        """Units of its volume that were sent in this second so far."""
        second, units = self.used.get(task.volume.handle, (0, 0.0))
        return units if second == now // SECOND else 0.0

    def spend(self, task: Task, now: int) -> None:
        self.used[task.volume.handle] = now // SECOND, self.used_now(task, now) + task.units
        if task.volume.plan.limit:
            left, at = self.left(task, now)
            self.allowed[task.volume.handle] = left - task.units, at

    def left(self, task: Task, now: int) -> tuple[float, int]:
        """Units that the volume's limit has left; it starts empty, as the rule does."""
        plan = task.volume.plan
        left, at = self.allowed.setdefault(task.volume.handle, (0.0, now))
        return min(left + plan.limit / SECOND * (now - at), plan.limit_depth), now

    def legal(self, task: Task, now: int) -> bool:
        return not task.volume.plan.limit or self.left(task, now)[0] >= task.units

    def in_time(self, store: SimStore, seat: Seat, now: int) -> bool:
        """Whether a task that went out now could still come back within its soft limit."""
        shape = store.behaviour.shape
        work = seat.task.units * shape.unit_ms * (shape.write_cost if seat.task.category.writes else 1.0)
        way = self.day.fleet.way_ms
        return now + int((work * (1 - shape.noise) / self.power(store) + 2 * way) * 10) < seat.aim

    def rank(self, seat: Seat, now: int) -> tuple[float, float, int]:
        """First what is worth most for its work, then whoever had least for its weight, then who has least time."""
        task = seat.task
        units = self.used_now(task, now)
        plan, worth = task.volume.plan, task.category.gain * task.volume.plan.price
        beyond = units + task.units > plan.reserve
        if task.category.writes:
            worth /= self.day.fleet.shape.write_cost
        if not beyond:
            return -worth, 0.0, seat.aim
        return -worth * self.day.load.share_worth, max(units - plan.reserve, 0.0) / plan.weight, seat.aim

    def pass_on(self, store: SimStore) -> None:
        """Whoever is next at a store has its turn, at whichever gateway it waits."""
        now = self.engine.now // 100
        line = self.waiting[store]
        while line and self.room(store):
            fit = [seat for seat in line if self.legal(seat.task, now) and self.in_time(store, seat, now)]
            if not fit:
                return
            first = min(fit, key=lambda seat: self.rank(seat, now))
            line.remove(first)
            first.granted = True
            self.out[store] += 1
            self.spend(first.task, now)
            first.at.turn(first.task)

    def leave(self, store: SimStore, seat: Seat) -> None:
        if seat.granted:
            self.out[store] -= 1
            self.pass_on(store)
        else:
            self.waiting[store].remove(seat)


class TrueView(SendAtOnce):
    def __init__(self, eye: Eye, config: SchedulerConfig, seed: int, runtime: Runtime) -> None:
        super().__init__(config, seed, runtime)
        self.eye = eye
        self.retry_budget = RetryBudget(config.retry_budget, runtime.now) if config.retry_budget else None

    def turn(self, task: Task) -> None:
        """The gateway may be another than the one whose event led to this: it is told by an event of its own."""
        gateway = self.eye.gateways[self.config.gateway_index]
        self.runtime.wake(task, WakeReason.GRANTED)
        gateway.engine.after(0, gateway.tell, gateway.life, self.look)

    def look(self) -> None:
        gateway = self.eye.gateways[self.config.gateway_index]
        gateway.core.runner.advance_clock(gateway.clock())
        gateway.core.runner.run_pending()

    def true_store(self, task: Task) -> tuple[Store, SimStore] | None:
        """The store for a task, if the list tells of the one that is there; the emptiest for a new object."""
        addresses = self.eye.gateways[self.config.gateway_index].core.addresses
        listed = [store for store in self.by_shard.values() if task.shard in (None, store.shard)]
        there = [(store, self.eye.stores[addresses[store]]) for store in listed]
        found = [(store, true) for store, true in there if store.state is StoreState.READY and true.listening]
        return min(found, key=lambda pair: self.eye.out[pair[1]] + len(self.eye.waiting[pair[1]]), default=None)

    def serve(self, task: Task) -> TaskGenerator:
        now = self.runtime.now
        aim = min(now + task.category.soft_limit, task.deadline - 1)
        if self.retry_budget is not None:
            self.retry_budget.tasks.append(now)
        allowed = self.config.allowed.hand_offs
        while self.runtime.now < aim and task.hand_offs < allowed:
            found = self.true_store(task)
            if found is None:
                yield Wait(min(self.runtime.now + LOOK, aim))
                continue
            store, true = found
            seat = Seat(task, self, aim)
            try:
                self.eye.waiting[true].append(seat)
                self.eye.pass_on(true)
                while (
                    not seat.granted and self.runtime.now < aim and store.state is StoreState.READY and true.listening
                ):
                    yield Wait(min(self.runtime.now + LOOK, aim))
                if not seat.granted or store.state is not StoreState.READY:
                    continue
                if task.hand_offs and self.retry_budget is not None:
                    self.retry_budget.retries.append(self.runtime.now)
                task.hand_offs += 1
                sent, outcome = self.runtime.now, (yield HandOff(store))
                assert isinstance(outcome, Outcome)
            finally:
                self.eye.leave(true, seat)
            if outcome.task_answered or outcome.kind is OutcomeKind.DELIVERED:
                return
            if not outcome.never_ran:
                task.may_have_run.append((store, sent))
                if task.category.repeat is not RepeatSafety.IDEMPOTENT:
                    break
            if self.retry_budget is not None and not self.retry_budget.allows(self.runtime.now):
                break
        yield self.final_answer(task)
