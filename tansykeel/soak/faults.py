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
    RELOAD_SERIES = "discovery moved several times in a row"
    SIGNAL_SERIES = "gateway restarted by signals in series"
    OPTIONS_FAIL = "setsockopt fails"
    EPOLL_FAILS = "epoll_ctl fails"
    SURGE = "load surges"


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
    Kind.RELOAD_SERIES: 3,
    Kind.SIGNAL_SERIES: 3,
    Kind.OPTIONS_FAIL: 2,
    Kind.EPOLL_FAILS: 2,
    Kind.SURGE: 3,
}
CROWD_PART = 1 / 3  # of all seeds whose play has a crowd
CROWDED_GATEWAYS = 3


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


def draw_crowd(seed: int, gateways: int) -> list[int]:
    """Draw the gateways whose descriptors idle clients fill through the whole play; none on most seeds."""
    chance = random.Random(f"crowd {seed}")
    if chance.random() >= CROWD_PART:
        return []
    return sorted(chance.sample(range(gateways), min(CROWDED_GATEWAYS, gateways)))


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
        Kind.OPTIONS_FAIL: (errno.ENOBUFS, errno.ENOMEM),
        Kind.EPOLL_FAILS: (errno.ENOMEM, errno.ENOSPC),
        Kind.STORE_REPLACED: (0, 1),  # 1: by one that shows no queue
        Kind.RELOAD_SERIES: (2, 3, 4),
    }
    figure = chance.choice(figures.get(kind, (0.0,)))
    seconds = chance.uniform(0.3, 2.5) if kind is not Kind.STOP else chance.choice([0.2, 0.5, 1.0, 1.8])
    return PlannedFault(at, kind, target, seconds, figure)
