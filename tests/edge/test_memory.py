"""The fault of `tests/http1/test_memory.py` on the project's own protocol: bodies in tiny pieces took many times the
memory that was reserved for them. Seen by reading `Core.receive_body` and the answers in `edge/stores.py` with it in
mind."""

from __future__ import annotations

import tracemalloc

from tansykeel.transport.pieces import add_piece


def test_tiny_pieces_take_about_as_much_memory_as_their_bytes():
    pieces, total = [], 200_000
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for at in range(0, total, 2):
            add_piece(pieces, at.to_bytes(3, "big")[1:])
        taken = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert b"".join(pieces) == b"".join(at.to_bytes(3, "big")[1:] for at in range(0, total, 2))
    assert taken <= 1.5 * total


def test_large_pieces_are_kept_as_they_are():
    large, pieces = bytes(64 << 10), []
    for _ in range(3):
        add_piece(pieces, large)
    assert all(piece is large for piece in pieces)
