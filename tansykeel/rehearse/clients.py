"""The clients of a day over real sockets: sends its tasks when they are due, tries again as clients do, writes down
what was sent and heard. One process plays every n-th task of the day.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tansykeel.audit.records import Gave, Got, Lagged, Recorder, Sent, now_us
from tansykeel.protocol.codec import Codec, Event, Frame, Piece
from tansykeel.protocol.frames import Answer, Cancel, Goodbye, Hello, TaskOf
from tansykeel.rehearse.habits import DELIVERED, LOST, Habits
from tansykeel.rehearse.load import RETRIES, Arrival, arrivals_of, stream
from tansykeel.settings.day import Day
from tansykeel.settings.records import CategoryOf
from tansykeel.standin import content
from tansykeel.transport.leash import leash
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import connect

RECONNECT = 0.2  # seconds between tries to reach an edge
CONNECT_WITHIN = 0.5
LOOK = 0.01  # seconds between looks at itself
LAGS = 30_000  # microseconds by which a look comes late when the process stood still


@dataclass(eq=False, slots=True)
class Try:
    """One try of a piece of work on its way."""

    arrival: Arrival
    category: CategoryOf
    tries: int
    first_at: float  # loop time of the first try
    line: Line
    timer: asyncio.TimerHandle | None = None
    answer: Answer | None = None
    parts: list[bytes] | None = None


class Line:
    """One connection to an edge, opened again when it is lost."""

    def __init__(self, clients: LoadClients, edge: str, address: str) -> None:
        self.clients, self.edge, self.address = clients, edge, address
        self.link: Link | None = None
        self.open: dict[int, Try] = {}
        self.keep = True
        self.told_off = False  # the edge said that it takes no further tasks

    @property
    def connected(self) -> bool:
        return self.link is not None and not self.link.lost and not self.link.closing

    @property
    def up(self) -> bool:
        return self.connected and not self.told_off

    async def stay_connected(self) -> None:
        while self.keep:
            if not self.connected:
                try:
                    sock = await connect(self.address, CONNECT_WITHIN)
                except (OSError, TimeoutError):
                    await asyncio.sleep(RECONNECT)
                    continue
                self.link = Link(self.clients.hub, sock, Codec("edge"), self.clients.hello, self._event, self._lost)
                self.told_off = False
            await asyncio.sleep(RECONNECT)

    def _event(self, link: Link, event: Event) -> None:
        held = self.open.get(event.stream)
        if isinstance(event, Frame) and isinstance(event.record, Goodbye):
            self.told_off = True
            return
        if held is None:
            if not isinstance(event, Piece) and isinstance(answer := event.record, Answer):
                self.clients.answered_again(answer, event.stream)
            return
        if isinstance(event, Piece):
            if held.parts is not None:
                held.parts.append(event.data)
                if event.last:
                    self.clients.answered(held, event.stream)
        elif isinstance(event.record, Answer):
            held.answer, held.parts = event.record, []
            if not event.record.body:
                self.clients.answered(held, event.stream)

    def _lost(self, link: Link, why: str) -> None:
        lost, self.open = self.open, {}
        for task, held in lost.items():
            self.clients.lost(held, task)


class LoadClients:
    """`number` of `count` client processes; `edges` are names and addresses in the order of the day's indices."""

    def __init__(
        self, day: Day, seed: int, number: int, count: int, edges: list[tuple[str, str]], record: Path
    ) -> None:
        self.day, self.number, self.count = day, number, count
        self.edges = edges
        self.record = Recorder(record)
        self.habits = Habits(day.clients, stream(seed, RETRIES, number))
        self.hub = Hub(Limits(stall=60.0))
        self.hello = Hello(1, "client", f"client-{number}", os.getpid())
        self.lines: list[list[Line]] = [
            [Line(self, name, address) for _ in range(day.clients.connections)] for name, address in edges
        ]
        self.categories = {c.name: c for c in day.categories}
        self.made = 0
        self.under_way = 0
        self.vanishing: set[asyncio.Task[None]] = set()
        self.arrivals = [a for index, a in enumerate(arrivals_of(day, seed)) if index % count == number]

    async def play(self, start_us: int) -> None:
        """Send every task at its moment after `start_us` of the monotonic clock; ends when all are over."""
        loop = asyncio.get_running_loop()
        self.hub.start()
        keepers = [loop.create_task(line.stay_connected()) for lines in self.lines for line in lines]
        flushing, watching = loop.create_task(self._flush()), loop.create_task(self._watch_itself())
        start = loop.time() + (start_us - now_us()) / 1e6
        for arrival in self.arrivals:
            if (wait := start + arrival.at - loop.time()) > 0.0005:
                await asyncio.sleep(wait)
            self.first_try(arrival, loop.time())
        end = loop.time() + max(c.cut_off_ms for c in self.day.categories) / 1000 + 1.0
        while (self.under_way or self.vanishing) and loop.time() < end:
            await asyncio.sleep(0.02)
        for lines in self.lines:
            for line in lines:
                line.keep = False
        for task in [*keepers, flushing, watching]:
            task.cancel()
        await self.hub.stop()
        self.record.close()

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.record.flush()

    async def _watch_itself(self) -> None:
        """Guards against a client that is starved and takes its own lateness for the gateway's."""
        while True:
            before = now_us()
            await asyncio.sleep(LOOK)
            if now_us() - before > LOOK * 1e6 + LAGS:
                self.record.add(Lagged(before, self.hello.name, now_us()))

    # A piece of work

    def first_try(self, arrival: Arrival, now: float) -> None:
        self.under_way += 1
        self._try(self.habits.aimed(arrival), 0, now)

    def _try(self, arrival: Arrival, tries: int, first_at: float) -> None:
        category = self.categories[arrival.category]
        now = asyncio.get_running_loop().time()
        patience = min(arrival.patience, first_at + category.cut_off_ms / 1000 - now)
        line = self._line(arrival)
        task = self._id()
        if line is None or patience <= 0:
            self._sent(arrival, tries, "", task, max(patience, 0))
            self.record.add(Gave(now_us(), task, "no edge"))
            self.under_way -= 1
            return
        if arrival.vanishes and tries == 0:
            self.under_way -= 1
            playing = asyncio.get_running_loop().create_task(self._vanish(arrival, line, task, patience))
            self.vanishing.add(playing)
            playing.add_done_callback(self.vanishing.discard)
            return
        held = Try(arrival, category, tries, first_at, line)
        line.open[task] = held
        assert line.link is not None
        self._sent(arrival, tries, line.edge, task, patience)
        request, data = self._request(arrival, category, tries, patience)
        line.link.send(task, request)
        if data:
            line.link.send_body(task, [data])
        held.timer = asyncio.get_running_loop().call_later(
            patience + self.day.rules.answer_grace_ms / 1000, self._patience_over, held, task
        )

    def _request(self, arrival: Arrival, category: CategoryOf, tries: int, patience: float) -> tuple[TaskOf, bytes]:
        size = arrival.units * self.day.gateway.unit_bytes
        data = content.body(arrival.key, arrival.mark, size) if category.writes else b""
        return TaskOf(
            arrival.volume,
            arrival.category,
            arrival.key,
            size,
            arrival.shard,
            int(patience * 1e6),
            arrival.mark,
            tries > 0,
            len(data),
        ), data

    def _sent(self, arrival: Arrival, tries: int, edge: str, task: int, patience: float) -> None:
        self.record.add(
            Sent(
                now_us(),
                task,
                arrival.mark,
                tries,
                self.hello.name,
                edge,
                arrival.volume,
                arrival.category,
                arrival.key,
                float(arrival.units),
                arrival.shard,
                int(patience * 1e6),
            )
        )

    def _id(self) -> int:
        self.made += 1
        return (self.number + 1) << 40 | self.made

    def _line(self, arrival: Arrival) -> Line | None:
        """A connection to the first of the volume's edges that can be reached; one key always takes the same, so
        that the order in which its tasks are sent is the order in which they are taken."""
        for edge in arrival.edges:
            if any(line.up for line in self.lines[edge]):
                line = self.lines[edge][arrival.key % len(self.lines[edge])]
                return line if line.up else next(other for other in self.lines[edge] if other.up)
        return None

    async def _vanish(self, arrival: Arrival, like: Line, task: int, patience: float) -> None:
        """A client of its own that goes away in the middle of its body, or at once where there is none."""
        category = self.categories[arrival.category]
        request, data = self._request(arrival, category, 0, patience)
        try:
            sock = await connect(like.address, CONNECT_WITHIN)
        except (OSError, TimeoutError):
            self._sent(arrival, 0, "", task, patience)
            self.record.add(Gave(now_us(), task, "no edge"))
            return
        gone: Callable[[Link, str], None] = lambda link, why: None  # noqa: E731
        link = Link(self.hub, sock, Codec("edge"), Hello(1, "client", "vanishing"), lambda link, event: None, gone)
        self._sent(arrival, 0, like.edge, task, patience)
        link.send(task, request)
        if len(data) > 1:
            link.outgoing.body(task, [data])
            half = link.outgoing.take(1)  # frames and one chunk at most, in place of the whole body
            link.outgoing.clear()
            await asyncio.get_running_loop().sock_sendall(sock, b"".join(half)[: -(len(data) % 4096 or 1)])
        await asyncio.sleep(0.02)
        self.record.add(Gave(now_us(), task, "vanished"))
        link.abort("vanished", reset=True)

    # Its end

    def answered(self, held: Try, task: int) -> None:
        del held.line.open[task]
        if held.timer:
            held.timer.cancel()
        answer, arrival = held.answer, held.arrival
        assert answer is not None
        wrong = False
        if answer.result == DELIVERED:
            if not held.category.writes:
                size = arrival.units * self.day.gateway.unit_bytes
                wrong = not content.fits(b"".join(held.parts or []), arrival.key, size)
            self.habits.delivered(arrival, held.category, answer.shard)
        self.record.add(Got(now_us(), task, answer.result, answer.come_back, wrong, answer.reason))
        if answer.result == DELIVERED:
            self.under_way -= 1
        else:
            self._again(held, answer.result, answer.come_back / 1e6)

    def answered_again(self, answer: Answer, task: int) -> None:
        """An answer to a task that is over here: too late, or a second one. The audit judges."""
        self.record.add(Got(now_us(), task, answer.result, answer.come_back, False, answer.reason))

    def lost(self, held: Try, task: int) -> None:
        """The edge is gone with the task: a client may try it again elsewhere where that does no harm."""
        if held.timer:
            held.timer.cancel()
        self.record.add(Gave(now_us(), task, "edge lost"))
        self._again(held, LOST, 0.0)

    def _patience_over(self, held: Try, task: int) -> None:
        if held.line.open.pop(task, None) is None:
            return
        self.record.add(Gave(now_us(), task, "patience"))
        if held.line.up and held.line.link:
            held.line.link.drop_body(task)
            held.line.link.send(task, Cancel())
        self.under_way -= 1

    def _again(self, held: Try, result: int, come_back: float) -> None:
        wait = self.habits.again(held.category, held.tries, result, come_back)
        if wait is None:
            self.under_way -= 1
        else:
            asyncio.get_running_loop().call_later(wait, self._try, held.arrival, held.tries + 1, held.first_at)


async def play_file(path: Path, ready: Callable[[], None]) -> None:
    """Play what the runner wrote: the day's file and who is who. `ready` is called once it only has to be let go."""
    told = json.loads(path.read_text())
    day = msgspec.convert(told["day"], Day)
    clients = LoadClients(
        day,
        told["seed"],
        told["number"],
        told["count"],
        [(name, address) for name, address in told["edges"]],
        Path(told["record"]),
    )
    leash(lambda: os._exit(1))
    ready()
    while not (go := Path(told["go"])).exists():
        await asyncio.sleep(0.02)
    await clients.play(int(go.read_text()))
