"""Converts members of discovery's list to the rows that the core takes."""

from __future__ import annotations

import time
from dataclasses import dataclass

from tansykeel.edge.tasks import MICROSECONDS_PER_TICK
from tansykeel.platform.config import PHASES, Member
from tansykeel.platform.start_age import StartAge

MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(slots=True)
class Row:
    """A store in the form that the core takes (`StoreRow`).

    `boot` identifies the store's start, `age` is the time since then in microseconds; 0 is long ago.
    """

    name: str
    address: str
    zone: int
    shard: int
    state: str
    boot: int
    age: int


@dataclass(slots=True)
class Update:
    """The list of stores if `full`, else a change to it, in the form that the core takes (`ListUpdate`)."""

    full: bool
    version: int
    rows: list[Row]
    failed: bool = False


class RowReader:
    """Converts members of discovery's list to rows. It reads the wall clock, which may be stepped: see `start_age`."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        # The first reading of both clocks, which shows later steps of the wall clock.
        self.start_age = StartAge(time.time(), time.monotonic())

    def row(self, member: Member, known_without: float | None) -> Row:
        """Return the member's row; `known_without` is the monotonic time when the list was last known not to have this
        change, None if it never was."""
        since = max(int(member.up_since_ms), 0)
        age = 0
        if since:
            # Starts are reported in wall-clock time; of the ages by this reading and the first one, the younger counts.
            seconds = self.start_age.age(since, time.time(), time.monotonic(), known_without)
            age = max(int(seconds * MICROSECONDS_PER_SECOND), MICROSECONDS_PER_TICK)
        zone = self.zones.get(member.locality, 0)
        return Row(member.id, member.host_port, zone, member.cell, PHASES[member.phase], since, age)
