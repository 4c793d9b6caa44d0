"""A whole day in simulated time: the same script, load, troubles, records and judge as on sockets."""

from __future__ import annotations

import hashlib
from functools import cached_property
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.audit.join import Passed, join
from tansykeel.audit.records import Killed, Recorder, Stood
from tansykeel.audit.records import Trouble as TroubleRecord
from tansykeel.audit.report import Verdict, judge
from tansykeel.brain import Scheduler
from tansykeel.emulator.clients import Clients
from tansykeel.emulator.engine import START, NoEnd
from tansykeel.emulator.gateway import ENDS, GONE, Gateway, SimList
from tansykeel.emulator.oracle import Eye, TrueView
from tansykeel.emulator.scene import Decide, Scene
from tansykeel.emulator.stores import SimStore
from tansykeel.rehearse.day import LOAD, VERBS
from tansykeel.rehearse.faults import ways_of
from tansykeel.rehearse.load import CHANCE, arrivals_of, stream
from tansykeel.rehearse.troubles import Steps, steps_of
from tansykeel.settings.day import Day, Trouble

AFTER = 2.0  # seconds past the longest deadline in which a day must have come to its end
MOST_EVENTS = 400  # of the engine for each task, and MOST_BASE more: a day that needs more does not end
MOST_BASE = 50_000_000


class World(Scene):
    """`decide` makes each gateway's decisions; a baseline may stand in the module's place."""

    def __init__(self, day: Day, seed: int, decide: Decide = Scheduler) -> None:
        super().__init__(day, seed)
        self._chance = stream(seed, CHANCE)
        self.silent_s = day.fleet.silent_s
        self.stopped: dict[int, int] = {}
        self.by_address: dict[str, SimStore] = {}
        self.gateways: list[Gateway] = []
        self.decide = Eye(day, self.engine, self.gateways, self.by_address) if decide is TrueView else decide
        self.list: SimList = SimList(self)
        self.clients: Clients = Clients(self, self.gateways)
        self.stores = [self._store(f"store-{n}", n, cold=False) for n in range(day.fleet.stores)]
        self._list(*self.stores)
        for index in range(day.fleet.edges):
            self.gateways.append(Gateway(self, index, self.gateways))
        late = day.fleet.late(day.troubles)
        for gateway in self.gateways:
            if gateway.index not in late:
                gateway.start()

    def store_at(self, address: str) -> SimStore:
        return self.by_address[address]

    def run(self) -> Verdict:
        """Play the day to its end and judge it. Raises RuntimeError where it does not come to an end."""
        self.play()
        return self.verdict()

    @cached_property
    def passed(self) -> Passed:
        """What passed, once the day was played."""
        return join(self.records)

    def verdict(self) -> Verdict:
        return judge(self.passed, self.day, self.seed)

    def play(self) -> None:
        arrivals = arrivals_of(self.day, self.seed)
        lead = 1_000_000  # all know the list before the first task
        self._next(arrivals, 0, START + lead)
        for trouble in self.day.troubles:
            if VERBS[trouble.verb][0] is not LOAD:
                self.engine.at(START + lead + int(trouble.at * 1e6), self._cause, trouble)
        longest = max(c.cut_off_ms for c in self.day.categories) / 1000
        end = START + lead + int((self.day.seconds + longest + AFTER) * 1e6)
        if not self.engine.run(end, MOST_BASE + MOST_EVENTS * len(arrivals)):
            raise NoEnd(f"the day did not end within {self.engine.events} events")

    def _next(self, arrivals: list[Any], index: int, start: int) -> None:
        """One arrival at a time stands in the engine's heap."""
        if index < len(arrivals):
            self.engine.at(start + int(arrivals[index].at * 1e6), self._arrive, arrivals, index, start)

    def _arrive(self, arrivals: list[Any], index: int, start: int) -> None:
        self.clients.first_try(arrivals[index])
        self._next(arrivals, index + 1, start)

    def leave(self, folder: Path) -> None:
        """Leave the day as a rehearsal on sockets does, for `tansykeel audit`."""
        (folder / "records").mkdir(parents=True, exist_ok=True)
        (folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        (folder / "seed").write_text(str(self.seed))
        recorder = Recorder(folder / "records" / "emulator.rec")
        for record in self.records:
            recorder.add(record)
        recorder.close()

    def digest(self) -> str:
        """Of all that passed, in its order: the same for one script, seed and module, wherever it is played."""
        made = hashlib.sha256()
        encode = msgspec.msgpack.Encoder().encode
        for record in self.records:
            made.update(encode(record))
        return made.hexdigest()

    # Stage: what troubles can do

    def _cause(self, trouble: Trouble) -> None:
        self.record(TroubleRecord(self.engine.now, trouble.verb, trouble.detail | {"for_s": trouble.for_s}))
        for steps in steps_of(self, trouble):
            self._walk(steps)

    def _walk(self, steps: Steps) -> None:
        for wait in steps:
            if wait:
                self.engine.after(int(wait * 1e6), self._walk, steps)
                return

    def now(self) -> float:
        return self.engine.now / 1e6

    def chance(self) -> float:
        return float(self._chance.random())

    def store(self, index: int) -> SimStore:
        return self.stores[index]

    def alive(self, store: SimStore) -> bool:
        return store.alive

    def store_verb(self, store: SimStore, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        store.verb(verb, for_s, detail)

    def kill_store(self, store: SimStore) -> None:
        store.alive = False
        store.down()

    def restart_store(self, store: SimStore, down_s: float) -> float:
        store.down()
        self.engine.after(int(down_s * 1e6), store.boot, True)
        return down_s + 1e-6

    def new_store(self, index: int) -> None:
        number = sum(store.index == index for store in self.by_address.values())
        self.stores[index] = self._store(f"store-{index}-{number}", index, cold=True)

    def _store(self, name: str, index: int, cold: bool) -> SimStore:
        store = SimStore(self, name, index, cold)
        self.by_address[store.address] = store
        return store

    def list_store(self, store: SimStore, state: str) -> None:
        self._list(store, state=state)

    def _list(self, *stores: SimStore, state: str = "ready") -> None:
        self.list.change(
            [
                {
                    "name": s.name,
                    "address": s.address,
                    "zone": s.zone,
                    "shard": s.index,
                    "state": state,
                    "boot": s.behaviour.boot_id,
                    "age": self.engine.now - s.started if s.started else 0,
                }
                for s in stores
            ]
        )

    def list_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        self.list.trouble(verb, for_s, detail)

    def stop_edge(self, index: int) -> bool:
        gateway = self.gateways[index]
        if not gateway.alive or gateway.stalled or index in self.stopped:
            return False
        self.stopped[index] = self.engine.now
        gateway.stall()
        return True

    def let_edge_go_on(self, index: int) -> None:
        gateway, at = self.gateways[index], self.stopped.pop(index)
        self.record(Stood(at, gateway.name, self.engine.now))
        if gateway.alive and gateway.stalled:
            gateway.go_on()

    def kill_edge(self, index: int) -> None:
        gateway = self.gateways[index]
        if gateway.alive:
            self.record(Killed(self.engine.now, gateway.name))
            gateway.kill()

    def end_edge(self, index: int) -> float:
        gateway = self.gateways[index]
        if gateway.alive:
            gateway.tell(gateway.life, gateway.end)
        return (ENDS + 2 * GONE) / 1e6

    def link_verb(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        ways = ways_of(detail, self.day.fleet.edge_zones())
        self.faults.cause(self.engine.now, verb, int(for_s * 1e6), detail, ways)

    def start_edge(self, index: int) -> None:
        gateway = self.gateways[index]
        if not gateway.alive and not gateway.ending:
            gateway.start()
