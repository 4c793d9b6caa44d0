"""What passed between gateways and control nodes, read from the proxy's record: traffic, leases, admissions.

Everything here is seen on the link, so that no gateway's or node's own word is believed.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tansykeel.audit.records import FrameSeen, Lagged, read
from tansykeel.protocol.frames import (
    HEAD_BYTES,
    Heartbeat,
    LeaseRenewal,
    SessionAccepted,
    SessionRejected,
)

TO_NODE, TO_GATEWAY = "to-node", "to-gateway"
_heartbeat = msgspec.msgpack.Decoder(Heartbeat)
_renewal = msgspec.msgpack.Decoder(LeaseRenewal)
_accepted = msgspec.msgpack.Decoder(SessionAccepted)
_rejected = msgspec.msgpack.Decoder(SessionRejected)


@dataclass(frozen=True, slots=True)
class FrameSize:
    """A frame that a gateway sent or received; bytes of frames, without the headers of TCP and IP."""

    at: int
    gateway: str
    size: int


@dataclass(frozen=True, slots=True)
class LeaseSpan:
    """A lease that reached a gateway: from when it went on to it until its latest end.

    The latest end is counted from the moment at which the heartbeat came by, which the gateway sent before.
    """

    begin: int
    end: int
    units: int
    node: str


@dataclass(frozen=True, slots=True)
class Admission:
    """A session that a node accepted or rejected; `retry_after` in microseconds, 0 for accepted ones.

    `reason`: why it was rejected, without the node's name.
    """

    at: int
    node: str
    gateway: str
    accepted: bool
    retry_after: int = 0
    reason: str = ""


@dataclass
class Observed:
    """All that passed, by what it is."""

    frames: list[FrameSize] = field(default_factory=list)
    leases: dict[str, list[LeaseSpan]] = field(default_factory=lambda: defaultdict(list))
    admissions: list[Admission] = field(default_factory=list)
    late: list[int] = field(default_factory=list)  # moments at which the proxy noted that it was late


class Reader:
    """Takes frames in the order in which they came by."""

    def __init__(self) -> None:
        self.observed = Observed()
        self._asked: dict[tuple[str, str, int, int], int] = {}  # gateway, node, session, asked_at: when it came by

    def take(self, seen: FrameSeen) -> None:
        """Note one frame. Frames between nodes are passed over."""
        if seen.direction not in (TO_NODE, TO_GATEWAY):
            return
        gateway, node = (seen.sender, seen.receiver) if seen.direction == TO_NODE else (seen.receiver, seen.sender)
        if seen.direction == TO_NODE or seen.passed:
            moment = seen.at if seen.direction == TO_NODE else seen.passed
            self.observed.frames.append(FrameSize(moment, gateway, HEAD_BYTES + len(seen.fields)))
        match seen.message:
            case "Heartbeat":
                heartbeat = _heartbeat.decode(seen.fields)
                self._asked.setdefault((gateway, node, heartbeat.session, heartbeat.asked_at), seen.at)
            case "LeaseRenewal" if seen.passed:
                self._renewal(gateway, node, seen.passed, _renewal.decode(seen.fields))
            case "SessionAccepted" if seen.passed:
                accepted = _accepted.decode(seen.fields)
                self.observed.admissions.append(Admission(seen.passed, accepted.node, gateway, True))
            case "SessionRejected" if seen.passed:
                rejected = _rejected.decode(seen.fields)
                reason = rejected.reason.replace(rejected.node, "the node")
                self.observed.admissions.append(
                    Admission(seen.passed, rejected.node, gateway, False, rejected.retry_after, reason)
                )

    def _renewal(self, gateway: str, node: str, passed: int, renewal: LeaseRenewal) -> None:
        """A renewal takes the place of every earlier lease of the gateway, one without units of its node's alone."""
        asked = self._asked.pop((gateway, node, renewal.session, renewal.asked_at), None)
        if asked is None:
            return
        spans = self.observed.leases[gateway]
        if spans and spans[-1].end > passed:
            last = spans[-1]
            if not renewal.units and last.node != node:
                return
            spans[-1] = LeaseSpan(last.begin, passed, last.units, last.node)
        spans.append(LeaseSpan(passed, max(asked + renewal.valid_for, passed), renewal.units, node))


def observe(frames: Iterable[FrameSeen]) -> Observed:
    """Return what passed, from frames in the order in which they came by."""
    reader = Reader()
    for seen in frames:
        reader.take(seen)
    return reader.observed


def observe_file(path: Path) -> Observed:
    """Return what passed, from the file that the proxy wrote. Raises RecordsError."""
    reader = Reader()
    for record in read(path):
        if isinstance(record, FrameSeen):
            reader.take(record)
        elif isinstance(record, Lagged):
            reader.observed.late.append(record.at)
    return reader.observed
