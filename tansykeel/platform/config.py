"""Reads and checks the platform's configuration file.

Its `settings` object has the same form as the one in the first message of the bench's protocol.
"""

from __future__ import annotations

import errno
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from tansykeel.errors import Problem
from tansykeel.interface import SchedulerConfig
from tansykeel.settings.facts import TENTH
from tansykeel.settings.given import NotLegal, facts_of
from tansykeel.transport.sockets import address_of

# Errors of a read that may be gone at the next try: resources that are short for a moment, a failure of the medium.
TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})
RETRY_DELAY = 0.1  # seconds until a file that could not be read is read again
RETRY_PERIOD = 3.0  # seconds for which reading is retried
PHASES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}  # discovery's phases to names of store states


class Illegal(Problem, ValueError):
    """The platform's configuration file can't be used."""

    advice = "correct the file that EDGE_CONFIG names; the gateway reads it at its start and on SIGHUP"


class Unreadable(Illegal):
    """The platform's configuration file can't be read."""

    advice = "make the file that EDGE_CONFIG names readable; where the system lacks something, it is tried again"

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}; legal: a file that can be read")
        self.is_transient = error.errno in TRANSIENT_ERRORS


class Member(Struct, frozen=True):
    """A store in discovery's list. `cell` is its shard, `up_since_ms` its start in milliseconds of Unix time."""

    id: Annotated[str, Meta(min_length=1, max_length=128)]
    host_port: str
    cell: Annotated[int, Meta(ge=0, le=65535)]
    phase: Literal["Ready", "Terminating", "Gone"]
    locality: str = ""
    up_since_ms: float = 0


class Members(Struct, frozen=True):
    """Discovery's list of stores, or a change to it if it is not `complete`."""

    revision: Annotated[int, Meta(ge=0)]
    complete: bool
    members: tuple[Member, ...]


class Limits(Struct, frozen=True):
    """What the process may use. `sockets` is its number of descriptors."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 2048
    sockets: Annotated[int, Meta(ge=64)] = 1024


class File(Struct, frozen=True):
    """The configuration file's contents. `known` is the list of stores as last known when the file was written."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = Limits()
    known: Members = Members(0, False, ())


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration: the file's contents and what is derived from them."""

    file: File
    facts: SchedulerConfig
    zones: dict[str, int]  # number of each zone, by its name in discovery
    connect_within: float  # seconds in which a connection to a store has to be established
    idle_close: float  # seconds after which stores close an idle connection
    open_tasks: int  # the most tasks that the platform lets a gateway hold
    seed: int

    @property
    def longest_deadline(self) -> float:
        """The longest deadline of all classes, in seconds."""
        return max(category.deadline for category in self.facts.categories) * TENTH / 1e9


def read_at_start(path: str) -> Config:
    """As `read`, retrying for RETRY_PERIOD after a transient error. Raises Illegal."""
    last_try = time.monotonic() + RETRY_PERIOD
    while True:
        try:
            return read(path)
        except Unreadable as error:
            if not error.is_transient or time.monotonic() >= last_try:
                raise
            time.sleep(RETRY_DELAY)


def read(path: str) -> Config:
    """Return the configuration of the file at `path`. Raises Illegal."""
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=File)
    except OSError as error:
        raise Unreadable(path, error) from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise Illegal(f"{path}: {error}") from None
    for where, address in (("listen", file.listen), ("discovery", file.discovery)):
        try:
            address_of(address)
        except ValueError as error:
            raise Illegal(f"{path}: {where}: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise Illegal(f"{path}: seed: {file.seed!r}; legal: hex digits") from None
    try:
        facts = facts_of(file.settings)
    except NotLegal as error:
        raise Illegal(f"{path}: settings: {error}") from None
    limits = file.settings["Limits"]
    zones = {str(name): number for number, name in enumerate(file.settings.get("Dcs") or ())}
    values = []
    for name, least, default in (("DialTimeout", TENTH, 250e6), ("IdleClose", 1e9, 15e9), ("MaxOpen", 1, 20_000)):
        value = limits.get(name) or default
        if not isinstance(value, int | float) or not value >= least:
            raise Illegal(f"{path}: settings.Limits.{name}: {value!r}; legal: {least:g} at least")
        values.append(value)
    return Config(file, facts, zones, values[0] / 1e9, values[1] / 1e9, int(values[2]), seed)
