"""What a store does with hand-offs, without I/O: the model, what it writes down, use by gateway, marks, troubles.

A socket program or an emulator holds the clock, the connections and the bytes; both play this.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tansykeel.audit.records import Arrived, Ended, Fell, Ran, Record, Told, Up
from tansykeel.protocol.frames import HandOffOf
from tansykeel.settings.shape import Shape
from tansykeel.standin.model import Job, Model


class Work:
    """One hand-off at the store. `seat`: whoever brought it, for the holder of the connections."""

    __slots__ = ("seat", "edge", "request", "job", "lost")

    def __init__(self, seat: Any, edge: str, request: HandOffOf) -> None:
        self.seat, self.edge, self.request = seat, edge, request
        self.job: Job | None = None
        self.lost = False  # nobody will hear its outcome


class Use:
    """Units served for each volume by gateway, told to the others late."""

    def __init__(self) -> None:
        self.late, self.late_until = 0.0, 0.0  # ms
        self.coming: deque[tuple[float, str, str, float]] = deque()
        self.total: dict[str, float] = {}
        self.by_edge: dict[tuple[str, str], float] = {}
        self.told: dict[tuple[str, str], float] = {}

    def served(self, now: float, volume: str, edge: str, units: float) -> None:
        self.coming.append((now, volume, edge, units))

    def elsewhere(self, now: float, volume: str, edge: str) -> int:
        late = self.late if now < self.late_until else 0.0
        while self.coming and self.coming[0][0] <= now - late:
            _, v, e, units = self.coming.popleft()
            self.total[v] = self.total.get(v, 0.0) + units
            self.by_edge[v, e] = self.by_edge.get((v, e), 0.0) + units
        others = self.total.get(volume, 0.0) - self.by_edge.get((volume, edge), 0.0)
        new = int(others - self.told.get((volume, edge), 0.0))
        self.told[volume, edge] = self.told.get((volume, edge), 0.0) + new
        return new


class Marks(Protocol):
    """Which stamped pieces of work a group of stores has done."""

    def first(self, group: str, mark: int, window_us: int, now_us: int) -> bool: ...


class KeptMarks:
    """Marks in memory, shared by the stores that are given the same one."""

    def __init__(self) -> None:
        self.seen: dict[tuple[str, int], int] = {}

    def first(self, group: str, mark: int, window_us: int, now_us: int) -> bool:
        before = self.seen.get((group, mark))
        if before is not None and now_us - before < window_us:
            return False
        self.seen[group, mark] = now_us
        return True


class Behaviour:
    """`tell(work, how, elsewhere)` sends an outcome; `done(work)` does a write's effect. `clock` is in microseconds."""

    def __init__(
        self,
        name: str,
        shard: int,
        zone: int,
        shape: Shape,
        uniform: Callable[[], float],
        normal: Callable[[], float],
        marks: Marks,
        clock: Callable[[], int],
        record: Callable[[Record], None],
        tell: Callable[[Work, str, int], None],
        done: Callable[[Work], None] = lambda work: None,
    ) -> None:
        self.name, self.shard, self.zone, self.shape = name, shard, zone, shape
        self.uniform, self.normal, self.marks, self.clock = uniform, normal, marks, clock
        self.record, self.tell, self.done = record, tell, done
        self.use = Use()
        self.draining = self.cold_start = False
        self.boot_id = self.born = 0

    def boot(self, boot_id: int, cold: bool) -> None:
        """Start, or start again: nothing is in hand."""
        now = self.clock()
        self.boot_id, self.born, self.cold_start, self.draining = boot_id, now, cold, False
        self.model = Model(self.shape, now / 1000, cold, self.uniform, self.normal)
        self.record(Up(now, self.name, boot_id, self.shard, self.zone, cold, self.model.full_units))

    def age(self) -> int:
        """Microseconds since a cold start; 0: long past."""
        return self.clock() - self.born if self.cold_start else 0

    def take(self, work: Work) -> None:
        request, now = work.request, self.clock()
        self.record(
            Arrived(
                now,
                self.name,
                self.boot_id,
                work.edge,
                request.task,
                request.number,
                request.volume,
                request.key,
                request.units,
            )
        )
        self.advance()
        if request.shard not in (-1, self.shard):
            return self._tell(work, "moot")
        if self.draining:
            return self._tell(work, "full")
        work.job = Job(work, request.units, request.writes, (request.volume, request.key), request.number)
        was_up = not self.model.fallen
        taken = self.model.offer(now / 1000, work.job)
        if self.model.fallen and was_up:
            self.record(Fell(now, self.name))
        if taken != "taken":
            self._tell(work, taken)

    def cancel(self, work: Work) -> None:
        """The edge lets it go. If its work goes on, its outcome is told when that ends."""
        self.advance()
        self.record(Ended(self.clock(), self.name, work.request.task, work.request.number))
        if work.job is None or self.model.cancel(work.job):
            self._tell(work, "cancelled")

    def lose(self, work: Work) -> None:
        """The connection is gone: nobody will hear; what runs goes on where the store is like that."""
        work.lost = True
        now = self.clock()
        self.record(Ended(now, self.name, work.request.task, work.request.number))
        if work.job is None or self.model.cancel(work.job):
            self.record(Told(now, self.name, work.request.task, work.request.number, "lost"))

    def advance(self) -> None:
        for job in self.model.advance(self.clock() / 1000):
            self._ended(job.handle)

    def _ended(self, work: Work) -> None:
        request, now = work.request, self.clock()
        effect = True
        if request.repeat == "stamped":
            effect = self.marks.first(self._group(request), request.mark, request.window, now)
        if effect:
            self.done(work)
        self.record(Ran(now, self.name, request.task, request.number, request.mark, effect))
        if work.lost:
            self.record(Told(now, self.name, request.task, request.number, "lost"))
            return
        self.use.served(now / 1000, request.volume, work.edge, request.units)
        self._tell(work, "delivered")

    def _group(self, request: HandOffOf) -> str:
        return {"all": "all", "zone": f"zone-{self.zone}", "shard": f"shard-{self.shard}"}[request.scope]

    def _tell(self, work: Work, how: str) -> None:
        now = self.clock()
        self.record(Told(now, self.name, work.request.task, work.request.number, how))
        elsewhere = self.use.elsewhere(now / 1000, work.request.volume, work.edge) if how == "delivered" else 0
        self.tell(work, how, elsewhere)

    def trouble(self, verb: str, for_s: float, detail: dict[str, Any]) -> bool:
        """Begin one of the troubles that lie in the store itself; False for any other."""
        self.advance()
        now = self.clock() / 1000
        end, faults = now + for_s * 1000, self.model.faults
        match verb:
            case "slow":
                faults.put("slow", end, detail["factor"])
            case "fast_errors":
                faults.put("errors", end, detail["share"])
            case "neighbour":
                faults.put("neighbour", end, detail["share"])
            case "full" | "stand":
                faults.put(verb, end, 1.0)
            case "heavy_tail":
                faults.put("heavy", end, detail["factor"])
                faults.put("heavy_share", end, detail["share"])
            case "pauses":
                self.model.pauses(now, end, detail["every_s"] * 1000, detail["pause_ms"])
            case "report_late":
                self.use.late, self.use.late_until = detail["late_s"] * 1000, end
            case "drain":
                self.draining = True
            case _:
                return False
        return True
