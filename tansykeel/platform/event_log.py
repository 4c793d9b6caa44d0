"""The gateway's log: one JSON object per line on standard output. Logging never blocks the gateway.

A line is written only if the descriptor takes it at once. Otherwise, as with a full pipe that nobody reads, it is
dropped, and the next line that is written has the number of dropped ones as `lines_lost`.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from tansykeel.transport.line_writer import LineWriter


class EventLog:
    """Writes events as lines of JSON."""

    def __init__(self, writer: LineWriter) -> None:
        self.writer = writer

    def __call__(self, event: str, **fields: Any) -> None:
        """Write an event with its fields."""
        if not self.writer.ready():
            return
        line = {"at": round(time.time(), 3), "event": event} | fields  # wall-clock time, for readers of the log
        if self.writer.lost:
            line["lines_lost"] = self.writer.lost
            self.writer.lost = 0
        self.writer.write(_encode(line).encode() + b"\n")


def standard_output() -> EventLog:
    """Return a log on standard output. If that is closed, nothing is written."""
    try:
        descriptor = sys.stdout.fileno() if sys.stdout else None
    except (OSError, ValueError):
        descriptor = None
    return EventLog(LineWriter(descriptor))


def _plain(value: Any) -> str:
    """Return the text for a value that JSON has no type for."""
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


_encode = json.JSONEncoder(default=_plain).encode
