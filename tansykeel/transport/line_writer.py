"""Lines to a descriptor that nobody may be reading: written only where that takes no wait, otherwise counted as lost.

A line that was taken in part is finished before another begins.
"""

from __future__ import annotations

import os
import select
from io import TextIOBase

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


class LineStream(TextIOBase):
    """A text file for loggers that print to one: whole lines go to a `LineWriter`."""

    def __init__(self, descriptor: int | None) -> None:
        self._writer = LineWriter(descriptor)
        self._begun = ""

    def write(self, text: str) -> int:
        """Take text; lines are written once they are whole."""
        *lines, self._begun = (self._begun + text).split("\n")
        for line in lines:
            if self._writer.ready():
                self._writer.write(line.encode() + b"\n")
        return len(text)
