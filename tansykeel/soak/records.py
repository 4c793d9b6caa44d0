"""What the processes of a soak test write down, one JSON object a line. Times are seconds of the monotonic clock, which
all processes of one machine share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from pathlib import Path
from time import monotonic
from typing import IO

import msgspec
from msgspec import Struct

FLUSH_EVERY = 0.1  # seconds
CROWD = "CROWD"  # the name of a record of a gateway whose descriptors idle clients fill


class Sent(Struct, tag=True, frozen=True):
    """A client wrote the last byte of a request."""

    at: float
    id: str
    gateway: str
    request_class: str
    deadline: float
    fresh: bool  # the first request on its connection


class Answered(Struct, tag=True, frozen=True):
    """A client read the last byte of its answer."""

    at: float
    id: str
    status: int


class EndedUnanswered(Struct, tag=True, frozen=True):
    """The gateway ended the connection of a request that had no answer."""

    at: float
    id: str
    how: str


class Left(Struct, tag=True, frozen=True):
    """A client closed its connection over its request."""

    at: float
    id: str


class Misbehaved(Struct, tag=True, frozen=True):
    """A client stopped in the middle of a request and stayed, until an error or an end came."""

    at: float
    until: float
    gateway: str
    outcome: str  # "answer", "end" or "nothing"


class Arrived(Struct, tag=True, frozen=True):
    """The last byte of an attempt came to a store, which was told the time that is left."""

    at: float
    id: str
    store: str
    connection: int
    told: float


class Ran(Struct, tag=True, frozen=True):
    """A store carried a request out."""

    at: float
    id: str
    store: str


class Over(Struct, tag=True, frozen=True):
    """An attempt has its answer, or its connection was closed by the gateway."""

    at: float
    id: str
    store: str
    connection: int


class Told(Struct, tag=True, frozen=True):
    """Discovery wrote a store's state to a gateway."""

    at: float
    gateway: str
    store: str
    phase: str
    started: float  # monotonic; 0: long ago


class Process(Struct, tag=True, frozen=True):
    """Something was done to a process, most of them gateways', or it ended."""

    at: float
    gateway: str
    event: str  # start, ready, not ready, stop, continue, terminate, kill, exit, store killed
    code: int = 0


class Fault(Struct, tag=True, frozen=True):
    """A fault began, or (name `CROWD`) clients that fill a gateway's descriptors."""

    at: float
    name: str
    target: str
    detail: str = ""


Record = Sent | Answered | EndedUnanswered | Left | Misbehaved | Arrived | Ran | Over | Told | Process | Fault
_decoder = msgspec.json.Decoder(Record)


class Recorder:
    """Appends records to a file, each at once."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab", buffering=1 << 16)

    def write(self, record: Record) -> None:
        """Append a record."""
        self._file.write(msgspec.json.encode(record) + b"\n")

    def flush(self) -> None:
        """Hand over what was written."""
        self._file.flush()

    async def keep_flushing(self) -> None:
        """Flush several times a second, until cancelled: what was done by a process that is killed is not lost."""
        while True:
            await asyncio.sleep(FLUSH_EVERY)
            self.flush()


def read_records(paths: Iterable[Path]) -> list[Record]:
    """Return all records of all files by time; a last line that a killed process did not finish is left out."""
    found: list[Record] = []
    for path in paths:
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b"\n"):
                found.append(_decoder.decode(line))
    return sorted(found, key=lambda record: record.at)


def now() -> float:
    """Return the time that records carry."""
    return monotonic()
