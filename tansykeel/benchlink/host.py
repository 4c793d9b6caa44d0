"""Drives the scheduler of each instance from the simulator's events.

It maps ids and codes on the wire to objects, and times in nanoseconds to the scheduler's tenths of a millisecond.
"""

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

# By the codes in the wire's field Availability.
STORE_STATES = {0: StoreState.GONE, 1: StoreState.READY, 2: StoreState.DRAINING}
# By the codes in the wire's field Status.
OUTCOME_KINDS = {
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
    """Return what a code stands for; raises Malformed for an unknown one. `what` is the field's name on the wire."""
    if value not in table:
        raise wire.Malformed(f"{what}: unknown value {value!r}")
    return table[value]


def read_config(text: bytes) -> SchedulerConfig:
    """Parse the settings of an instance. Raises Malformed."""
    try:
        return given.facts_of(json.loads(text))
    except given.NotLegal as error:
        raise wire.Malformed(str(error)) from error
    except ValueError as error:
        raise wire.Malformed(f"settings are not JSON: {error}") from error


class Instance:
    """One simulated gateway: its scheduler, its runner, and its stores, volumes and tasks by their ids on the wire.

    It is the runner's effect handler: each effect becomes an action for the simulator. Clocks are in nanoseconds.
    """

    def __init__(self, instance_id: int, config: SchedulerConfig, seed: int, outbox: wire.Outbox, clock: int) -> None:
        self.instance_id = instance_id
        self.config = config
        self.outbox = outbox
        self.clock = clock
        self.runner = Runner(self, _floor(clock))
        self.scheduler = Scheduler(config, seed, self.runner)
        self.stores: dict[bytes, Store] = {}
        self.volumes: dict[int, Volume] = {}
        self.tasks: dict[int, Task] = {}

    def advance_clock(self, clock: int) -> None:
        """Move the clock of the instance and its runner forward."""
        self.clock = clock
        self.runner.advance_clock(_floor(clock))

    def update_store_list(self, event: wire.Update, entries: list[wire.StoreEntry]) -> None:
        """Apply a change of the list of stores: `entries` are those that the event refers to."""
        if event.scope == 0:
            self.scheduler.list_failed()
        else:
            listed = {self._update_store(entry): None for entry in entries}
            if event.scope != 1:
                for store in self.stores.values():
                    if store not in listed and store.state is not StoreState.GONE:
                        store.state = StoreState.GONE
                        listed[store] = None
            self.scheduler.list_changed(list(listed), confirmed=event.scope != 2)
        self.runner.run_pending()

    def _update_store(self, entry: wire.StoreEntry) -> Store:
        """Update a store from its list entry; a store keeps the same object for as long as the instance runs."""
        store = self.stores.setdefault(entry.store, Store(entry.store))
        store.zone, store.kind, store.shard = entry.zone, entry.kind, entry.shard
        store.state = _lookup(STORE_STATES, entry.state, "Availability")
        store.nominal = entry.nominal
        store.started = _ceil(entry.started)
        return store

    def start_task(self, event: wire.Query) -> None:
        """Start the task that the event describes."""
        if event.category >= len(self.config.categories) or event.plan >= len(self.config.plans):
            raise wire.Malformed(f"task of category {event.category}, plan {event.plan}: not in the settings")
        plan = self.config.plans[event.plan]
        volume = self.volumes.setdefault(event.volume, Volume(event.volume, plan))
        volume.gateways = event.gateways
        task = Task(
            handle=event.task_id,
            category=self.config.categories[event.category],
            volume=volume,
            units=event.units,
            shard=None if event.shard < 0 else int(event.shard),
            key=event.key,
            arrived=self.runner.now,
            deadline=_floor(event.deadline),
            resent=bool(event.flags & 2),
        )
        self.tasks[event.task_id] = task
        self.runner.start(task, self.scheduler.serve(task))

    def end_hand_off(self, event: wire.Reply) -> None:
        """Tell the runner the outcome of a hand-off; one of a task that has ended is ignored."""
        kind = _lookup(OUTCOME_KINDS, event.status, "Status")
        task = self.tasks.get(event.task_id)
        if task is None:
            return
        if kind is OutcomeKind.DELIVERED or event.task_answered:
            del self.tasks[event.task_id]
        plan_use_percent = event.plan_use - 1 if event.plan_use else None
        used_elsewhere = event.used_elsewhere if self.config.reports_use_elsewhere else None
        self.runner.outcome(
            task,
            Outcome(
                kind, _ceil(event.latency), bool(event.task_answered), plan_use_percent, used_elsewhere, event.report
            ),
        )

    def receive_message(self, event: wire.Heard) -> None:
        """Pass a message from another instance to the scheduler."""
        try:
            volume_id, units, is_grant = words.decode(event.message)
        except ValueError as error:
            raise wire.Malformed(f"message of instance {event.sender}: {error}") from error
        volume = self.volumes.get(volume_id) if volume_id is not None else None
        # A volume that has had no task here has no units to grant and needs none.
        if volume is not None or volume_id is None:
            self.scheduler.on_peer_message(event.sender, PeerMessage(volume, units, is_grant))
        self.runner.run_pending()

    def client_left(self, event: wire.Dropped) -> None:
        """End a held task whose client has gone; one that was handed off ends with its outcome."""
        task = self.tasks.get(event.task_id)
        if task is not None and self.runner.client_left(task):
            del self.tasks[event.task_id]

    def timer_fired(self) -> None:
        """Tell the runner that its timer has fired."""
        self.runner.timer_fired()

    def hand_off(self, task: Task, store: Store, timeout: int) -> None:
        """Send a task to a store."""
        self.outbox.hand_off(self.instance_id, task.handle, store.handle, timeout * TENTH)

    def nack(self, task: Task, retry_after: int) -> None:
        """Answer a task with a nack."""
        self.tasks.pop(task.handle, None)
        self.outbox.nack(self.instance_id, task.handle, retry_after * TENTH)

    def break_off(self, task: Task) -> None:
        """Answer a task with a break-off."""
        self.tasks.pop(task.handle, None)
        self.outbox.break_off(self.instance_id, task.handle)

    def set_timer(self, at: int) -> None:
        """Ask the simulator for a Reminder event."""
        # Counted from the unrounded clock, so that the event cannot come before the tenth of a millisecond `at`.
        self.outbox.set_timer(self.instance_id, max(at * TENTH - self.clock, 0), 0)

    def request_store_list(self) -> None:
        """Subscribe to the list of stores."""
        self.outbox.watch_store_list(self.instance_id, True)

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to another instance; None: to all others."""
        recipient = wire.ALL_PEERS if peer is None else peer
        volume = message.volume.handle if message.volume else None
        self.outbox.send_message(self.instance_id, recipient, words.encode(volume, message.units, message.is_grant))

    def log(self, text: str) -> None:
        """Write a line to the instance's log."""
        self.outbox.log(self.instance_id, text)


class Adapter:
    """All instances of one process; they share nothing but the numbered lists of stores."""

    def __init__(self) -> None:
        self._outbox = wire.Outbox()
        self._instances: dict[int, Instance] = {}
        self._store_lists: dict[int, list[wire.StoreEntry]] = {}

    def handle_batch(self, clock: int, events: list[wire.Event]) -> bytes:
        """Handle the events of one batch and return the frame that answers it. Raises Malformed."""
        for event in events:
            if isinstance(event, wire.StoreList):
                self._store_lists[event.list_id] = event.entries
                continue
            try:
                self._dispatch(clock, event)
            except wire.Malformed:
                raise
            except Exception as error:  # a fault of the scheduler: reporting it ends the run
                traceback.print_exc(file=sys.stderr)
                self._outbox.report_failure(event.instance_id, f"{type(error).__name__}: {error}")
        return self._outbox.take_frame()

    def _dispatch(self, clock: int, event: wire.Event) -> None:
        """Handle an event of one instance, at the time that the simulator's clock shows."""
        if isinstance(event, wire.Provision):
            config = read_config(event.settings)
            self._instances[event.instance_id] = Instance(event.instance_id, config, event.seed, self._outbox, clock)
            return
        instance = self._instances.get(event.instance_id)
        if instance is None:
            raise wire.Malformed(f"{type(event).__name__} for instance {event.instance_id}, which is not running")
        instance.advance_clock(clock)
        match event:
            case wire.Kill():
                del self._instances[event.instance_id]
            case wire.Update():
                if event.scope not in (0, 1, 2, 4):
                    raise wire.Malformed(f"Update of unknown scope {event.scope}")
                if event.scope and event.list_id not in self._store_lists:
                    raise wire.Malformed(f"Update names list {event.list_id}, which was not sent")
                instance.update_store_list(event, self._store_lists.get(event.list_id, []))
            case wire.Query():
                instance.start_task(event)
            case wire.Reply():
                instance.end_hand_off(event)
            case wire.Dropped():
                instance.client_left(event)
            case wire.Reminder():
                instance.timer_fired()
            case wire.Heard():
                instance.receive_message(event)
            case wire.UnderWay() | wire.Pong():
                pass  # answers are not streamed, and the scheduler does not probe stores
