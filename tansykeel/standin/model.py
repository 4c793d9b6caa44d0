"""A store's behaviour without I/O: cores, slots, waiting room, warm-up, pauses, put-off writes, recent keys, faults.

Driven by whoever holds the clock (a socket program, an emulator): `offer`, `cancel`, `advance(now)` and `due()`.
Times are milliseconds. Work is milliseconds of one core at speed 1. Jobs in work share the cores evenly, which is
kept as one virtual clock: a job ends when that clock has gone on by its work.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from tansykeel.settings.shape import Shape, borne, warmth

COLD_STEP = 20.0  # ms: while it warms, power is worked out anew this often
NEVER = float("inf")


class Job:
    __slots__ = ("handle", "units", "writes", "key", "number", "work", "state")

    def __init__(self, handle: Any, units: float, writes: bool, key: Any, number: int) -> None:
        self.handle, self.units, self.writes, self.key, self.number = handle, units, writes, key, number
        self.work, self.state = 0.0, "new"  # new, waiting, working, done, dropped


class Faults:
    """Troubles in force; each ends at its time."""

    def __init__(self) -> None:
        self.until: dict[str, tuple[float, float]] = {}  # name: end, how much

    def put(self, name: str, end: float, how_much: float) -> None:
        self.until[name] = end, how_much

    def get(self, name: str, now: float, usual: float) -> float:
        end, how_much = self.until.get(name, (0.0, usual))
        return how_much if now < end else usual

    def next_end(self, now: float) -> float:
        return min((end for end, _ in self.until.values() if end > now), default=NEVER)


class Model:
    """`uniform` and `normal` draw numbers: 0 to 1, and around 0 with spread 1."""

    def __init__(
        self, shape: Shape, now: float, cold: bool, uniform: Callable[[], float], normal: Callable[[], float]
    ) -> None:
        self.shape, self.uniform, self.normal = shape, uniform, normal
        self.faults = Faults()
        self.at, self.born, self.cold = now, now, cold
        self.warmed = 0.0  # ms by which work done has brought the warm-up forward
        self.virtual, self.count = 0.0, 0
        self.working: list[tuple[float, int, Job]] = []  # by end on the virtual clock
        self.waiting: deque[Job] = deque()
        self.recent: deque[Any] = deque(maxlen=max(shape.remembers, 1))
        self.put_off, self.flush_at = 0.0, NEVER
        self.paused_until = 0.0
        self.pause_at = self._next_pause(now)
        self.arrived: deque[tuple[float, float]] = deque()  # while cold: when, units
        self.fallen = False

    @property
    def full_units(self) -> float:
        """Units a second when warm and well."""
        return self.shape.cores * self.shape.speed * 1000 / self.shape.unit_ms

    def warm(self, now: float) -> float:
        if not self.cold:
            return 1.0
        part = warmth(now - self.born + self.warmed, self.shape.cold_share, self.shape.cold_s * 1000)
        if part >= 1.0:
            self.cold = False
        return part

    def offer(self, now: float, job: Job) -> str:
        """Take a job: 'taken', 'full' or 'error' (unseen work: none). What ended before must be fetched first."""
        self._count_cold(now, job.units)
        if self.fallen:
            return "full"
        if self.uniform() < self.faults.get("errors", now, 0.0):
            return "error"
        if self.faults.get("full", now, 0.0) or len(self.waiting) >= self.shape.queue:
            return "full"
        work = job.units * self.shape.unit_ms * (self.shape.write_cost if job.writes else 1.0)
        work *= max(1 + self.shape.noise * self.normal(), 0.2)
        if job.number == 0 and job.key in self.recent:
            work *= 1 - self.shape.seek
        self.recent.append(job.key)
        if self.uniform() < self.faults.get("heavy_share", now, 0.0):
            work *= self.faults.get("heavy", now, 1.0)
        if job.writes and self.shape.defer:
            self.put_off += work * self.shape.defer
            work *= 1 - self.shape.defer
            self.flush_at = min(self.flush_at, now + self.shape.flush_s * 1000)
        job.work, job.state = work, "waiting"
        self.waiting.append(job)
        self._admit()
        return "taken"

    def cancel(self, job: Job) -> bool:
        """Stop a job where this store does; False if its work goes on."""
        if job.state == "waiting" and self.shape.cancel in ("queued", "all"):
            self.waiting.remove(job)
        elif job.state == "working" and self.shape.cancel == "all":
            self.working = [entry for entry in self.working if entry[2] is not job]
            heapq.heapify(self.working)
            self._admit()
        else:
            return False
        job.state = "dropped"
        return True

    def advance(self, now: float) -> list[Job]:
        """Go on to `now`; the jobs that ended, in order."""
        done: list[Job] = []
        while True:
            rate = self._rate(self.at)
            end = max(min(now, self._next_change()), self.at)
            if self.working and rate > 0:
                ends_at = self.at + (self.working[0][0] - self.virtual) / rate
                if ends_at <= end:
                    self.at = max(ends_at, self.at)
                    self.virtual, _, job = heapq.heappop(self.working)
                    job.state = "done"
                    if job.handle is not None:
                        done.append(job)
                    self._admit()
                    continue
            if self.shape.warm_by == "work" and self.cold:
                self.warmed += min(len(self.working) / self.shape.cores, 1.0) * (end - self.at)
            self.virtual += rate * (end - self.at)
            self.at = end
            if self._next_change() <= end:  # also one that is due just now: who asks `due` must get on
                self._change()
            elif end >= now:
                return done

    def due(self) -> float:
        """When `advance` has something to do next; NEVER while nothing is in hand."""
        if not self.working:
            return self.flush_at
        rate = self._rate(self.at)
        ends_at = self.at + (self.working[0][0] - self.virtual) / rate if rate > 0 else NEVER
        return max(min(ends_at, self._next_change()), self.at)

    def load(self) -> tuple[float, float]:
        """Jobs waiting and in work."""
        return float(len(self.waiting)), float(len(self.working))

    def _rate(self, now: float) -> float:
        """By how much the virtual clock goes on in a ms: what one job in work gets."""
        if now < self.paused_until or self.faults.get("stand", now, 0.0):
            return 0.0
        speed = self.shape.speed / self.faults.get("slow", now, 1.0) * self.warm(now)
        speed *= 1 - self.faults.get("neighbour", now, 0.0)
        return speed * min(1.0, self.shape.cores / max(len(self.working), 1))

    def _next_change(self) -> float:
        changes = [self.faults.next_end(self.at), self.flush_at]
        if self.working:
            changes.append(self.paused_until if self.paused_until > self.at else self.pause_at)
            if self.cold:
                changes.append(self.at + COLD_STEP)
        return min(changes)

    def _change(self) -> None:
        if self.at >= self.flush_at:
            job = Job(None, 0.0, True, None, 0)
            job.work, self.put_off, self.flush_at = self.put_off, 0.0, NEVER
            self._work(job)
        if self.at >= self.pause_at:
            length = self.faults.get("pause_ms", self.at, self.shape.pause_ms)
            self.paused_until = self.at + length
            self.pause_at = self._next_pause(self.at + length)

    def _next_pause(self, now: float) -> float:
        every = self.faults.get("pause_every", now, self.shape.pause_every_s * 1000)
        return now + every * (0.5 + self.uniform()) if every else NEVER

    def pauses(self, now: float, end: float, every: float, length: float) -> None:
        """Stand still for `length` about each `every` ms, until `end`."""
        self.faults.put("pause_every", end, every)
        self.faults.put("pause_ms", end, length)
        self.pause_at = self._next_pause(now)

    def _admit(self) -> None:
        while self.waiting and len(self.working) < self.shape.slots:
            self._work(self.waiting.popleft())

    def _work(self, job: Job) -> None:
        job.state = "working"
        self.count += 1
        heapq.heappush(self.working, (self.virtual + job.work, self.count, job))

    def _count_cold(self, now: float, units: float) -> None:
        """All that arrives counts, also what is turned away; too much within the stated time and it falls."""
        span = self.shape.fall_s * 1000
        if not self.cold or self.warm(now) >= 1.0:
            return
        self.arrived.append((now, units))
        while self.arrived[0][0] <= now - span:
            self.arrived.popleft()
        age = now - self.born
        bearable = borne(self.shape, max(age - span, 0.0), max(age - span, 0.0) + span, self.full_units)
        if sum(u for _, u in self.arrived) > bearable * 1.02:
            self.fallen = True
