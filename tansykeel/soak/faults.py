"""What goes wrong in a soak test, drawn by its seed: two or three faults at a time. No I/O."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass
from enum import Enum

FIRST_FAULT = 3.0  # seconds after the load has begun
LAST_FAULT = 6.0  # seconds before its end from which no fault begins
TIME_BETWEEN = (0.3, 1.6)  # seconds between beginnings, so that two or three overlap
ACCEPT_ERRORS = (errno.ENOBUFS, errno.ENFILE, errno.ECONNABORTED, errno.EINTR, errno.ENOMEM)
CONNECT_ERRORS = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNREFUSED, errno.EINTR)
CLOCK_STEPS = (3600.0, 5.0, -5.0, -3600.0)


class Kind(Enum):
    """Faults by what they are done to."""

    STOP = "gateway stopped"
    RESTART = "gateway restarted"
    RESTART_UNREAD_LOG = "gateway restarted, nobody reads its log"
    KILL = "gateway killed"
    RELOAD = "discovery moved"
    EARLY_RELOAD = "gateway killed, discovery moved as it starts"
    CLOCK_STEP = "wall clock stepped"
    ACCEPT_FAILS = "accept fails"
    CONNECT_FAILS = "connect or socket fails"
    SHORT_CALLS = "reads and writes are short"
    STORE_RESTART = "store restarted cold"
    STORE_REPLACED = "store drained and replaced"
    STORE_HANGS = "store hangs"
    STORE_RESETS = "store resets under requests"
    STORE_BREAKS = "store breaks all its connections"
    DISCOVERY_SILENT = "discovery silent"
    WATCHES_BREAK = "watches break"


WEIGHTS = {
    Kind.STOP: 5,
    Kind.RESTART: 3,
    Kind.RESTART_UNREAD_LOG: 2,
    Kind.KILL: 2,
    Kind.RELOAD: 2,
    Kind.EARLY_RELOAD: 2,
    Kind.CLOCK_STEP: 4,
    Kind.ACCEPT_FAILS: 3,
    Kind.CONNECT_FAILS: 2,
    Kind.SHORT_CALLS: 2,
    Kind.STORE_RESTART: 4,
    Kind.STORE_REPLACED: 4,
    Kind.STORE_HANGS: 3,
    Kind.STORE_RESETS: 2,
    Kind.STORE_BREAKS: 2,
    Kind.DISCOVERY_SILENT: 2,
    Kind.WATCHES_BREAK: 2,
}


@dataclass(frozen=True)
class PlannedFault:
    """One fault: seconds after the load began, on which gateway or store, for how long, and a figure of its own."""

    at: float
    kind: Kind
    target: int
    seconds: float
    figure: float = 0.0


def draw_faults(seed: int, seconds: float, gateways: int, stores: int) -> list[PlannedFault]:
    """Draw a play's faults. All gateways' clocks may be stepped at once, by the same step, as in a fleet that is."""
    chance = random.Random(seed)
    faults = []
    at = FIRST_FAULT
    while at < seconds - LAST_FAULT:
        kind = chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        faults.append(_draw(chance, at, kind, gateways, stores))
        at += chance.uniform(*TIME_BETWEEN)
    return faults


def _draw(chance: random.Random, at: float, kind: Kind, gateways: int, stores: int) -> PlannedFault:
    of_store = kind.value.startswith("store")
    target = chance.randrange(stores if of_store else gateways)
    figures: dict[Kind, tuple[float, ...]] = {
        Kind.CLOCK_STEP: CLOCK_STEPS,
        Kind.ACCEPT_FAILS: ACCEPT_ERRORS,
        Kind.CONNECT_FAILS: CONNECT_ERRORS,
        Kind.SHORT_CALLS: (2, 3, 50),
        Kind.EARLY_RELOAD: (0.1, 0.15, 0.2, 0.3, 0.4),
        Kind.RESTART_UNREAD_LOG: (0, 1),
    }
    figure = chance.choice(figures.get(kind, (0.0,)))
    seconds = chance.uniform(0.3, 2.5) if kind is not Kind.STOP else chance.choice([0.2, 0.5, 1.0, 1.8])
    return PlannedFault(at, kind, target, seconds, figure)
