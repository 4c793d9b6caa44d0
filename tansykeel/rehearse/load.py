"""What the clients of a day ask for: first tries, drawn ahead and not waiting for answers. The same on any stage.

Each volume draws from streams of its own, so that another volume, or another store, does not shift its tasks.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy

from tansykeel.settings.day import Day, Trouble, Volumes, volume_names, volume_rate

ARRIVALS, TASKS, SHAPE = 0, 1, 2  # streams of a volume
# Streams of the clients' own chance, of the troubles', and of whom troubles of the load strike.
RETRIES, CHANCE, STRUCK = 10**6, 2 * 10**6, 5 * 10**6
MOST_TASKS = 2_000_000  # first tries of one day


class Arrival(NamedTuple):
    """One first try. `at`: seconds; `edges`: indices, the one it goes to first; `shard` -1: a new object."""

    at: float
    mark: int
    volume: str
    category: str
    key: int
    units: int
    edges: tuple[int, ...]
    shard: int
    patience: float  # seconds
    vanishes: bool
    reread: bool  # goes to a new object of the volume, wherever it was put


def stream(seed: int, *path: int) -> numpy.random.Generator:
    """A stream of its own for each path of numbers."""
    return numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, *path])))


class VolumeLoad:
    """One volume of a day: where it lies, which edges it uses, how much it asks for at any moment."""

    def __init__(self, day: Day, of: Volumes, number: int, name: str, index: int, seed: int) -> None:
        self.day, self.of, self.name, self.index, self.seed = day, of, name, index, seed
        draw = stream(seed, index, SHAPE)
        edges, stores = day.fleet.edges, day.fleet.stores
        self.edges = [int(e) for e in draw.permutation(edges)[: min(of.hosts or edges, edges)]]
        self.shards = [int(s) for s in draw.permutation(stores)[: min(of.stores or stores, stores)]]
        self.rate = volume_rate(day, of) / mean_units(day)  # tasks a second
        if draw.random() < of.busy:
            self.rate *= 1 + 2 * draw.random()
        self.surges = self._surges(draw, number)
        self.shift = day.load.shift_s * (0.5 + draw.random())

    def _surges(self, draw: numpy.random.Generator, number: int) -> list[tuple[float, float, float]]:
        """Start, end and tasks a second of each surge; only some volumes have any."""
        load, of = self.day.load, self.of
        surging = max(round(of.heavy * of.count), 1) if of.heavy else 0
        if number >= surging or not load.surges:
            return []
        all_surging = sum(max(round(v.heavy * v.count), 1) for v in self.day.volumes if v.heavy)
        mean = sum(load.surge_s) / 2
        extra = self.day.capacity() * load.surges / all_surging * load.surge_every_s / mean / mean_units(self.day)
        surges, at = [], load.surge_every_s * draw.random()
        while at < self.day.seconds:
            length = load.surge_s[0] + (load.surge_s[1] - load.surge_s[0]) * draw.random()
            surges.append((at, at + length, extra))
            at += load.surge_every_s * (0.5 + draw.random())
        return surges

    def struck(self, trouble: Trouble) -> bool:
        """Whether a load trouble makes this volume ask for more: some volumes, the same for one seed."""
        if trouble.verb == "plan_burst":
            return self.of.plan == trouble.detail["plan"]
        if trouble.verb in ("hot_key", "scan"):
            total = sum(v.count for v in self.day.volumes)
            chosen = stream(self.seed, STRUCK, round(trouble.at * 1000)).permutation(total)
            return self.index in chosen[: int(trouble.detail["volumes"])]
        return trouble.verb == "burst"

    def asks(self, at: float) -> float:
        """Tasks a second at a moment."""
        rate = self.rate
        for trouble in self.day.troubles:
            if trouble.at <= at < trouble.at + trouble.for_s and self.struck(trouble):
                if trouble.verb in ("hot_key", "scan"):
                    extra = self.day.capacity() * self.day.load.part * trouble.detail["share"]
                    rate += extra / mean_units(self.day) / max(trouble.detail["volumes"], 1)
                else:
                    rate *= trouble.detail["times"]
        return rate + sum(extra for start, end, extra in self.surges if start <= at < end)

    def lead(self, at: float, draw: numpy.random.Generator) -> tuple[int, ...]:
        """The edges in the order in which a task tries them: mostly the lead first, and the lead moves."""
        turn = int(at / self.shift) % len(self.edges)
        ring = self.edges[turn:] + self.edges[:turn]
        weights = numpy.exp(-self.day.load.skew * numpy.arange(len(ring)))
        first = int(numpy.searchsorted(numpy.cumsum(weights) / weights.sum(), draw.random()))
        return tuple(ring[first:] + ring[:first])

    def arrivals(self) -> list[Arrival]:
        day, load = self.day, self.day.load
        times, tasks = stream(self.seed, self.index, ARRIVALS), stream(self.seed, self.index, TASKS)
        moments = {0.0, *(s for surge in self.surges for s in surge[:2])}
        moments |= {m for t in day.troubles for m in (t.at, t.at + t.for_s)}
        most = max(self.asks(m) for m in moments) or 1e-9
        names = [c.name for c in day.categories]
        mix = numpy.array([load.mix.get(name, 0.0 if load.mix else 1.0) for name in names])
        sizes = [int(size) for size in load.sizes]
        parts = numpy.array(list(load.sizes.values()))
        made: list[Arrival] = []
        at, key, runs = 0.0, 0, 0
        while (at := at + times.exponential(1 / most)) < day.seconds and len(made) < MOST_TASKS:
            if times.random() * most > self.asks(at):
                continue
            category = day.categories[int(tasks.choice(len(names), p=mix / mix.sum()))]
            scanned = any(t.verb == "scan" and t.at <= at < t.at + t.for_s and self.struck(t) for t in day.troubles)
            fresh = category.name in load.fresh
            reread = not category.writes and bool(load.fresh) and tasks.random() < load.reread
            if runs <= 0 or fresh or scanned:
                key = self.index << 32 | int(tasks.integers(1 << 31))
                runs = int(tasks.integers(1, load.run + 1))
            runs -= 1
            units = sizes[int(tasks.choice(len(sizes), p=parts / parts.sum()))]
            shard = -1 if fresh else self.shards[key % len(self.shards)]
            patience = category.cut_off_ms / 1000 * day.clients.patience
            vanishes = False
            for trouble in day.troubles:
                if trouble.at <= at < trouble.at + trouble.for_s:
                    if trouble.verb == "give_up":
                        patience *= trouble.detail["patience"]
                    elif trouble.verb == "vanish":
                        vanishes = bool(tasks.random() < trouble.detail["share"])
            mark = self.index << 32 | len(made) + 1
            made.append(
                Arrival(
                    at,
                    mark,
                    self.name,
                    category.name,
                    key,
                    units,
                    self.lead(at, tasks),
                    shard,
                    patience,
                    vanishes,
                    reread,
                )
            )
        return made


def mean_units(day: Day) -> float:
    sizes = day.load.sizes
    return sum(float(size) * part for size, part in sizes.items()) / sum(sizes.values())


def volumes_of(day: Day, seed: int) -> list[VolumeLoad]:
    made: list[VolumeLoad] = []
    for of in day.volumes:
        for number, name in enumerate(volume_names(of)):
            made.append(VolumeLoad(day, of, number, name, len(made), seed))
    return made


def arrivals_of(day: Day, seed: int) -> list[Arrival]:
    """All first tries of a day in order of time."""
    return sorted(arrival for volume in volumes_of(day, seed) for arrival in volume.arrivals())
