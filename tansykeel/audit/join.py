"""Joins what the two ends of every connection wrote down: tasks, their hand-offs, what each edge was told."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from tansykeel.audit.records import (
    AnyRecord,
    Arrived,
    Began,
    Counted,
    Ended,
    Fell,
    Gave,
    Got,
    Killed,
    Lagged,
    Left,
    Listed,
    Ran,
    RecordsError,
    Said,
    Sent,
    Stood,
    Told,
    Trouble,
    Up,
    read,
)

READY = "ready"


@dataclass(eq=False, slots=True)
class HandOff:
    """One hand-off as its store saw it; times in microseconds, None where it did not come to that."""

    store: str
    boot: int
    edge: str
    task: int
    number: int
    at: int
    volume: str
    key: int
    units: float
    effect: bool = False
    told: int | None = None
    how: str = ""
    ended: int | None = None  # the edge let it go before its outcome

    @property
    def never_ran(self) -> bool:
        """Whether the edge could know that it did not run: turned away unseen."""
        return self.how in ("full", "moot")


@dataclass(eq=False, slots=True)
class TaskSeen:
    sent: Sent
    got: list[Got] = field(default_factory=list)
    gave: Gave | None = None
    hand_offs: list[HandOff] = field(default_factory=list)

    @property
    def over(self) -> int | None:
        """When the client had its answer, or ended it."""
        ends = [self.got[0].at] if self.got else []
        return min([*ends, self.gave.at] if self.gave else ends, default=None)

    @property
    def lag_us(self) -> int | None:
        return self.got[0].at - self.sent.at if self.got else None


class Passed:
    """All that passed on a day."""

    def __init__(self) -> None:
        self.tasks: dict[int, TaskSeen] = {}
        self.hand_offs: list[HandOff] = []
        self.invented: list[Arrived | Began] = []
        self.ups: list[Up] = []
        self.fells: list[Fell] = []
        self.listed: dict[str, list[Listed]] = defaultdict(list)
        self.stood: dict[str, list[Stood]] = defaultdict(list)
        self.killed: dict[str, list[int]] = defaultdict(list)
        self.lagged: dict[str, list[Lagged]] = defaultdict(list)
        self.troubles: list[Trouble] = []
        self.counted: list[Counted] = []
        self.said: list[Said] = []
        self.left: list[Left] = []

    def stood_at(self, edge: str, at: int, slack: int) -> Stood | None:
        """The stop of an edge's process that covers a moment, if one does; `slack` microseconds after it count too."""
        return next((s for s in self.stood.get(edge, []) if s.at <= at <= s.until + slack), None)

    def client_stood(self, client: str, start: int, end: int) -> bool:
        """Whether a client process itself stood still over a span, but for 20 ms."""
        return any(lag.at <= start + 20_000 and lag.until >= end - 20_000 for lag in self.lagged.get(client, []))


def join(records: list[AnyRecord]) -> Passed:
    """Records of all processes in any order."""
    passed = Passed()
    records = sorted(records, key=lambda record: record.at)  # a copy: a day's digest is of its own order
    for record in records:
        match record:
            case Sent():
                passed.tasks[record.task] = TaskSeen(record)
            case Up():
                passed.ups.append(record)
            case Fell():
                passed.fells.append(record)
            case Listed():
                passed.listed[record.edge].append(record)
            case Stood():
                passed.stood[record.edge].append(record)
            case Lagged():
                passed.lagged[record.client].append(record)
            case Killed():
                passed.killed[record.edge].append(record.at)
            case Trouble():
                passed.troubles.append(record)
            case Counted():
                passed.counted.append(record)
            case Said():
                passed.said.append(record)
            case Left():
                passed.left.append(record)
    open_at: dict[tuple[str, int, int], HandOff] = {}
    for record in records:
        match record:
            case Got():
                if record.task in passed.tasks:
                    passed.tasks[record.task].got.append(record)
            case Gave():
                passed.tasks[record.task].gave = record
            case Began():
                if record.task not in passed.tasks:
                    passed.invented.append(record)
            case Arrived():
                seen = HandOff(
                    record.store,
                    record.boot,
                    record.edge,
                    record.task,
                    record.number,
                    record.at,
                    record.volume,
                    record.key,
                    record.units,
                )
                passed.hand_offs.append(seen)
                open_at[record.store, record.task, record.number] = seen
                if record.task in passed.tasks:
                    passed.tasks[record.task].hand_offs.append(seen)
                else:
                    passed.invented.append(record)
            case Ran():
                if here := open_at.get((record.store, record.task, record.number)):
                    here.effect = record.effect
            case Ended():
                if here := open_at.get((record.store, record.task, record.number)):
                    here.ended = record.at
            case Told():
                if here := open_at.get((record.store, record.task, record.number)):
                    here.told, here.how = record.at, record.how
    return passed


def read_folder(folder: Path) -> Passed:
    """All records of a day's folder. Raises ValueError where there are none."""
    files = sorted((folder / "records").glob("*.rec"))
    if not files:
        raise RecordsError(f"{folder}: holds no records; legal: a folder that a rehearsal left")
    return join([record for file in files for record in read(file)])
