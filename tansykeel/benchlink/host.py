"""Hosts the instances: ids to objects, the wire's words to ours, exact clocks to tenths of a millisecond."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from tansykeel.benchlink import wire, words
from tansykeel.brain import Scheduler
from tansykeel.interface import (
    Outcome,
    OutcomeKind,
    PeerMessage,
    SchedulerConfig,
    Store,
    StoreState,
    Task,
    Volume,
)
from tansykeel.runner import Runner
from tansykeel.settings import given
from tansykeel.settings.facts import TENTH
from tansykeel.settings.facts import ceil as _ceil
from tansykeel.settings.facts import floor as _floor

STATES = {0: StoreState.GONE, 1: StoreState.READY, 2: StoreState.DRAINING}
HOWS = {
    100: OutcomeKind.DELIVERED,
    301: OutcomeKind.ERROR,
    302: OutcomeKind.QUEUE_FULL,
    303: OutcomeKind.TIMED_OUT,
    304: OutcomeKind.NO_CONNECTION,
    305: OutcomeKind.RESET,
    306: OutcomeKind.CANCELLED,
    307: OutcomeKind.NOT_EXECUTED,
}


def _lookup(table: dict[Any, Any], value: Any, what: str) -> Any:
    if value not in table:
        raise wire.Malformed(f"{what}: unknown value {value!r}")
    return table[value]


def read_facts(text: bytes) -> SchedulerConfig:
    try:
        return given.facts_of(json.loads(text))
    except given.NotLegal as error:
        raise wire.Malformed(str(error)) from error
    except ValueError as error:
        raise wire.Malformed(f"settings are not JSON: {error}") from error


class Instance:
    """One gateway's decisions behind the wire: the runner's effect handler and the owner of all its objects."""

    def __init__(self, who: int, facts: SchedulerConfig, seed: int, outbox: wire.Outbox, clock: int) -> None:
        self.who = who
        self.facts = facts
        self.outbox = outbox
        self.clock = clock
        self.runner = Runner(self, _floor(clock))
        self.brain = Scheduler(facts, seed, self.runner)
        self.stores: dict[bytes, Store] = {}
        self.volumes: dict[int, Volume] = {}
        self.tasks: dict[int, Task] = {}

    def move(self, clock: int) -> None:
        self.clock = clock
        self.runner.advance_clock(_floor(clock))

    def update(self, event: wire.Update, entries: list[wire.StoreEntry]) -> None:
        if event.scope == 0:
            self.brain.list_failed()
        else:
            listed = [self._store(entry) for entry in entries]
            if event.scope != 1:
                for store in self.stores.values():
                    if store not in listed:
                        store.state = StoreState.GONE
            self.brain.list_changed(list(self.stores.values()), confirmed=event.scope != 2)
        self.runner.run_pending()

    def _store(self, entry: wire.StoreEntry) -> Store:
        store = self.stores.setdefault(entry.store, Store(entry.store))
        store.zone, store.kind, store.shard = entry.zone, entry.kind, entry.shard
        store.state = _lookup(STATES, entry.state, "Availability")
        store.nominal = entry.nominal
        store.started = _ceil(entry.started)
        return store

    def query(self, event: wire.Query) -> None:
        if event.category >= len(self.facts.categories) or event.plan >= len(self.facts.plans):
            raise wire.Malformed(f"task of category {event.category}, plan {event.plan}: not in the settings")
        plan = self.facts.plans[event.plan]
        volume = self.volumes.setdefault(event.volume, Volume(event.volume, plan))
        volume.gateways = event.gateways
        task = Task(
            handle=event.task_id,
            category=self.facts.categories[event.category],
            volume=volume,
            units=event.units,
            shard=None if event.shard < 0 else int(event.shard),
            key=event.key,
            arrived=self.runner.now,
            deadline=_floor(event.deadline),
            resent=bool(event.flags & 2),
        )
        self.tasks[event.task_id] = task
        self.runner.start(task, self.brain.serve(task))

    def reply(self, event: wire.Reply) -> None:
        how = _lookup(HOWS, event.status, "Status")
        task = self.tasks.get(event.task_id)
        if task is None:
            return
        if how is OutcomeKind.DELIVERED or event.task_answered:
            del self.tasks[event.task_id]
        used = event.plan_use - 1 if event.plan_use else None
        elsewhere = event.used_elsewhere if self.facts.reports_use_elsewhere else None
        self.runner.outcome(
            task, Outcome(how, _ceil(event.latency), bool(event.task_answered), used, elsewhere, event.report)
        )

    def heard(self, event: wire.Heard) -> None:
        try:
            handle, units, is_grant = words.decode(event.message)
        except ValueError as error:
            raise wire.Malformed(f"message of instance {event.sender}: {error}") from error
        volume = self.volumes.get(handle) if handle is not None else None
        if volume is not None or handle is None:  # else no task of it has come here: nothing to ask or give
            self.brain.on_peer_message(event.sender, PeerMessage(volume, units, is_grant))
        self.runner.run_pending()

    def dropped(self, event: wire.Dropped) -> None:
        task = self.tasks.get(event.task_id)
        if task is not None and self.runner.client_left(task):
            del self.tasks[event.task_id]

    def reminder(self) -> None:
        self.runner.timer_fired()

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        self.outbox.hand_off(self.who, task.handle, store.handle, timeout * TENTH)

    def nack(self, task: Task, retry_after: int) -> None:
        self.tasks.pop(task.handle, None)
        self.outbox.nack(self.who, task.handle, retry_after * TENTH)

    def break_off(self, task: Task) -> None:
        self.tasks.pop(task.handle, None)
        self.outbox.break_off(self.who, task.handle)

    def set_timer(self, at: int) -> None:
        # From the exact clock, so that the reminder cannot come before the tenth it stands for.
        self.outbox.set_timer(self.who, max(at * TENTH - self.clock, 0), 0)

    def request_store_list(self) -> None:
        self.outbox.watch_store_list(self.who, True)

    def send_to_peer(self, peer: int | None, word: PeerMessage) -> None:
        whom = wire.ALL_PEERS if peer is None else peer
        volume = word.volume.handle if word.volume else None
        self.outbox.send_message(self.who, whom, words.encode(volume, word.units, word.is_grant))

    def log(self, text: str) -> None:
        self.outbox.log(self.who, text)


class Host:
    """All instances of one process; they share nothing but the numbered lists of stores."""

    def __init__(self) -> None:
        self._outbox = wire.Outbox()
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, list[wire.StoreEntry]] = {}

    def reply(self, clock: int, events: list[wire.Event]) -> bytes:
        for event in events:
            if isinstance(event, wire.StoreList):
                self._pages[event.list_id] = event.entries
                continue
            try:
                self._one(clock, event)
            except wire.Malformed:
                raise
            except Exception as error:  # the module failed: its instance says so and the day ends
                traceback.print_exc(file=sys.stderr)
                self._outbox.report_failure(event.instance_id, f"{type(error).__name__}: {error}")
        return self._outbox.take_frame()

    def _one(self, clock: int, event: wire.Event) -> None:
        if isinstance(event, wire.Provision):
            facts = read_facts(event.settings)
            self._instances[event.instance_id] = Instance(event.instance_id, facts, event.seed, self._outbox, clock)
            return
        instance = self._instances.get(event.instance_id)
        if instance is None:
            raise wire.Malformed(f"{type(event).__name__} for instance {event.instance_id}, which is not running")
        instance.move(clock)
        match event:
            case wire.Kill():
                del self._instances[event.instance_id]
            case wire.Update():
                if event.scope not in (0, 1, 2, 4):
                    raise wire.Malformed(f"Update of unknown scope {event.scope}")
                if event.scope and event.list_id not in self._pages:
                    raise wire.Malformed(f"Update names list {event.list_id}, which was not sent")
                instance.update(event, self._pages.get(event.list_id, []))
            case wire.Query():
                instance.query(event)
            case wire.Reply():
                instance.reply(event)
            case wire.Dropped():
                instance.dropped(event)
            case wire.Reminder():
                instance.reminder()
            case wire.Heard():
                instance.heard(event)
            case wire.UnderWay() | wire.Pong():
                pass  # nothing is streamed, and the module does not probe
