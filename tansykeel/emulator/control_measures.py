"""What is measured of a control plane in simulated time: bytes, processor time, sums, and how long faults are felt."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from time import process_time
from typing import TypeVar

import numpy

from tansykeel.emulator.control_trial import FaultKind

HEADERS = 52  # bytes that TCP and IP add to a frame that goes by itself, and an acknowledgement that does
WHOLE_PART = 0.9  # of a region's units that its gateways count, from which on a fault counts as over

LONGEST_LEADER_CHANGE_S = 12.0  # from the death of the log's leader until what it could grant is free for others
Result = TypeVar("Result")


@dataclass(slots=True)
class Traffic:
    """Bytes of one process, headers counted: each frame goes by itself and is acknowledged by itself."""

    received: int = 0
    sent: int = 0

    def receive(self, length: int) -> None:
        """Count a frame that came in, and its acknowledgement that went out."""
        self.received += length + HEADERS
        self.sent += HEADERS

    def send(self, length: int) -> None:
        """Count a frame that went out, and its acknowledgement that came in."""
        self.sent += length + HEADERS
        self.received += HEADERS

    @property
    def total(self) -> int:
        """Return bytes in and out together."""
        return self.received + self.sent


class ProcessorTime:
    """Seconds that cores of each role took on this machine; not the same twice."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = defaultdict(float)

    def measure(self, role: str, step: Callable[[], Result], counts: bool) -> Result:
        """Carry out a step, and count its time for the role."""
        begun = process_time()
        result = step()
        if counts:
            self.seconds[role] += process_time() - begun
        return result


@dataclass(slots=True)
class Counted:
    """What a gateway counts, until a moment of the engine."""

    region: str
    units: int
    until: int


class CountedUnits:
    """Sums of what all gateways count at a moment, taken at every change."""

    def __init__(self, region_units: Mapping[str, int]) -> None:
        self.region_units = region_units
        self.by_region: dict[str, int] = dict.fromkeys(region_units, 0)
        self.most_part = 0.0  # the largest sum of a region by its units; over 1 breaks the rule
        self.over = 0  # changes after which a region's sum was over its units
        self._counted: dict[str, Counted] = {}
        self._ends: list[tuple[int, str]] = []

    def put(self, now: int, gateway: str, counted: Counted | None) -> None:
        """From now on the gateway counts this; None: nothing beside its safe part."""
        self.expire(now)
        self._drop(gateway)
        if counted is None or counted.until <= now:
            return
        self._counted[gateway] = counted
        self.by_region[counted.region] += counted.units
        heapq.heappush(self._ends, (counted.until, gateway))
        total, units = self.by_region[counted.region], self.region_units[counted.region]
        self.over += total > units
        self.most_part = max(self.most_part, total / units)

    def expire(self, now: int) -> None:
        """Drop what is over."""
        while self._ends and self._ends[0][0] <= now:
            until, gateway = heapq.heappop(self._ends)
            counted = self._counted.get(gateway)
            if counted is not None and counted.until == until:
                self._drop(gateway)

    def has_lease(self, gateway: str) -> bool:
        """Return whether the gateway counted units when last expired."""
        return gateway in self._counted

    def _drop(self, gateway: str) -> None:
        counted = self._counted.pop(gateway, None)
        if counted is not None:
            self.by_region[counted.region] -= counted.units


@dataclass(slots=True)
class FaultFelt:
    """How long a fault was felt, by the gateways of its region that lived through it; seconds from its beginning."""

    kind: FaultKind
    region: str
    at_s: float
    gateways: Mapping[str, int]  # those with a lease when it began, and their incarnations
    alone: bool = True  # no other fault about, from shortly before to when it is to be over, and somebody led the log
    dead: tuple[str, ...] = ()  # control nodes that died of it
    without_lease_s: float = 0.0  # until the last of them had a lease again; 0: none was ever without
    without_session_s: float = 0.0  # the same of sessions
    reclaimed_s: float | None = None  # until the log's leader had freed all units of the dead nodes
    whole_s: float = 0.0  # until the region's gateways counted 90% of its units again
    most_without_lease: int = 0  # gateways at once


@dataclass(frozen=True, slots=True)
class ControlSeen:
    """The outcome of a trial. Bytes and processor time are a second's, over what was measured."""

    bytes_median: float
    bytes_busiest: float
    frame_bytes_median: float  # of the frames alone
    node_bytes_median: float
    node_bytes_busiest: float
    gateway_cpu_us: float  # a gateway's core, in the mean
    follower_cpu_us: float  # a node's core while it does not lead
    leader_cpu_us: float
    most_of_region: float  # the largest sum of what a region's gateways counted, by its units
    mean_of_whole: float  # what all gateways counted in the mean, by all units
    over: int  # changes after which a region's sum was over its units
    findings: tuple[str, ...]  # of the checker
    refused_renewals: int
    sessions: Mapping[str, tuple[int, ...]]  # by region: how many each control node holds at the end
    faults: tuple[FaultFelt, ...] = field(default=())
    restarts: int = 0
    observed: int = 0  # records that the checker judged
    events: int = 0

    @property
    def late_leader_changes(self) -> list[FaultFelt]:
        """Return the deaths of leaders, with no other fault about, after which units were not free in time."""
        changes = [felt for felt in self.faults if felt.kind is FaultKind.LEADER_KILLED and felt.alone]
        return [felt for felt in changes if felt.reclaimed_s is None or felt.reclaimed_s > LONGEST_LEADER_CHANGE_S]

    @property
    def kept(self) -> bool:
        """Return whether no rule was broken."""
        return not self.over and not self.findings and not self.late_leader_changes


def median(values: list[float]) -> float:
    """Return the median, 0 of nothing."""
    return float(numpy.median(values)) if values else 0.0
