"""The clients of a day in simulated time, with the habits that they have on sockets."""

from __future__ import annotations

from tansykeel.audit.records import Gave, Got, Sent
from tansykeel.emulator.gateway import Gateway
from tansykeel.emulator.scene import Scene
from tansykeel.emulator.ways import GatewayEnd, Line
from tansykeel.protocol.frames import Answer, TaskOf
from tansykeel.rehearse.habits import DELIVERED, LOST, Habits
from tansykeel.rehearse.load import RETRIES, Arrival, stream
from tansykeel.settings.records import CategoryOf

VANISH_AFTER = 20_000  # microseconds from a vanishing client's task to its end


class Try:
    __slots__ = ("arrival", "category", "tries", "first_at", "gateway", "client", "life")

    def __init__(
        self, arrival: Arrival, category: CategoryOf, tries: int, first_at: int, gateway: Gateway, client: str
    ) -> None:
        self.arrival, self.category, self.tries, self.first_at = arrival, category, tries, first_at
        self.gateway, self.client, self.life = gateway, client, gateway.life


class Clients:
    def __init__(self, scene: Scene, fleet: list[Gateway]) -> None:
        self.scene, self.engine, self.fleet = scene, scene.engine, fleet
        self.habits = Habits(scene.day.clients, stream(scene.seed, RETRIES, 0))
        self.categories = {c.name: c for c in scene.day.categories}
        self.grace = int(scene.day.rules.answer_grace_ms * 1000)
        self.open: dict[int, Try] = {}
        self.there: dict[tuple[str, str], Line] = {}
        self.made = 0

    def first_try(self, arrival: Arrival) -> None:
        self._try(self.habits.aimed(arrival), 0, self.engine.now)

    def _try(self, arrival: Arrival, tries: int, first_at: int) -> None:
        category, now = self.categories[arrival.category], self.engine.now
        left = first_at + int(category.cut_off_ms * 1000) - now
        patience = min(int(arrival.patience * 1e6), left)
        self.made += 1
        task = 1 << 40 | self.made
        edges = map(self.fleet.__getitem__, arrival.edges) if patience > 0 else ()
        gateway = next((g for g in edges if g.alive), None)
        self.scene.record(
            Sent(
                now,
                task,
                arrival.mark,
                tries,
                "client-0",
                gateway.name if gateway else "",
                arrival.volume,
                arrival.category,
                arrival.key,
                float(arrival.units),
                arrival.shard,
                max(patience, 0),
            )
        )
        if gateway is None:
            self.scene.record(Gave(now, task, "no edge"))
            return
        size = arrival.units * self.scene.day.gateway.unit_bytes
        request = TaskOf(
            arrival.volume,
            arrival.category,
            arrival.key,
            size,
            arrival.shard,
            patience,
            arrival.mark,
            tries > 0,
            size if category.writes else 0,
        )
        vanishes = arrival.vanishes and tries == 0
        client = f"vanishing-{task}" if vanishes else f"client-{arrival.key % self.scene.day.clients.connections}"
        line = self.there.setdefault((client, gateway.name), Line()) if not vanishes else Line()
        way = self.scene.ways.client() + self.scene.ways.wire_time(request.body)
        self.engine.at(
            line.arrival(now + way), gateway.tell, gateway.life, gateway.task, client, task, request, not vanishes
        )
        if vanishes:
            self.engine.after(VANISH_AFTER, self._vanish, gateway, gateway.life, client, task)
            return
        self.open[task] = Try(arrival, category, tries, first_at, gateway, client)
        self.engine.after(patience + self.grace, self._patience_over, task)

    def _vanish(self, gateway: Gateway, life: int, client: str, task: int) -> None:
        self.scene.record(Gave(self.engine.now, task, "vanished"))
        self.engine.after(self.scene.ways.client(), gateway.tell, life, gateway.client_gone, client)

    def answer_on_its_way(self, gateway: GatewayEnd, task: int, answer: Answer) -> None:
        held = self.open.get(task)
        size = 0
        if held and answer.result == DELIVERED and not held.category.writes:
            size = held.arrival.units * self.scene.day.gateway.unit_bytes
        self.engine.after(
            self.scene.ways.client() + self.scene.ways.wire_time(size),
            self._answered,
            gateway,
            gateway.life,
            task,
            answer,
        )

    def _answered(self, gateway: GatewayEnd, life: int, task: int, answer: Answer) -> None:
        if gateway.life != life:
            return  # the connection ended before it came through
        self.scene.record(Got(self.engine.now, task, answer.result, answer.come_back, False, answer.reason))
        held = self.open.pop(task, None)
        if held is None:
            return  # too late, or a second one: the audit judges
        if answer.result == DELIVERED:
            self.habits.delivered(held.arrival, held.category, answer.shard)
        else:
            self._again(held, answer.result, answer.come_back / 1e6)

    def edge_lost(self, gateway: GatewayEnd) -> None:
        for task in [task for task, held in self.open.items() if held.gateway is gateway]:
            held = self.open.pop(task)
            self.scene.record(Gave(self.engine.now, task, "edge lost"))
            self._again(held, LOST, 0.0)

    def _patience_over(self, task: int) -> None:
        held = self.open.pop(task, None)
        if held is None:
            return
        self.scene.record(Gave(self.engine.now, task, "patience"))
        gateway = held.gateway
        self.engine.after(self.scene.ways.client(), gateway.tell, held.life, gateway.cancelled, held.client, task)

    def _again(self, held: Try, result: int, come_back: float) -> None:
        wait = self.habits.again(held.category, held.tries, result, come_back)
        if wait is not None:
            self.engine.after(int(wait * 1e6), self._try, held.arrival, held.tries + 1, held.first_at)
