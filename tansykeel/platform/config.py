"""The platform's configuration file, checked. Its `settings` are the object of the bench's first message."""

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

# The system lacks something for a moment, or the medium does.
MAY_PASS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EINTR, errno.EAGAIN})
READ_AGAIN_AFTER = 0.1  # seconds until a file that could not be read is read again
READ_WITHIN = 3.0  # seconds for which that is tried
PHASES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


class Illegal(Problem, ValueError):
    """The platform's configuration file can't be used."""

    advice = "correct the file that EDGE_CONFIG names; the gateway reads it at its start and on SIGHUP"


class Unreadable(Illegal):
    """The platform's configuration file can't be read."""

    advice = "make the file that EDGE_CONFIG names readable; where the system lacks something, it is tried again"

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}; legal: a file that can be read")
        self.may_pass = error.errno in MAY_PASS


class Member(Struct, frozen=True):
    id: Annotated[str, Meta(min_length=1, max_length=128)]
    host_port: str
    cell: Annotated[int, Meta(ge=0, le=65535)]
    phase: Literal["Ready", "Terminating", "Gone"]
    locality: str = ""
    up_since_ms: float = 0


class Members(Struct, frozen=True):
    """Discovery's form of the list, or of a change to it."""

    revision: Annotated[int, Meta(ge=0)]
    complete: bool
    members: tuple[Member, ...]


class Limits(Struct, frozen=True):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 2048
    sockets: Annotated[int, Meta(ge=64)] = 1024


class File(Struct, frozen=True):
    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = Limits()
    known: Members = Members(0, False, ())


@dataclass(frozen=True, slots=True)
class Config:
    file: File
    facts: SchedulerConfig
    zones: dict[str, int]  # by the name that discovery gives
    connect_within: float  # seconds
    idle_close: float  # seconds after which stores close a connection that idles
    open_tasks: int  # that the platform lets a gateway hold
    seed: int

    @property
    def longest(self) -> float:
        """The longest deadline, in seconds."""
        return max(category.deadline for category in self.facts.categories) * TENTH / 1e9


def read_at_start(path: str) -> Config:
    """As `read`, again for a while where the system lacks something. Raises Illegal."""
    last_try = time.monotonic() + READ_WITHIN
    while True:
        try:
            return read(path)
        except Unreadable as error:
            if not error.may_pass or time.monotonic() >= last_try:
                raise
            time.sleep(READ_AGAIN_AFTER)


def read(path: str) -> Config:
    """Raises Illegal."""
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
    figures = []
    for name, least, default in (("DialTimeout", TENTH, 250e6), ("IdleClose", 1e9, 15e9), ("MaxOpen", 1, 20_000)):
        value = limits.get(name) or default
        if not isinstance(value, int | float) or not value >= least:
            raise Illegal(f"{path}: settings.Limits.{name}: {value!r}; legal: {least:g} at least")
        figures.append(value)
    return Config(file, facts, zones, figures[0] / 1e9, figures[1] / 1e9, int(figures[2]), seed)
