"""Codec for the frames that the simulator and the adapter exchange: bytes to plain records and back.

It knows the layout of records, not their meaning. A frame is a header, then records of a fixed size, then a tail
section that holds the data of variable length, to which records refer by offset and length. Numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from tansykeel.errors import Problem


class Malformed(Problem):
    """A frame from the simulator doesn't follow the wire format; the text names what and where."""

    advice = "compare the adapter with the wire's page; the frame is written to standard error"


class StoreEntry(NamedTuple):
    """A store in a list of stores."""

    store: bytes
    zone: int
    kind: int
    shard: int
    state: int
    nominal: float
    started: int  # nanoseconds; 0: not known


class Provision(NamedTuple):
    """Starts an instance with its random seed and its settings, which are JSON."""

    instance_id: int
    seed: int
    settings: bytes


class StoreList(NamedTuple):
    """A numbered list of stores, to which Update events of any instance refer."""

    list_id: int
    entries: list[StoreEntry]


class Update(NamedTuple):
    """A change of the list of stores for one instance.

    Scope 0: the list could not be had, 1: an unlisted store is unchanged, 2 and 4: an unlisted store is gone. The
    scheduler takes scopes 1 and 4 as confirmed by the list itself, 2 as unconfirmed.
    """

    instance_id: int
    scope: int
    epoch: int  # not used
    list_id: int


class Query(NamedTuple):
    """A new task."""

    instance_id: int
    task_id: int
    plan: int  # index into the settings' plans
    flags: int  # bit 1: the client sent the task before
    volume: int
    gateways: float  # how many serve the volume
    category: int  # index into the settings' categories
    shard: float  # negative for a new object, which any store can take
    units: float
    deadline: int  # nanoseconds
    key: int


class Heard(NamedTuple):
    """A message from another instance."""

    instance_id: int
    sender: int
    message: bytes


class Reminder(NamedTuple):
    """A timer that the instance set has fired."""

    instance_id: int
    token: int


class Pong(NamedTuple):
    """The answer to a probe of a store."""

    instance_id: int
    latency: int  # nanoseconds
    status: int
    store: bytes
    report: tuple[float, ...]


class Reply(NamedTuple):
    """The outcome of a hand-off."""

    instance_id: int
    task_id: int
    attempt: int
    store: bytes
    status: int
    latency: int  # nanoseconds
    task_answered: int  # nonzero: the task has its final answer
    plan_use: int  # percentage of the plan's rate plus 1; 0: not reported
    used_elsewhere: int  # units used through other gateways since the last answer
    report: tuple[float, ...]


class UnderWay(NamedTuple):
    """The first part of a streamed answer to a hand-off."""

    instance_id: int
    task_id: int
    attempt: int
    store: bytes
    latency: int  # nanoseconds


class Kill(NamedTuple):
    """Ends an instance."""

    instance_id: int


class Dropped(NamedTuple):
    """The client of a task has gone."""

    instance_id: int
    task_id: int


Event = Provision | StoreList | Update | Query | Heard | Reminder | Pong | Reply | UnderWay | Kill | Dropped

BATCH_HEADER = struct.Struct(">IIQ")
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE, ACTION_SIZE = 56, 32  # bytes; shorter records are padded
STORE_ENTRY = struct.Struct(">6sHBHBfQ")
_RECORD_CODE = struct.Struct(">H")
# By event code: the code itself as padding, then the fields of the record class. Data in the tail is given as an offset
# and a length (of store entries: their number), a load report as its length and four values.
_EVENT_LAYOUTS: dict[int, struct.Struct] = {
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
_HAND_OFF = struct.Struct(">HIQq6s")
_NACK = struct.Struct(">HIQQ")
_BREAK_OFF = struct.Struct(">HIQ")
_CANCEL = struct.Struct(">HIQB")
_TIMER = struct.Struct(">HIQQ")
_STORE_ACTION = struct.Struct(">HI6s")
_TEXT = struct.Struct(">HIII")
_MESSAGE = struct.Struct(">HIHII")
ALL_PEERS = 0xFFFF  # as the recipient of a message: all other instances
_WATCH_STORE_LIST = struct.Struct(">HIB")


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    """Read exactly `size` bytes; raises Malformed if the input ends before."""
    data = stream.read(size)
    if len(data) != size:
        raise Malformed(f"short {what}: {len(data)} of {size} bytes")
    return data


def read_batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yield the clock in nanoseconds and the events of each frame, until the input ends between two frames."""
    number = 0
    while first := stream.read(1):
        header = first + _read(stream, BATCH_HEADER.size - 1, f"header of batch {number}")
        count, length, clock = BATCH_HEADER.unpack(header)
        if length < count * EVENT_SIZE:
            raise Malformed(f"batch {number}: {length} bytes cannot hold {count} records")
        body = _read(stream, length, f"body of batch {number}")
        yield clock, _parse_events(body, count, number)
        number += 1


def _parse_events(body: bytes, count: int, number: int) -> list[Event]:
    """Parse the records of a batch. `number` is the batch's number, for error messages."""
    view = memoryview(body)
    tail = view[count * EVENT_SIZE :]

    def slice_tail(where: str, offset: int, length: int) -> memoryview:
        if offset + length > len(tail):
            raise Malformed(f"{where}: {length} bytes at offset {offset} lie outside the tail of length {len(tail)}")
        return tail[offset : offset + length]

    def load_report(where: str, length: int, values: tuple[float, ...]) -> tuple[float, ...]:
        if length > len(values):
            raise Malformed(f"{where}: load report of {length} values, more than a record holds")
        return values[:length]

    events: list[Event] = []
    for index in range(count):
        record_offset = index * EVENT_SIZE
        (code,) = _RECORD_CODE.unpack_from(view, record_offset)
        where = f"batch {number}, record {index}, code {code}"
        layout = _EVENT_LAYOUTS.get(code)
        if layout is None:
            raise Malformed(f"{where}: unknown code")
        fields = layout.unpack_from(view, record_offset)
        match code:
            case 256:
                events.append(Provision(fields[0], fields[1], bytes(slice_tail(where, fields[2], fields[3]))))
            case 257:
                events.append(Update(*fields))
            case 258:
                events.append(Query(*fields))
            case 259:
                events.append(UnderWay(*fields))
            case 260:
                events.append(Reply(*fields[:9], load_report(where, fields[9], fields[10:])))
            case 261:
                events.append(Dropped(*fields))
            case 262:
                events.append(Reminder(*fields))
            case 263:
                events.append(Pong(*fields[:4], load_report(where, fields[4], fields[5:])))
            case 264:
                events.append(Heard(fields[0], fields[1], bytes(slice_tail(where, fields[2], fields[3]))))
            case 265:
                events.append(Kill(*fields))
            case _:
                entries = slice_tail(where, fields[1], fields[2] * STORE_ENTRY.size)
                events.append(StoreList(fields[0], [StoreEntry(*entry) for entry in STORE_ENTRY.iter_unpack(entries)]))
    return events


class Outbox:
    """Collects the actions of the reply to one batch, in the order of the calls. Times are in nanoseconds."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def hand_off(self, instance_id: int, task_id: int, store: bytes, timeout: int) -> None:
        """Send a task to a store; a timeout of 0 lasts until the deadline."""
        self._add(_HAND_OFF.pack(256, instance_id, task_id, timeout, store))

    def nack(self, instance_id: int, task_id: int, retry_after: int) -> None:
        """Answer a task with a nack that tells the client when to try again; 0: not said."""
        self._add(_NACK.pack(257, instance_id, task_id, retry_after))

    def break_off(self, instance_id: int, task_id: int) -> None:
        """Answer that a task was given up and may have been executed."""
        self._add(_BREAK_OFF.pack(258, instance_id, task_id))

    def cancel(self, instance_id: int, task_id: int, attempt: int) -> None:
        """Cancel one hand-off of a task."""
        self._add(_CANCEL.pack(259, instance_id, task_id, attempt))

    def set_timer(self, instance_id: int, delay: int, token: int) -> None:
        """Ask for a Reminder event with this token after a delay."""
        self._add(_TIMER.pack(260, instance_id, delay, token))

    def probe(self, instance_id: int, store: bytes) -> None:
        """Probe a store."""
        self._add(_STORE_ACTION.pack(261, instance_id, store))

    def close_connections(self, instance_id: int, store: bytes) -> None:
        """Close the connections to a store."""
        self._add(_STORE_ACTION.pack(262, instance_id, store))

    def send_message(self, instance_id: int, recipient: int, message: bytes) -> None:
        """Send a message to another instance, or to ALL_PEERS."""
        self._add(_MESSAGE.pack(263, instance_id, recipient, len(self._tail), len(message)))
        self._tail += message

    def log(self, instance_id: int, text: str) -> None:
        """Have the simulator show a line of the instance's log."""
        self._add_text(264, instance_id, text)

    def report_failure(self, instance_id: int, text: str) -> None:
        """Report that the instance failed, which ends the run."""
        self._add_text(265, instance_id, text)

    def watch_store_list(self, instance_id: int, on: bool) -> None:
        """Subscribe to the list of stores, or end the subscription."""
        self._add(_WATCH_STORE_LIST.pack(266, instance_id, on))

    def request_store_list(self, instance_id: int) -> None:
        """Ask for the list of stores once."""
        self._add(struct.pack(">HI", 267, instance_id))

    def take_frame(self) -> bytes:
        """Return the frame with the collected actions and start an empty one."""
        records = b"".join(self._records)
        frame = REPLY_HEADER.pack(len(self._records), len(records) + len(self._tail)) + records + self._tail
        self._records.clear()
        self._tail.clear()
        return bytes(frame)

    def _add_text(self, code: int, instance_id: int, text: str) -> None:
        """Add a record that refers to a text in the tail."""
        data = text.encode()
        self._add(_TEXT.pack(code, instance_id, len(self._tail), len(data)))
        self._tail += data

    def _add(self, record: bytes) -> None:
        """Add an action's record, padded to its fixed size."""
        self._records.append(record.ljust(ACTION_SIZE, b"\0"))
