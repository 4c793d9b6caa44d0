"""The gateway's log: one JSON object a line on standard output. A log that nobody reads never holds the gateway up.

A line is written only where the descriptor takes it at once; otherwise it is dropped, and the next one that is written
says how many are missing (`lines_lost`). A line that was taken in part is finished before another begins.
"""

from __future__ import annotations

import json
import os
import select
import sys
import time
from typing import Any

# Bytes written at once. A pipe that polls as writable takes as much without blocking (pipe(7), PIPE_BUF).
CHUNK = 4096


class LineWriter:
    """Writes lines to a descriptor without ever waiting for it; None stands for one that is closed."""

    def __init__(self, descriptor: int | None) -> None:
        self.descriptor = descriptor
        self.lost = 0  # lines since the last one that was written
        self._rest = b""  # of the last line, what was not taken yet
        self._poll = select.poll()
        if descriptor is not None:
            self._poll.register(descriptor, select.POLLOUT)

    def ready(self) -> bool:
        """Whether a line may be begun; if not, it counts as lost."""
        self._flush()
        if self.descriptor is not None and not self._rest and self._writable():
            return True
        self.lost += 1
        return False

    def write(self, line: bytes) -> None:
        """Write a line once `ready` has said so."""
        self._rest = line
        self._flush()

    def _flush(self) -> None:
        while self._rest and self._writable():
            try:
                assert self.descriptor is not None
                written = os.write(self.descriptor, self._rest[:CHUNK])
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader is gone or the disk is full: the line is lost, the next one is tried.
                self._rest = b""
                self.lost += 1
                return
            self._rest = self._rest[written:]

    def _writable(self) -> bool:
        """Whether a write would not block; one that would fail does not block either."""
        return any(events & ~select.POLLNVAL for _, events in self._poll.poll(0))


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
