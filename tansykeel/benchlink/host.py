"""Hosts the instances: ids to objects, the wire's words to ours, exact clocks to tenths of a millisecond."""

from __future__ import annotations

import json
import sys
import traceback
from typing import Any

from tansykeel.benchlink import wire, words
from tansykeel.brain import Scheduler
from tansykeel.interface import (
    Facts,
    How,
    Outcome,
    Plan,
    Repeat,
    Scope,
    Sizes,
    State,
    Store,
    Task,
    Volume,
    Word,
)
from tansykeel.runner import Runner
from tansykeel.settings import facts as make
from tansykeel.settings.facts import TENTH
from tansykeel.settings.facts import ceil as _ceil
from tansykeel.settings.facts import floor as _floor

REPEATS = {"idempotent": Repeat.HARMLESS, "deduplicated": Repeat.STAMPED, "at_most_once": Repeat.ONE_SHOT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.SHARD}
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
HOWS = {
    100: How.DELIVERED,
    301: How.ERROR,
    302: How.FULL,
    303: How.TIMED_OUT,
    304: How.NO_CONNECTION,
    305: How.RESET,
    306: How.CANCELLED,
    307: How.MOOT,
}


def _lookup(table: dict[Any, Any], value: Any, what: str) -> Any:
    if value not in table:
        raise wire.Malformed(f"{what}: unknown value {value!r}")
    return table[value]


def read_facts(text: bytes) -> Facts:
    """Turn the start-up settings into our records; what may be absent is absent here too."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise wire.Malformed(f"settings are not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise wire.Malformed("settings are not a JSON object")
    try:
        return _facts(raw)
    except KeyError as error:
        raise wire.Malformed(f"settings lack {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise wire.Malformed(f"settings hold a value of the wrong kind: {error}") from error


def _facts(raw: dict[str, Any]) -> Facts:
    rules, limits, specifics = raw["Rules"], raw["Limits"], raw.get("Specifics") or {}
    writes = specifics.get("ChangesData") or [False] * len(raw["Classes"])
    categories = tuple(
        make.category(
            c["Name"], soft_limit=c["Objective"], cut_off=c["Deadline"], gain=c["Value"],
            late_gain=c.get("LateWorth", 0.0), repeat=_lookup(REPEATS, c["Repeat"], "Repeat"),
            scope=_lookup(SCOPES, c.get("KeyScope") or "cell", "KeyScope"), window=c.get("Window") or 0,
            writes=bool(writes[i]), ordered=bool(c.get("SerialByKey")), stretch=c.get("AimStretch") or 0.0,
        )
        for i, c in enumerate(raw["Classes"])
    )
    plans = tuple(
        Plan(
            name=p["Name"], rate=p.get("Rate") or 0.0, reserve=p.get("FloorRate") or 0.0,
            weight=p.get("Proportion") or 0.0, price=p.get("WorthFactor") or 0.0, limit=p.get("Limit") or 0.0,
            limit_depth=p.get("CapDepth") or 0.0, limit_slack=p.get("Slack") or 0.0,
        )
        for p in raw.get("Plans") or ()
    )
    cold = make.cold_rule(
        share=rules.get("ColdShare") or 0.0, warm_after=rules.get("Cold") or 0,
        multiple=rules.get("FallMultiple") or 0.0, span=rules.get("OverloadFor") or 0,
        always_safe=specifics.get("YoungLimit") or 0.0,
    )
    budget = make.budget_rule(span=rules.get("BudgetSpan") or 0, free=rules.get("MinExtra") or 0.0,
                              share=rules.get("ExtraRatio") or 0.0)
    return Facts(
        gateways=raw["Siblings"],
        me=raw["Me"],
        zone=raw["Zone"],
        categories=categories,
        plans=plans,
        sizes=Sizes(specifics.get("Largest") or 0.0, specifics.get("UsualUnits") or 0.0),
        allowed=make.allowed(
            hand_offs=limits["MostTries"], come_back=bool(limits.get("RetryAfter")),
            longest_come_back=limits.get("MaxRetryAfter") or 0, copies=bool(limits.get("MayDuplicate")),
            cancel=bool(limits.get("Cancel")), probes=bool(limits.get("Probes")),
            peers=bool(limits.get("Peers")),
        ),
        listing=make.listing(
            must_ask=raw["MembershipMode"] == "ask", ask_within=rules.get("AskWithin") or 0,
            drain_grace=rules.get("StopSendingWithin") or 0,
        ),
        answer_grace=_floor(rules.get("GraceToAnswer") or 0),
        cold=cold,
        budget=budget,
        key_rest=_ceil(rules.get("KeyQuiet") or 0),
        report_fields=tuple((raw.get("Report") or {}).get("Fields") or ()),
        tells_elsewhere=bool(specifics.get("TellsElsewhere")),
    )


class Instance:
    """One gateway's decisions behind the wire: the runner's door and the owner of all its objects."""

    def __init__(self, who: int, facts: Facts, seed: int, outbox: wire.Outbox, clock: int) -> None:
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
        self.runner.move(_floor(clock))

    def update(self, event: wire.Update, entries: list[wire.Entry]) -> None:
        if event.scope == 0:
            self.brain.list_failed()
        else:
            listed = [self._store(entry) for entry in entries]
            if event.scope != 1:
                for store in self.stores.values():
                    if store not in listed:
                        store.state = State.GONE
            self.brain.list_changed(list(self.stores.values()), confirmed=event.scope != 2)
        self.runner.settle()

    def _store(self, entry: wire.Entry) -> Store:
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
        volume.gateways = event.hosts
        task = Task(
            handle=event.id,
            category=self.facts.categories[event.category],
            volume=volume,
            units=event.units,
            shard=None if event.shard < 0 else int(event.shard),
            key=event.key,
            arrived=self.runner.now,
            cut_off=_floor(event.not_after),
            again=bool(event.bits & 2),
        )
        self.tasks[event.id] = task
        self.runner.start(task, self.brain.serve(task))

    def reply(self, event: wire.Reply) -> None:
        how = _lookup(HOWS, event.status, "Status")
        task = self.tasks.get(event.id)
        if task is None:
            return
        if how is How.DELIVERED or event.final:
            del self.tasks[event.id]
        used = event.used - 1 if event.used else None
        elsewhere = event.elsewhere if self.facts.tells_elsewhere else None
        self.runner.outcome(task, Outcome(how, _ceil(event.lag), bool(event.final), used, elsewhere, event.report))

    def heard(self, event: wire.Heard) -> None:
        try:
            handle, units, gift = words.read(event.message)
        except ValueError as error:
            raise wire.Malformed(f"message of instance {event.sender}: {error}") from error
        volume = self.volumes.get(handle) if handle is not None else None
        if volume is not None or handle is None:  # else no task of it has come here: nothing to ask or give
            self.brain.heard(event.sender, Word(volume, units, gift))
        self.runner.settle()

    def dropped(self, event: wire.Dropped) -> None:
        task = self.tasks.get(event.id)
        if task is not None and self.runner.left(task):
            del self.tasks[event.id]

    def reminder(self) -> None:
        self.runner.reminded()

    def hand_off(self, task: Task, store: Store, time_out: int) -> None:
        self.outbox.transmit(self.who, task.handle, store.handle, time_out * TENTH)

    def nack(self, task: Task, come_back: int) -> None:
        self.tasks.pop(task.handle, None)
        self.outbox.decline(self.who, task.handle, come_back * TENTH)

    def break_off(self, task: Task) -> None:
        self.tasks.pop(task.handle, None)
        self.outbox.lose(self.who, task.handle)

    def remind(self, at: int) -> None:
        # From the exact clock, so that the reminder cannot come before the tenth it stands for.
        self.outbox.timer(self.who, max(at * TENTH - self.clock, 0), 0)

    def watch(self) -> None:
        self.outbox.watch(self.who, True)

    def tell(self, peer: int | None, word: Word) -> None:
        whom = wire.EVERYONE if peer is None else peer
        volume = word.volume.handle if word.volume else None
        self.outbox.tell(self.who, whom, words.write(volume, word.units, word.gift))

    def note(self, text: str) -> None:
        self.outbox.show(self.who, text)


class Host:
    """All instances of one process; they share nothing but the numbered lists of stores."""

    def __init__(self) -> None:
        self._outbox = wire.Outbox()
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, list[wire.Entry]] = {}

    def reply(self, clock: int, events: list[wire.Event]) -> bytes:
        for event in events:
            if isinstance(event, wire.Rows):
                self._pages[event.page] = event.entries
                continue
            try:
                self._one(clock, event)
            except wire.Malformed:
                raise
            except Exception as error:  # the module failed: its instance says so and the day ends
                traceback.print_exc(file=sys.stderr)
                self._outbox.broken(event.who, f"{type(error).__name__}: {error}")
        return self._outbox.frame()

    def _one(self, clock: int, event: wire.Event) -> None:
        if isinstance(event, wire.Provision):
            facts = read_facts(event.facts)
            self._instances[event.who] = Instance(event.who, facts, event.seed, self._outbox, clock)
            return
        instance = self._instances.get(event.who)
        if instance is None:
            raise wire.Malformed(f"{type(event).__name__} for instance {event.who}, which is not running")
        instance.move(clock)
        match event:
            case wire.Kill():
                del self._instances[event.who]
            case wire.Update():
                if event.scope not in (0, 1, 2, 4):
                    raise wire.Malformed(f"Update of unknown scope {event.scope}")
                if event.scope and event.page not in self._pages:
                    raise wire.Malformed(f"Update names list {event.page}, which was not sent")
                instance.update(event, self._pages.get(event.page, []))
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
