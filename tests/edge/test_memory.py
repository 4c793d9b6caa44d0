"""Guards against bodies in short pieces that take many times the memory that is reserved for them.

What happened: each chunk of a body was kept as an object of its own, as in `tests/http1/test_memory.py`. A client's
body in chunks of two bytes took some 35 bytes of the gateway for two that were reserved; a store's answer too.
"""

from __future__ import annotations

import sys
import tracemalloc

from stage import FakeStore, deliver, run_test, staged, until

from tansykeel.protocol.frames import OutcomeOf, chunk_head
from tansykeel.transport.pieces import add_piece

DELIVERED = 0
SIZE, PIECE = 20_000, 2  # bytes of a body, and of each of its chunks


def in_chunks(stream, data):
    """Return the frames of a body in chunks of PIECE bytes."""
    return b"".join(chunk_head(stream, PIECE) + data[at : at + PIECE] for at in range(0, len(data), PIECE))


def send_raw(link, data):
    """Send bytes on a connection as they are."""
    link.outgoing._frames.append(data)
    link.outgoing.held += len(data)
    link._wake_writer()


def test_a_body_in_short_chunks_takes_about_the_memory_that_is_reserved():
    async def go():
        store = FakeStore("s0", 0, deliver)
        async with staged(store) as stage:
            client = await stage.client()
            task, data = client.ask("write", size=SIZE, body=b""), bytes(range(250)) * (SIZE // 250)
            send_raw(client.link, in_chunks(task, data[:-PIECE]))
            await until(lambda: [held for held in stage.edge.core.held.values() if held.body_missing == PIECE])
            (held,) = stage.edge.core.held.values()
            assert sum(map(sys.getsizeof, held.body)) <= 2 * SIZE
            send_raw(client.link, in_chunks(task, data[-PIECE:]))
            assert (await client.answer(task)).result == DELIVERED

    run_test(go())


def test_an_answer_in_short_chunks_is_passed_on_whole():
    data = bytes(range(250)) * (SIZE // 250)

    def deliver_in_short_chunks(store, link, stream, request, body):
        link.send(stream, OutcomeOf("delivered", store.shard, body=len(data)))
        send_raw(link, in_chunks(stream, data))

    async def go():
        store = FakeStore("s0", 0, deliver_in_short_chunks)
        async with staged(store) as stage:
            client = await stage.client()
            task = client.ask(size=SIZE)
            assert (await client.answer(task)).result == DELIVERED
            await until(lambda: client.bodies.get(task) == data)

    run_test(go())


def test_short_pieces_are_joined_and_long_ones_kept():
    long_piece, pieces, count = bytes(64 << 10), [], 100_000
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(count):
        add_piece(pieces, bytes(2))
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert b"".join(pieces) == bytes(2 * count)
    assert taken <= 2 * (2 * count)
    pieces = []
    add_piece(pieces, long_piece)
    add_piece(pieces, long_piece)
    assert all(piece is long_piece for piece in pieces)
