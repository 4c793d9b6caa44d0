"""What clients, stores, gateways, links, the list service and the runner write down of what passed, for the audit.

One file a process: records as msgpack, each after its length in four bytes. Times are whole microseconds of the
machine's monotonic clock, which all processes of a rehearsal share.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Iterator
from fractions import Fraction
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct

from tansykeel.errors import Problem

_LENGTH = struct.Struct(">I")
FLUSH_AT = 256 << 10  # bytes kept before they are written
MOST_RECORD = 1 << 20


class RecordsError(Problem, ValueError):
    """A folder or file of what passed can't be judged."""

    advice = "give the folder of a day that ended; play it again where a file of it is damaged"


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Record(Struct, frozen=True, array_like=True, tag=True):
    at: int


class Sent(Record):
    """A client sent a task to an edge. `tries`: 0 for the first of a piece of work, whose `mark` it carries."""

    task: int
    mark: int
    tries: int
    client: str
    edge: str
    volume: str
    category: str
    key: int
    units: float
    shard: int
    patience: int


class Got(Record):
    """A client got an answer; `wrong`: a body that is not what was written."""

    task: int
    result: int
    come_back: int
    wrong: bool
    reason: str


class Gave(Record):
    """A client ended a task without an answer: patience, vanished, or the edge's connection was lost."""

    task: int
    why: str


class Lagged(Record):
    """A client process stood still itself until then: what it writes down as heard may have come before."""

    client: str
    until: int


class Up(Record):
    store: str
    boot: int
    shard: int
    zone: int
    cold: bool
    full_units: float


class Arrived(Record):
    """A hand-off came to a store, its body whole."""

    store: str
    boot: int
    edge: str
    task: int
    number: int
    volume: str
    key: int
    units: float


class Began(Record):
    """The first bytes of a hand-off came, its body did not yet."""

    store: str
    edge: str
    task: int
    number: int


class Ran(Record):
    """Its work ended; `effect`: it changed the store (a repeat of a stamped task does not)."""

    store: str
    task: int
    number: int
    mark: int
    effect: bool


class Told(Record):
    """Its outcome was sent, or (`lost`) the connection or a cancel ended it first."""

    store: str
    task: int
    number: int
    how: str


class Ended(Record):
    """The edge let a hand-off go before its outcome: a cancel came, or the connection was lost. It may run on."""

    store: str
    task: int
    number: int


class Fell(Record):
    store: str


class Listed(Record):
    """The list service sent rows to an edge: name, state, boot. `full`: all there are."""

    edge: str
    full: bool
    rows: tuple[tuple[str, str, int], ...]


class Trouble(Record):
    verb: str
    detail: dict[str, Any]


class Stood(Record):
    """An edge's process was stopped at `at` and went on at `until`."""

    edge: str
    until: int


class Killed(Record):
    edge: str


class Left(Record):
    """A machine's agent: its gateway goes out by a leave, or is seen whole again. `boot`: how often it was started."""

    edge: str
    what: str  # out or whole
    number: tuple[int, int]
    boot: int


class Counted(Record):
    """A gateway's own word for what it counts as its part of any whole, until a moment (0: for good, it is safe)."""

    edge: str
    life: int
    view: int
    part: int  # over `whole`
    whole: int
    until: int

    @property
    def share(self) -> Fraction:
        return Fraction(self.part, self.whole)


class Said(Record):
    """A word of one gateway to another, seen between the two: when it came by, and when it went on, 0 for never."""

    passed: int
    edge: str
    life: int
    hearer: str
    what: str
    word: bytes


class LeaseClaimed(Record):
    """A gateway's own claim of what it counts by from now on, in place of its claim before.

    It is held against the leases that were seen to reach the gateway, and is no proof of them. `at` is read after the
    lease was received and before anything is sent that follows from it: a heartbeat that acknowledges it, a
    SessionClose. `until` is a moment of the clock that all records share; 0 says that the gateway counts its safe part
    alone, and all after `incarnation` is empty then.
    """

    gateway: str
    incarnation: int
    node: str = ""  # the control node that granted the lease
    session: int = 0
    lease: int = 0  # its number within the session
    units: int = 0
    until: int = 0


class FrameSeen(Record):
    """A frame on its way between a gateway and a control node, or between two control nodes, as the link saw it.

    `at` is when it came by and `passed` when it went on, 0 for never; one that goes on twice is written twice. An
    incarnation is that of the hello at the sender's or receiver's end of the connection, 0 before it came by.
    """

    passed: int
    sender: str
    sender_incarnation: int
    receiver: str
    receiver_incarnation: int
    direction: Literal["to-node", "to-gateway", "between-nodes"]
    message: str  # the record's type; between nodes the type of the cluster's message that a WATCH frame carries
    fields: bytes  # as msgpack


class RecordingEnded(Record):
    """A link's record reached its bound: frames that came by later are not written down, and can't be judged."""


AnyRecord = (
    Sent
    | Got
    | Gave
    | Lagged
    | Up
    | Arrived
    | Began
    | Ran
    | Told
    | Ended
    | Fell
    | Listed
    | Trouble
    | Stood
    | Killed
    | Counted
    | Said
    | Left
    | LeaseClaimed
    | FrameSeen
    | RecordingEnded
)


class Recorder:
    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)
        self._held = bytearray()
        self.size = 0  # bytes since the start, also of what is not written yet
        self._encode = msgspec.msgpack.Encoder().encode

    def add(self, record: Record) -> None:
        data = self._encode(record)
        self._held += _LENGTH.pack(len(data)) + data
        self.size += _LENGTH.size + len(data)
        if len(self._held) >= FLUSH_AT:
            self.flush()

    def flush(self) -> None:
        if self._held:
            self._file.write(self._held)
            self._held.clear()

    def close(self) -> None:
        self.flush()
        self._file.close()


def read(path: Path) -> Iterator[AnyRecord]:
    """All whole records; a last one that was cut off by a kill is left out. Raises ValueError on what is none."""
    decode = msgspec.msgpack.Decoder(AnyRecord).decode
    data = path.read_bytes()
    at = 0
    while at + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        if length > MOST_RECORD:
            raise RecordsError(f"{path}: at byte {at}: a record of {length} bytes; legal: {MOST_RECORD} at most")
        if at + _LENGTH.size + length > len(data):
            return
        try:
            yield decode(data[at + _LENGTH.size : at + _LENGTH.size + length])
        except msgspec.DecodeError as error:
            raise RecordsError(f"{path}: at byte {at}: {error}") from None
        at += _LENGTH.size + length
