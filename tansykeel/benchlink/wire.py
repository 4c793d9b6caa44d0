"""Frame codec of the bench's wire: bytes to plain records and back. Knows layouts, not meanings."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from tansykeel.errors import Problem


class Malformed(Problem):
    """A frame of the bench doesn't follow the wire; the text names what and where."""

    advice = "compare the adapter with the wire's page; the frame is written to standard error"


class Entry(NamedTuple):
    store: bytes
    zone: int
    kind: int
    shard: int
    state: int
    nominal: float
    started: int


class Provision(NamedTuple):
    who: int
    seed: int
    facts: bytes


class Rows(NamedTuple):
    page: int
    entries: list[Entry]


class Update(NamedTuple):
    who: int
    scope: int
    epoch: int
    page: int


class Query(NamedTuple):
    who: int
    id: int
    plan: int
    bits: int
    volume: int
    hosts: float
    category: int
    shard: float
    units: float
    not_after: int
    key: int


class Heard(NamedTuple):
    who: int
    sender: int
    message: bytes


class Reminder(NamedTuple):
    who: int
    token: int


class Pong(NamedTuple):
    who: int
    lag: int
    status: int
    store: bytes
    report: tuple[float, ...]


class Reply(NamedTuple):
    who: int
    id: int
    shot: int
    store: bytes
    status: int
    lag: int
    final: int
    used: int
    elsewhere: int
    report: tuple[float, ...]


class UnderWay(NamedTuple):
    who: int
    id: int
    shot: int
    store: bytes
    lag: int


class Kill(NamedTuple):
    who: int


class Dropped(NamedTuple):
    who: int
    id: int


Event = Provision | Rows | Update | Query | Heard | Reminder | Pong | Reply | UnderWay | Kill | Dropped

BATCH = struct.Struct(">IIQ")
REPLY = struct.Struct(">II")
EVENT_BYTES, ACTION_BYTES = 56, 32
ENTRY = struct.Struct(">6sHBHBfQ")
_CODE = struct.Struct(">H")
_LAYOUTS: dict[int, struct.Struct] = {
    256: struct.Struct(">2xIQII"),
    257: struct.Struct(">2xIBII"),
    258: struct.Struct(">2xIQIBQfBffQQ"),
    259: struct.Struct(">2xIQB6sQ"),
    260: struct.Struct(">2xIQB6sHQBHHB4f"),
    261: struct.Struct(">2xIQ"),
    262: struct.Struct(">2xIQ"),
    263: struct.Struct(">2xIQH6sB4f"),
    264: struct.Struct(">2xIIII"),
    265: struct.Struct(">2xI"),
    266: struct.Struct(">2xIII"),
}
_TRANSMIT = struct.Struct(">HIQq6s")
_DECLINE = struct.Struct(">HIQQ")
_ID = struct.Struct(">HIQ")
_RETRACT = struct.Struct(">HIQB")
_TIMER = struct.Struct(">HIQQ")
_STORE = struct.Struct(">HI6s")
_TEXT = struct.Struct(">HIII")
_TELL = struct.Struct(">HIHII")
EVERYONE = 0xFFFF  # Whom: all other instances
_WATCH = struct.Struct(">HIB")


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise Malformed(f"short {what}: {len(data)} of {size} bytes")
    return data


def batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yield (clock, events) until the input ends between two frames."""
    number = 0
    while first := stream.read(1):
        header = first + _read(stream, BATCH.size - 1, f"header of batch {number}")
        count, length, clock = BATCH.unpack(header)
        if length < count * EVENT_BYTES:
            raise Malformed(f"batch {number}: {length} bytes cannot hold {count} records")
        body = _read(stream, length, f"body of batch {number}")
        yield clock, _events(body, count, number)
        number += 1


def _events(body: bytes, count: int, number: int) -> list[Event]:
    view = memoryview(body)
    tail = view[count * EVENT_BYTES :]

    def piece(where: str, offset: int, length: int) -> memoryview:
        if offset + length > len(tail):
            raise Malformed(f"{where}: {length} bytes at {offset} lie outside a tail of {len(tail)}")
        return tail[offset : offset + length]

    def report(where: str, n: int, values: tuple[float, ...]) -> tuple[float, ...]:
        if n > len(values):
            raise Malformed(f"{where}: a load report of {n} values")
        return values[:n]

    events: list[Event] = []
    for index in range(count):
        at = index * EVENT_BYTES
        (code,) = _CODE.unpack_from(view, at)
        where = f"batch {number}, record {index}, code {code}"
        layout = _LAYOUTS.get(code)
        if layout is None:
            raise Malformed(f"{where}: unknown code")
        f = layout.unpack_from(view, at)
        match code:
            case 256:
                events.append(Provision(f[0], f[1], bytes(piece(where, f[2], f[3]))))
            case 257:
                events.append(Update(*f))
            case 258:
                events.append(Query(*f))
            case 259:
                events.append(UnderWay(*f))
            case 260:
                events.append(Reply(*f[:9], report(where, f[9], f[10:])))
            case 261:
                events.append(Dropped(*f))
            case 262:
                events.append(Reminder(*f))
            case 263:
                events.append(Pong(*f[:4], report(where, f[4], f[5:])))
            case 264:
                events.append(Heard(f[0], f[1], bytes(piece(where, f[2], f[3]))))
            case 265:
                events.append(Kill(*f))
            case _:
                rows = piece(where, f[1], f[2] * ENTRY.size)
                events.append(Rows(f[0], [Entry(*row) for row in ENTRY.iter_unpack(rows)]))
    return events


class Outbox:
    """Collects one reply's actions in the order they are written."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def transmit(self, who: int, request: int, store: bytes, allow_for: int) -> None:
        self._add(_TRANSMIT.pack(256, who, request, allow_for, store))

    def decline(self, who: int, request: int, hold_off: int) -> None:
        self._add(_DECLINE.pack(257, who, request, hold_off))

    def lose(self, who: int, request: int) -> None:
        self._add(_ID.pack(258, who, request))

    def retract(self, who: int, request: int, shot: int) -> None:
        self._add(_RETRACT.pack(259, who, request, shot))

    def timer(self, who: int, sleep_for: int, token: int) -> None:
        self._add(_TIMER.pack(260, who, sleep_for, token))

    def test(self, who: int, store: bytes) -> None:
        self._add(_STORE.pack(261, who, store))

    def drop_conns(self, who: int, store: bytes) -> None:
        self._add(_STORE.pack(262, who, store))

    def tell(self, who: int, whom: int, message: bytes) -> None:
        self._add(_TELL.pack(263, who, whom, len(self._tail), len(message)))
        self._tail += message

    def show(self, who: int, text: str) -> None:
        self._text(264, who, text)

    def broken(self, who: int, text: str) -> None:
        self._text(265, who, text)

    def watch(self, who: int, on: bool) -> None:
        self._add(_WATCH.pack(266, who, on))

    def lookup(self, who: int) -> None:
        self._add(struct.pack(">HI", 267, who))

    def frame(self) -> bytes:
        records = b"".join(self._records)
        out = REPLY.pack(len(self._records), len(records) + len(self._tail)) + records + self._tail
        self._records.clear()
        self._tail.clear()
        return bytes(out)

    def _text(self, code: int, who: int, text: str) -> None:
        data = text.encode()
        self._add(_TEXT.pack(code, who, len(self._tail), len(data)))
        self._tail += data

    def _add(self, record: bytes) -> None:
        self._records.append(record.ljust(ACTION_BYTES, b"\0"))
