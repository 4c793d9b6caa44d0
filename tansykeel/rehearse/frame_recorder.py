"""Writes down the frames that a proxy between gateways and control nodes sees, up to a bounded size."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct

from tansykeel.audit.records import FrameSeen, Lagged, Recorder, RecordingEnded, now_us
from tansykeel.cluster.failure_detector import Ack, NoAnswer, Ping, Try
from tansykeel.protocol.frames import HEAD_BYTES, RECORDS, Kind, Watch
from tansykeel.rehearse.connection_faults import End

LAG = 50_000  # microseconds by which the proxy itself may be late without a word in the record
MOST_BYTES = 256 << 20  # of a record: 620 gateways with a heartbeat a second for 20 minutes
FROM_GATEWAYS = frozenset({Kind.SESSION_OPEN, Kind.HEARTBEAT, Kind.SESSION_CLOSE})
FROM_NODES = frozenset({Kind.SESSION_ACCEPTED, Kind.SESSION_REJECTED, Kind.LEASE_RENEWAL, Kind.GOODBYE})
# The failure detector's messages are most of what passes between nodes, and no rule rests on them.
LEFT_OUT = frozenset(kind.__name__ for kind in (Ping, Ack, Try, NoAnswer))
WATCHES = msgspec.msgpack.Decoder(Watch)


class Speaker(Struct):
    """Who speaks on one end of a connection."""

    end: End
    incarnation: int = 0  # 0 before its hello


class FrameRecorder:
    """Records what is said of sessions, leases, views and the log; nothing once the bound is reached."""

    def __init__(self, path: Path, most_bytes: int = MOST_BYTES) -> None:
        self.recorder = Recorder(path)
        self.most_bytes = most_bytes
        self.frames = 0
        self.left_out = 0  # frames that came by after the bound was reached
        self._flushed_at = 0

    def add(self, at: int, passed: int, kind: int, frame: bytes, sender: Speaker, receiver: Speaker) -> None:
        """Write down a frame that came by; `passed`: when it goes on, 0 for never."""
        seen = _seen(kind, frame, sender, receiver)
        if seen is None:
            return
        if self.left_out or self.recorder.size >= self.most_bytes:
            if not self.left_out:
                self.recorder.add(RecordingEnded(at))
            self.left_out += 1
            return
        direction, message, fields = seen
        self.frames += 1
        self.recorder.add(
            FrameSeen(
                at,
                passed,
                sender.end.name,
                sender.incarnation,
                receiver.end.name,
                receiver.incarnation,
                direction,
                message,
                fields,
            )
        )

    def flush(self, every: int) -> None:
        """Write what is kept; to be called every so many microseconds. A call that is late shows a proxy that was."""
        now = now_us()
        if self._flushed_at and now - self._flushed_at > every + LAG:
            self.recorder.add(Lagged(now, "proxy", now))
        self._flushed_at = now
        self.recorder.flush()

    def close(self) -> None:
        """Write what is kept, and no more."""
        self.recorder.close()


Seen = tuple[Literal["to-node", "to-gateway", "between-nodes"], str, bytes]


def _seen(kind: int, frame: bytes, sender: Speaker, receiver: Speaker) -> Seen | None:
    """A frame's direction, message and fields; None for one that no rule rests on, or that its receiver refuses."""
    kinds = sender.end.kind, receiver.end.kind
    if kinds == ("gateway", "node") and kind in FROM_GATEWAYS:
        return "to-node", RECORDS[Kind(kind)].__name__, frame[HEAD_BYTES:]
    if kinds == ("node", "gateway") and kind in FROM_NODES:
        return "to-gateway", RECORDS[Kind(kind)].__name__, frame[HEAD_BYTES:]
    if kinds != ("node", "node") or kind != Kind.WATCH:
        return None
    try:
        watch = WATCHES.decode(frame[HEAD_BYTES:])
    except msgspec.DecodeError:
        return None
    return None if watch.what in LEFT_OUT else ("between-nodes", watch.what, watch.word)
