"""Gateways that watch each other and agree on views, in simulated time: what control costs each of them.

The bytes of each gateway are counted, in and out, with the header of a datagram for each message; the busiest is a
voter. Nobody dies while bytes are counted; deaths are played by another experiment.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from statistics import median
from time import process_time
from typing import Any

from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment
from tansykeel.cluster.messages import CODEC
from tansykeel.emulator.cluster_simulation import HEADER, Trial, Watchers

GATEWAYS = (50, 100, 200, 400, 620)
DEATH_GATEWAYS = (25, 50, 100, 200, 400)  # of 620 one play takes a quarter of an hour
MEMORY_GATEWAYS = (25, 50, 100, 150, 200)  # counting each allocation makes a play several times slower
MEMORY_SECONDS = 8
SECONDS = 60  # of simulated time; bytes are counted in its second half
DEATHS = 3
QUIET_REPETITIONS, REPETITIONS = 2, 3
FIRST_SEED = 1
MICROSECONDS = 1e6
MECHANISM = "agreed views: gateways watch each other, five voters grant leases"
HOW = "simulated time (`fleet watch`), leases of 4 s, no loss"


def _series(
    name: str, aspect: Aspect, quantity: str, unit: str, figure: str, figure_unit: str, factor: float, bound: str
) -> SeriesSpec:
    return SeriesSpec(
        name=name,
        role=Role.GATEWAY_CONTROL,
        aspect=aspect,
        quantity=quantity,
        unit=unit,
        grows_by="gateways",
        mechanism=MECHANISM,
        figure=figure,
        figure_unit=figure_unit,
        factor=factor,
        bound=bound,
        how=HOW,
    )


MEDIAN_BYTES = _series(
    "views-bytes-median",
    Aspect.MESSAGES,
    "control of the median gateway",
    "bytes/s",
    "median gateway",
    "bytes/s",
    1,
    "",
)
BUSIEST_BYTES = _series(
    "views-bytes-busiest",
    Aspect.MESSAGES,
    "control of the busiest gateway, a voter",
    "bytes/s",
    "busiest gateway",
    "bytes/s",
    1,
    "gateway-control-bytes",
)
BUSIEST_PROCESSOR = _series(
    "views-processor-busiest",
    Aspect.PROCESSOR,
    "processor time of control, busiest gateway",
    "us/s",
    "busiest gateway",
    "% of a core",
    1e-4,
    "gateway-control-processor",
)
DEATH_TO_VIEW = _series(
    "views-death-to-view",
    Aspect.STATE,
    "from a death to the view without it, median over gateways and deaths",
    "s",
    "a dead gateway is out of the view",
    "s",
    1,
    "primary-change",
)

MEMORY = _series(
    "views-memory",
    Aspect.MEMORY,
    "memory of one gateway's control, in the mean over all",
    "bytes",
    "mean gateway",
    "bytes",
    1,
    "gateway-control-memory",
)


class CountingWatchers(Watchers):
    """Counts what each gateway sends, receives and spends, in the second half."""

    def __init__(self, trial: Trial, seed: int) -> None:
        self.bytes_by_name: Counter[str] = Counter()
        self.spent_by_name: dict[str, float] = defaultdict(float)
        super().__init__(trial, seed)

    def _send(self, name: str, words: list[tuple[str, Any]]) -> None:
        if self.engine.now >= self.half:
            for to, word in words:
                size = HEADER + len(CODEC.encode(word)[1])
                self.bytes_by_name[name] += size
                self.bytes_by_name[to] += size
        super()._send(name, words)

    def _step(self, name: str, step: Callable[[], list[Any]]) -> None:
        begun = process_time()
        super()._step(name, step)
        if self.engine.now >= self.half:
            self.spent_by_name[name] += process_time() - begun


@experiment("agreed-views", MEDIAN_BYTES, BUSIEST_BYTES, BUSIEST_PROCESSOR)
def agreed_views(scale: Scale) -> Iterator[Sample]:
    """A quiet fleet: nobody dies."""
    seconds = max(round(SECONDS * scale.share), 8)
    for repetition in scale.repetitions(QUIET_REPETITIONS):
        for gateways in scale.sizes(GATEWAYS, least=2):
            fleet = CountingWatchers(Trial(gateways, seconds, dead=0), FIRST_SEED + repetition)
            if not fleet.play().views:  # no view was agreed on, so nobody asks for leases: another play's figures
                continue
            counted_s = seconds / 2
            rates = [fleet.bytes_by_name[name] / counted_s for name in fleet.names]
            busiest = fleet.names[rates.index(max(rates))]
            yield Sample(MEDIAN_BYTES.name, gateways, median(rates))
            yield Sample(BUSIEST_BYTES.name, gateways, max(rates))
            yield Sample(BUSIEST_PROCESSOR.name, gateways, fleet.spent_by_name[busiest] / counted_s * MICROSECONDS)


@experiment("death-to-view", DEATH_TO_VIEW)
def death_to_view(scale: Scale) -> Iterator[Sample]:
    """A fleet in which three gateways die one after the other."""
    seconds = SECONDS  # a shorter play would end before a view without the last dead
    for repetition in scale.repetitions(REPETITIONS):
        for gateways in scale.sizes(DEATH_GATEWAYS, least=DEATHS + 2):
            seen = Watchers(Trial(gateways, seconds, dead=DEATHS), FIRST_SEED + repetition).play()
            if seen.views:  # a fleet that agreed on no view before the first death agrees on none without the dead
                yield Sample(DEATH_TO_VIEW.name, gateways, seen.without_median_s)


@experiment("views-memory", MEMORY)
def views_memory(scale: Scale) -> Iterator[Sample]:
    """Memory that Python gave out for a fleet that has run for a while, divided by its gateways.

    What waits in the simulated network is in it; the interpreter and the modules are not.
    """
    Watchers(Trial(MEMORY_GATEWAYS[0], MEMORY_SECONDS, dead=0), FIRST_SEED).play()  # what is made once is made now
    for gateways in scale.sizes(MEMORY_GATEWAYS, least=2):
        gc.collect()
        tracemalloc.start()
        try:
            fleet = Watchers(Trial(gateways, MEMORY_SECONDS, dead=0), FIRST_SEED)
            fleet.play()
            gc.collect()
            yield Sample(MEMORY.name, gateways, tracemalloc.get_traced_memory()[0] / gateways)
        finally:
            tracemalloc.stop()
