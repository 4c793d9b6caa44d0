"""What a stand-in store is like, and how much of its power it has while it is cold. Times are milliseconds."""

from __future__ import annotations

from msgspec import Struct


class Shape(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a store is like. `unit_ms`: mean work of a unit, by which capacity in units is counted."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 8
    queue: int = 64
    unit_ms: float = 8.0
    write_cost: float = 1.5  # work of a written unit against a read one
    noise: float = 0.3  # spread of a task's work
    cold_share: float = 0.2
    cold_s: float = 6.0
    warm_by: str = "time"  # or work: as much as it could have done meanwhile warms it sooner
    fall_multiple: float = 3.0
    fall_s: float = 1.0
    pause_every_s: float = 0.0  # 0: none
    pause_ms: float = 50.0
    defer: float = 0.0  # part of a write's work that is put off
    flush_s: float = 2.0
    seek: float = 0.0  # part of the work saved on one of the last keys
    remembers: int = 2
    cancel: str = "queued"  # what a cancel stops: none, queued or all
    connections: int = 400


def warmth(age: float, share: float, warm_after: float) -> float:
    """Part of its full power that a store has `age` ms after a cold start."""
    return min(share + (1 - share) * max(age, 0.0) / max(warm_after, 1e-9), 1.0)


def borne(shape: Shape, start: float, end: float, full_units: float) -> float:
    """Units that a store cold since 0 bears between two ages (ms) without falling: multiple x present power."""
    middle = warmth((start + end) / 2, shape.cold_share, shape.cold_s * 1000)  # power rises evenly
    return shape.fall_multiple * full_units * middle * (end - start) / 1000
