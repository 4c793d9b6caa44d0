"""Words between gateways as bytes on the bench's wire: ten, for each byte that arrives has its price."""

from __future__ import annotations

import struct

_WORD = struct.Struct(">QH")
PARTS = 100  # of a unit: what is given is rounded down, so that none is made on the way
MOST = 0x7FFF
GIFT = 0x8000
NONE = 0  # no volume: a greeting or its answer


def write(volume: int | None, units: float, gift: bool) -> bytes:
    return _WORD.pack(volume or NONE, min(int(units * PARTS), MOST) | (GIFT if gift else 0))


def read(message: bytes) -> tuple[int | None, float, bool]:
    """The volume, its units and whether they are given. Raises ValueError for another length than a word's."""
    if len(message) != _WORD.size:
        raise ValueError(f"{len(message)} bytes; legal: {_WORD.size}")
    volume, parts = _WORD.unpack(message)
    return volume or None, (parts & MOST) / PARTS, bool(parts & GIFT)
