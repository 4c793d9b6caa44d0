"""Reads one direction of one connection: bytes in, events out, and a ProtocolError at the first fault.

What a peer may say follows from its role, which its hello tells. After an error the codec is closed: nothing that
comes later is read. It copies what it hands out, so a buffer may be used again at once.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import google_crc32c
import msgspec

from tansykeel.protocol.frames import (
    DECODERS,
    HEAD_BYTES,
    HEADER,
    MOST_CHUNK,
    MOST_FIELDS,
    VERSION,
    Answer,
    Cut,
    Fields,
    HandOffOf,
    Hello,
    Kind,
    OutcomeOf,
    ProtocolError,
    TaskOf,
)

MOST_BODIES = 4_096  # bodies under way on one connection in one direction

HEAD = struct.Struct(HEADER.format + "I")  # with its check
Head = tuple[int, ...]
KINDS = {kind.value: kind for kind in Kind}
CHUNK = Kind.CHUNK.value
FIRST = (Kind.HELLO.value, Kind.ERROR.value)
crc_of, crc_extend = google_crc32c.value, google_crc32c.extend

ALWAYS: frozenset[int] = frozenset({Kind.ERROR, Kind.GOODBYE, Kind.CUT, Kind.CHUNK})
SAYS: dict[str, frozenset[int]] = {  # what each role may say after its hello
    "client": ALWAYS
    | {Kind.TASK, Kind.CANCEL, Kind.FLEET_ASK, Kind.FLEET_WITHOUT, Kind.ACCORD, Kind.CONTROL_STATUS_REQUEST},
    "edge": ALWAYS
    | {
        Kind.ANSWER,
        Kind.HAND_OFF,
        Kind.CANCEL,
        Kind.PROBE,
        Kind.LIST_ASK,
        Kind.SHARE,
        Kind.WATCH,
        Kind.FLEET_TOLD,
        Kind.ACCORD,
        Kind.ACCORD_TOLD,
    },  # also what a peer says: see `Peers`
    "store": ALWAYS | {Kind.OUTCOME, Kind.PROBED},
    "list": ALWAYS | {Kind.LIST},
    "peer": ALWAYS | {Kind.SHARE, Kind.WATCH, Kind.ACCORD},  # a gateway to another
    "gateway": ALWAYS | {Kind.SESSION_OPEN, Kind.HEARTBEAT, Kind.SESSION_CLOSE},  # to a control node
    "control": ALWAYS  # a control node to gateways, operators and other control nodes
    | {
        Kind.SESSION_ACCEPTED,
        Kind.SESSION_REJECTED,
        Kind.LEASE_RENEWAL,
        Kind.CONTROL_STATUS,
        Kind.FLEET_TOLD,
        Kind.WATCH,
        Kind.NODE_OPEN,
    },
}
CARRIERS = (TaskOf, Answer, HandOffOf, OutcomeOf)


class Frame(NamedTuple):
    stream: int
    record: Fields


class Piece(NamedTuple):
    """Bytes of a body, in order; `last` with the one that ends it."""

    stream: int
    data: bytes
    last: bool


Event = Frame | Piece


class Codec:
    """`expect`: the roles that the peer may have."""

    def __init__(self, *expect: str) -> None:
        self.expect = expect
        self.peer: Hello | None = None
        self.fault: str | None = None
        self._says: frozenset[int] = frozenset()
        self._rest = bytearray()
        self._bodies: dict[int, int] = {}  # bytes still to come, by stream
        self._chunk: tuple[int, int] | None = None  # stream, bytes left of the chunk that is being read

    def receive(self, data: bytes | bytearray | memoryview) -> list[Event]:
        """Events in the order of the bytes. Raises ProtocolError; the events before the fault are lost with it."""
        if self.fault is not None:
            raise ProtocolError(self.fault)
        try:
            return self._receive(memoryview(data))
        except ProtocolError as error:
            self.fault = str(error)
            self._rest.clear()
            self._bodies.clear()
            raise

    def _receive(self, view: memoryview) -> list[Event]:
        events: list[Event] = []
        at, end = 0, len(view)
        while at < end:
            if self._chunk is not None:
                at = self._body_bytes(view, at, end, events)
                continue
            if self._rest:  # a frame that began in an earlier buffer: fill it up as far as it is known
                need = self._needed()
                take = min(need - len(self._rest), end - at)
                self._rest += view[at : at + take]
                at += take
                if len(self._rest) < need or self._needed() > len(self._rest):
                    continue
                whole = memoryview(bytes(self._rest))
                self._rest.clear()
                self._frame(HEAD.unpack_from(whole), whole, 0, events)
                continue
            if end - at < HEAD_BYTES:
                self._rest += view[at:]
                break
            kind, _, _, length, _, _ = head = HEAD.unpack_from(view, at)
            if kind != CHUNK and end - at < HEAD_BYTES + length:
                self._check(head)
                self._rest += view[at:]
                break
            at += self._frame(head, view, at, events)
        return events

    def _needed(self) -> int:
        """Bytes up to the end of the frame that `_rest` begins, or of its header while that is short."""
        if len(self._rest) < HEAD_BYTES:
            return HEAD_BYTES
        head = HEAD.unpack_from(self._rest)
        self._check(head)
        return HEAD_BYTES + (0 if head[0] == CHUNK else head[3])

    def _check(self, head: Head) -> None:
        """Refuse a header that no frame can have, before a byte of the frame is waited for."""
        code, flags, reserved, length, stream, _ = head
        if code not in KINDS:
            raise ProtocolError(f"unknown frame kind {code} on stream {stream}; known: 1 to {len(KINDS)}")
        name = KINDS[code].name
        if flags or reserved:
            raise ProtocolError(f"{name} on stream {stream}: flags {flags}, reserved {reserved}; legal: 0")
        most = MOST_CHUNK if code == CHUNK else MOST_FIELDS
        if length > most:
            raise ProtocolError(f"{name} on stream {stream}: {length} bytes; legal: {most} at most")

    def _frame(self, head: Head, view: memoryview, at: int, events: list[Event]) -> int:
        """Read the frame at `at`, all of it at hand (of a CHUNK: its header); returns the bytes used."""
        self._check(head)
        code, _, _, length, stream, check = head
        found = crc_of(bytes(view[at : at + HEADER.size]))
        if code != CHUNK:
            fields = bytes(view[at + HEAD_BYTES : at + HEAD_BYTES + length])
            found = crc_extend(found, fields)
        if found != check:
            raise ProtocolError(f"{KINDS[code].name} on stream {stream}: its check does not fit its bytes")
        if self.peer is None:
            if code not in FIRST:
                raise ProtocolError(f"{KINDS[code].name} before the hello")
        elif code not in self._says:
            raise ProtocolError(
                f"{KINDS[code].name} on stream {stream}: not legal from a peer of role {self.peer.role!r}"
            )
        if code == CHUNK:
            self._open_chunk(stream, length)
            return HEAD_BYTES
        kind = KINDS[code]
        try:
            record = DECODERS[kind].decode(fields)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise ProtocolError(f"{kind.name} on stream {stream}: {error}") from None
        if isinstance(record, Hello):
            self._hello(record)
        elif isinstance(record, Cut):
            if self._bodies.pop(stream, None) is None:
                raise ProtocolError(f"CUT on stream {stream}: no body is under way there")
        elif isinstance(record, CARRIERS) and record.body:
            self._open_body(kind, stream, record.body)
        events.append(Frame(stream, record))
        return HEAD_BYTES + length

    def _hello(self, hello: Hello) -> None:
        if hello.version != VERSION:
            raise ProtocolError(f"HELLO: version {hello.version}; spoken here: {VERSION}")
        if hello.role not in self.expect:
            raise ProtocolError(f"HELLO: role {hello.role!r}; expected: {' or '.join(self.expect)}")
        self.peer, self._says = hello, SAYS[hello.role]

    def _open_body(self, kind: Kind, stream: int, size: int) -> None:
        if stream in self._bodies:
            raise ProtocolError(f"{kind.name} on stream {stream}: a body is still under way there")
        if len(self._bodies) >= MOST_BODIES:
            raise ProtocolError(f"{kind.name} on stream {stream}: more than {MOST_BODIES} bodies at once")
        self._bodies[stream] = size

    def _open_chunk(self, stream: int, length: int) -> None:
        left = self._bodies.get(stream)
        if left is None:
            raise ProtocolError(f"CHUNK on stream {stream}: no body is under way there")
        if not 0 < length <= left:
            raise ProtocolError(f"CHUNK on stream {stream}: {length} bytes; legal: 1 to {left}")
        self._chunk = stream, length

    def _body_bytes(self, view: memoryview, at: int, end: int, events: list[Event]) -> int:
        assert self._chunk is not None
        stream, wanted = self._chunk
        data = bytes(view[at : min(at + wanted, end)])
        self._chunk = (stream, wanted - len(data)) if len(data) < wanted else None
        self._bodies[stream] -= len(data)
        if last := not self._bodies[stream]:
            del self._bodies[stream]
        events.append(Piece(stream, data, last))
        return at + len(data)
