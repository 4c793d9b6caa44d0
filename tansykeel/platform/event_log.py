"""The gateway's log: one JSON object a line on standard output. A log that nobody reads never holds the gateway up.

A line is written only where the descriptor takes it at once; otherwise it is dropped, and the next one that is written
says how many are missing (`lines_lost`).
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
        line = {"at": round(time.time(), 3), "event": event} | fields  # wall clock: for people who read the log
        if self.writer.lost:
            line["lines_lost"] = self.writer.lost
            self.writer.lost = 0
        self.writer.write(json.dumps(line, default=_plain).encode() + b"\n")


def standard_output() -> EventLog:
    """Return the log on standard output; on a closed one nothing is written."""
    try:
        descriptor = sys.stdout.fileno() if sys.stdout else None
    except (OSError, ValueError):
        descriptor = None
    return EventLog(LineWriter(descriptor))


def _plain(value: Any) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)
