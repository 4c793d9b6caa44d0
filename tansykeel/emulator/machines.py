"""What a simulated day of leave is, the machines in it, and what came of it."""

from __future__ import annotations

from dataclasses import dataclass

from tansykeel.maintenance.disruption_budget import Bounds, Place


@dataclass(frozen=True, slots=True)
class Trial:
    """`bad`: the new version serves that part less of one class; `crashes`: it never comes back whole."""

    gateways: int = 10
    stores: int = 12
    zones: int = 3
    seconds: int = 240
    restart_s: float = 2.0
    warm_s: float = 6.0
    tasks_s: float = 20.0  # of each gateway
    loss: float = 0.0
    troubles: int = 0  # drawn
    bad: float = 0.0
    crashes: bool = False
    release: str = "gateways"  # or stores
    bounds: Bounds = Bounds(share=0.2, zone=0.5, shard=1.0, volume=0.5, alone=True)
    settles_s: float = 10.0


@dataclass(slots=True)
class Machine:
    """A gateway's or a store's: what really is so."""

    place: Place
    boot: int = 1
    up: bool = True
    since: int = 0  # of its start
    version: str = "old"
    went: tuple[int, int] = (0, 0)
    by_leave: bool = False  # out by leave, and not whole again since
    dead_since: int = -1  # unasked
    asked_at: int = -1
    asks: int = 0  # whom it asks next
    target: str = ""


@dataclass(frozen=True, slots=True)
class Result:
    state: str  # of the release in the end
    wave: int
    took_s: float  # until it was done, or the day's end
    shortest_s: float
    why: str
    broken: tuple[str, ...]
    most_out: int
    entries: int
