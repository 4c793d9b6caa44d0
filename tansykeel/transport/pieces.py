"""Collects the pieces of a body. Short ones are joined: an object for each would take many times its bytes."""

from __future__ import annotations

from typing import Any

SHORT_PIECE = 512  # bytes; a longer piece is kept as it came, where no joined piece is open
JOINED_PIECE = 16 << 10  # bytes from which a joined piece grows no further


def add_piece(pieces: list[bytes], data: bytes) -> None:
    """Add the next piece of a body.

    The last one may be a bytearray that grows with later ones: the list is to be used once the body is whole.
    """
    last = pieces[-1] if pieces else None
    if isinstance(last, bytearray) and len(last) < JOINED_PIECE:
        last += data
    elif len(data) < SHORT_PIECE:
        joined: Any = bytearray(data)
        pieces.append(joined)
    else:
        pieces.append(data)
