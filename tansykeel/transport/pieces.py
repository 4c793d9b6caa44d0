"""Collects the pieces of a body. Tiny ones are joined: an object for each would take many times their bytes."""

from __future__ import annotations

from typing import Any

SMALL = 512  # bytes; a piece of so many or more is kept as it came where nothing can be joined to it
JOINED = 16 << 10  # bytes up to which pieces are joined


def add_piece(pieces: list[bytes], data: bytes) -> None:
    """Add the next piece of a body. The last one may be a bytearray that grows: use them once all have come."""
    last = pieces[-1] if pieces else None
    if isinstance(last, bytearray) and len(last) < JOINED:
        last += data
    elif len(data) < SMALL:
        growing: Any = bytearray(data)
        pieces.append(growing)
    else:
        pieces.append(data)
