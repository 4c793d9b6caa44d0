"""Frames of the two dialogues (client to edge, edge to store) and of the list: header, kinds and records.

A frame is a header of 20 bytes and `length` bytes after it: the fields of a record as a msgpack array, or, for CHUNK,
bytes of a body. Numbers of the header are big-endian. `check` is the CRC-32C of the header's first 16 bytes and, but
for CHUNK, of the fields. Times on the wire are whole microseconds and relative, for clocks are not shared.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Annotated, Literal

import google_crc32c
import msgspec
from msgspec import Meta, Struct

from tansykeel.errors import Problem

VERSION = 1
HEADER = struct.Struct(">BBHIQ")  # kind, flags (0), reserved (0), length, stream
CHECK = struct.Struct(">I")
HEAD_BYTES = HEADER.size + CHECK.size
MOST_FIELDS = 64 << 10  # bytes of a record's fields
MOST_CHUNK = 64 << 10  # bytes of a body in one frame
MOST_BODY = 1 << 30  # bytes of a body in all that the codec believes
MOST_ROWS = 256  # rows of the list in one frame


class ProtocolError(Problem):
    """The peer broke the protocol; the text is for the one error frame that it gets."""

    advice = "look at the version and the role of the peer that is named; its connection has ended"


class Kind(IntEnum):
    HELLO = 1
    ERROR = 2
    TASK = 3
    CHUNK = 4
    ANSWER = 5
    CANCEL = 6
    HAND_OFF = 7
    OUTCOME = 8
    PROBE = 9
    PROBED = 10
    LIST_ASK = 11
    LIST = 12
    GOODBYE = 13
    CUT = 14
    SHARE = 15
    WATCH = 16
    FLEET_ASK = 17
    FLEET_TOLD = 18
    ACCORD = 19
    ACCORD_TOLD = 20
    FLEET_WITHOUT = 21
    SESSION_OPEN = 22
    SESSION_ACCEPTED = 23
    SESSION_REJECTED = 24
    HEARTBEAT = 25
    LEASE_RENEWAL = 26
    SESSION_CLOSE = 27
    CONTROL_STATUS_REQUEST = 28
    CONTROL_STATUS = 29
    NODE_OPEN = 30


U64 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Size = Annotated[int, Meta(ge=0, le=MOST_BODY)]
Text = Annotated[str, Meta(max_length=512)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class Fields(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Base of all records; `body` bytes follow those that carry one, in CHUNK frames on the same stream."""


class Hello(Fields):
    version: Annotated[int, Meta(ge=0, le=65535)]
    role: Name  # client, edge, store, list, peer: a gateway to another; gateway, control: of the control plane
    name: Name
    boot: U64 = 0  # a new one each time the process starts
    age: U64 = 0  # microseconds since then


class Error(Fields):
    text: Text


class TaskOf(Fields):
    """A client's task; the stream is its id, which no other task of any client has."""

    volume: Name
    category: Name
    key: U64  # the piece of data
    size: Size  # bytes read or written
    shard: Annotated[int, Meta(ge=-1, le=65535)]  # -1: a new object, any store may take it
    patience: U64  # the client gives up after this
    mark: U64  # one for the piece of work, the same on each of the client's tries
    again: bool = False
    body: Size = 0


class Answer(Fields):
    """The final answer. `result`: delivered 0, nacked 1 (trying again is harmless), broken off 2."""

    result: Annotated[int, Meta(ge=0, le=2)]
    come_back: U64 = 0
    shard: Annotated[int, Meta(ge=-1, le=65535)] = -1  # who holds the data
    reason: Text = ""
    body: Size = 0


class Cancel(Fields):
    """The sender doesn't want the stream's task or hand-off any more. One more answer may be on its way."""


class HandOffOf(Fields):
    task: U64
    number: Annotated[int, Meta(ge=0, le=65535)]  # 0 for the task's first hand-off
    volume: Name
    category: Name
    key: U64
    size: Size
    units: Annotated[float, Meta(gt=0)]
    shard: Annotated[int, Meta(ge=-1, le=65535)]
    left: U64  # time left until nobody waits for it
    mark: U64
    writes: bool
    repeat: Literal["harmless", "stamped", "one-shot"]
    scope: Literal["all", "zone", "shard"] = "shard"
    window: U64 = 0
    body: Size = 0


class OutcomeOf(Fields):
    """What became of a hand-off, as the store tells it."""

    how: Literal["delivered", "error", "full", "moot", "cancelled"]
    shard: Annotated[int, Meta(ge=-1, le=65535)] = -1
    report: Annotated[tuple[float, ...], Meta(max_length=4)] = ()
    used: Annotated[int, Meta(ge=-1)] = -1  # percent of the plan's rate in a finished period, late; -1: none
    elsewhere: Annotated[int, Meta(ge=0)] = 0  # units served for the volume through other gateways meanwhile
    body: Size = 0


class Probe(Fields):
    pass


class Probed(Fields):
    report: Annotated[tuple[float, ...], Meta(max_length=4)] = ()


class ListAsk(Fields):
    watch: bool


class Row(Fields):
    name: Name
    address: Text
    zone: Annotated[int, Meta(ge=0, le=65535)]
    shard: Annotated[int, Meta(ge=0, le=65535)]
    state: Literal["ready", "draining", "gone"]
    boot: U64 = 0
    age: U64 = 0  # since its start, 0: long past


class ListOf(Fields):
    """The list or a change to it. `more`: further rows of the same version follow."""

    full: bool
    version: U64
    rows: Annotated[tuple[Row, ...], Meta(max_length=MOST_ROWS)]
    more: bool = False
    failed: bool = False  # the call failed, no rows


class Goodbye(Fields):
    """The sender takes no further tasks; what it holds is still answered."""


class Cut(Fields):
    """The sender gives up a body in the middle: no further CHUNK on this stream."""


class Share(Fields):
    """One gateway to another: units of a volume's limit, asked for or given."""

    sender: Annotated[int, Meta(ge=0, le=65535)]  # its number
    volume: Name | None  # None: a greeting, or its answer (1 unit: has run for long)
    units: Annotated[float, Meta(ge=0)]
    gift: bool


class Watch(Fields):
    """One cluster member to another: a message of `cluster.messages`. The connection's hello names the sender and its
    incarnation."""

    what: Name
    word: Annotated[bytes, Meta(max_length=MOST_FIELDS - 1024)]


class FleetAsk(Fields):
    """A client asks a gateway what it believes of its fleet."""


class FleetWithout(Fields):
    """An operator's word that no process runs under these names: a view may be formed without them."""

    names: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=1_000)]


class Fellow(Fields):
    """Another gateway, as the one that was asked sees it."""

    name: Name
    zone: U64
    seems: Literal["alive", "suspect", "dead", "unseen"]
    since: U64  # microseconds
    life: U64
    suspected_by: tuple[Name, ...]
    link: Literal["up", "opening", "none"]
    waiting: U64  # words that wait for the connection
    dropped: U64  # words that were too late, or for which there was no room, since the start


class FleetTold(Fields):
    """What a gateway believes of its fleet. `part`: of any whole, what it may count as its own now."""

    name: Name
    life: U64
    number: U64  # of the view, 0: none yet
    active: bool
    leased: U64  # microseconds that its lease has left, 0: none
    part: Annotated[float, Meta(ge=0, le=1)]
    doubt: U64  # how much it doubts itself, 0: not at all
    members: tuple[tuple[Name, U64], ...]  # name and life
    voters: tuple[Name, ...]
    others: tuple[Fellow, ...]


class Accord(Fields):
    """An agent, an operator or another gateway says something of leave: a word of `maintenance.messages`."""

    what: Name
    word: Annotated[bytes, Meta(max_length=MOST_FIELDS - 1024)]


class AccordTold(Fields):
    """The answer to it, on the same stream."""

    what: Name
    word: Annotated[bytes, Meta(max_length=MOST_FIELDS - 1024)]


class SessionOpen(Fields):
    """A gateway asks a control node of its region for a session; the hello's `boot` is its incarnation."""

    cluster: Name  # a control node of another cluster rejects it
    gateway: Name
    region: Name


class SessionAccepted(Fields):
    """The answer of a control node that holds the session from now on."""

    cluster: Name
    node: Name
    session: U64  # no other session of this incarnation of the control node has this number
    heartbeat_every: Annotated[int, Meta(ge=1, le=2**62)]  # microseconds


class SessionRejected(Fields):
    """The answer of a control node that does not hold the session."""

    cluster: Name
    node: Name
    reason: Text
    retry_after: U64  # microseconds; 0: never, for the settings of one of the two are wrong


class Heartbeat(Fields):
    """A gateway asks for its lease anew and acknowledges the one that it counts by."""

    session: U64
    asked_at: U64  # tenths of a millisecond of the gateway's own clock; comes back with the renewal
    lease: U64  # number of the newest lease that it received in this session, 0: none


class LeaseRenewal(Fields):
    """A gateway may count these units for `valid_for` microseconds of its own clock from `asked_at` on. It takes the
    place of every earlier lease of the gateway, also one of another session."""

    session: U64
    asked_at: U64
    lease: U64  # increases within a session
    units: Annotated[int, Meta(ge=0, le=2**62)]  # billionths of the whole beside the safe part
    valid_for: U64


class SessionClose(Fields):
    """The gateway counts by no lease of this session any more."""

    session: U64


class NodeOpen(Fields):
    """The first record of a control node to another one, at both ends: nodes of other clusters are rejected."""

    cluster: Name
    region: Name


class ControlStatusRequest(Fields):
    """An operator asks a control node for its status."""


class NodeBudgetStatus(Fields):
    """The budget of one control node as the replicated log has it."""

    node: Name
    incarnation: U64
    sessions: U64  # the weight that it asked for
    units: U64
    seems: Literal["alive", "suspect", "dead", "unseen"]


class ControlStatus(Fields):
    """What a control node believes of its region and of itself."""

    cluster: Name
    region: Name
    node: Name
    incarnation: U64
    view: U64  # number of the agreed view of the region's control nodes, 0: none yet
    active: bool
    leased: U64  # microseconds that its own lease on the view has left, 0: none
    leader: Annotated[str, Meta(max_length=64)]  # of the replicated log, as last received; empty: none known
    leads: bool
    entries: U64  # of the log that are committed here
    sessions: U64
    units_granted: U64  # that its gateways may count now
    budget: U64  # units that it may grant now
    admitted: U64  # sessions since its start
    rejected: U64  # sessions since its start
    nodes: tuple[NodeBudgetStatus, ...]


RECORDS: dict[Kind, type[Fields]] = {
    Kind.HELLO: Hello,
    Kind.ERROR: Error,
    Kind.TASK: TaskOf,
    Kind.ANSWER: Answer,
    Kind.CANCEL: Cancel,
    Kind.HAND_OFF: HandOffOf,
    Kind.OUTCOME: OutcomeOf,
    Kind.PROBE: Probe,
    Kind.PROBED: Probed,
    Kind.LIST_ASK: ListAsk,
    Kind.LIST: ListOf,
    Kind.GOODBYE: Goodbye,
    Kind.CUT: Cut,
    Kind.SHARE: Share,
    Kind.WATCH: Watch,
    Kind.FLEET_ASK: FleetAsk,
    Kind.FLEET_TOLD: FleetTold,
    Kind.FLEET_WITHOUT: FleetWithout,
    Kind.SESSION_OPEN: SessionOpen,
    Kind.SESSION_ACCEPTED: SessionAccepted,
    Kind.SESSION_REJECTED: SessionRejected,
    Kind.HEARTBEAT: Heartbeat,
    Kind.LEASE_RENEWAL: LeaseRenewal,
    Kind.SESSION_CLOSE: SessionClose,
    Kind.CONTROL_STATUS_REQUEST: ControlStatusRequest,
    Kind.CONTROL_STATUS: ControlStatus,
    Kind.NODE_OPEN: NodeOpen,
    Kind.ACCORD: Accord,
    Kind.ACCORD_TOLD: AccordTold,
}
KIND_OF = {record: kind for kind, record in RECORDS.items()}
DECODERS = {kind: msgspec.msgpack.Decoder(record) for kind, record in RECORDS.items()}
_pack_fields = msgspec.msgpack.Encoder().encode


def pack(stream: int, record: Fields) -> bytes:
    """One frame of a record."""
    fields = _pack_fields(record)
    if len(fields) > MOST_FIELDS:
        raise ValueError(f"{type(record).__name__}: {len(fields)} bytes of fields; legal: {MOST_FIELDS} at most")
    head = HEADER.pack(KIND_OF[type(record)], 0, 0, len(fields), stream)
    return b"".join((head, CHECK.pack(google_crc32c.value(head + fields)), fields))


def chunk_head(stream: int, length: int) -> bytes:
    """The header of a CHUNK; `length` bytes of the body come after it."""
    head = HEADER.pack(Kind.CHUNK, 0, 0, length, stream)
    return head + CHECK.pack(google_crc32c.value(head))
