"""Encodes messages between gateways for the simulator's wire.

A message is 10 bytes; it is kept short because the simulator charges for each byte that a gateway receives.
"""

from __future__ import annotations

import struct

_MESSAGE = struct.Struct(">QH")
UNIT_FRACTIONS = 100  # units are sent in hundredths, rounded down so that encoding a grant never creates units
MAX_FRACTIONS = 0x7FFF  # larger amounts are sent as this one
GRANT_FLAG = 0x8000
NO_VOLUME = 0  # the message is a greeting or the reply to one


def encode(volume: int | None, units: float, is_grant: bool) -> bytes:
    """Encode a message that asks for units of a volume's limit or grants some; without a volume, a greeting."""
    return _MESSAGE.pack(
        volume or NO_VOLUME, min(int(units * UNIT_FRACTIONS), MAX_FRACTIONS) | (GRANT_FLAG if is_grant else 0)
    )


def decode(message: bytes) -> tuple[int | None, float, bool]:
    """Return the volume, the units and whether they are granted. Raises ValueError for a message of another length."""
    if len(message) != _MESSAGE.size:
        raise ValueError(f"{len(message)} bytes; legal: {_MESSAGE.size}")
    volume, fractions = _MESSAGE.unpack(message)
    return volume or None, (fractions & MAX_FRACTIONS) / UNIT_FRACTIONS, bool(fractions & GRANT_FLAG)
