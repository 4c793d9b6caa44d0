"""Guards against connections that leave what they have read in memory for seconds after their end.

What happened: answers that could not be read took a gateway over its memory, although each was rejected at once. After
each one 65 to 600 KB stayed until the next garbage collection, 5 s later at most: 90 to 172 MB under 140 such answers a
second, and over 192 MB where the answers were many short fields.

What showed the cause: with the collector off, the 64 KB of each last read were held by the frames of a traceback, that
of the exception that the reader kept as its fault, and fields by parsers that refer to their readers.
"""

from __future__ import annotations

import gc
import socket
import tracemalloc
import weakref
from contextlib import contextmanager, suppress

import pytest
from platform_stage import SETTINGS, FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.http1.codec import AnswerReader, RequestReader
from tansykeel.http1.messages import Malformed
from tansykeel.transport.stream import READ

ONE_TRY = SETTINGS | {"Limits": SETTINGS["Limits"] | {"MostTries": 1}}
ANSWERS = 20  # spoilt answers in one play
MOST_LEFT = READ // 2  # bytes that a spoilt answer may leave behind: less than what one read brings
OK = b"HTTP/1.1 200 OK\r\n"
SPOILT = {
    "a field without end": OK + b"X-Long: " + b"a" * 200_000,
    "fields without end": OK + b"".join(b"f%d: v\r\n" % number for number in range(20_000)),
    "interim answers without end": b"HTTP/1.1 100 Continue\r\n\r\n" * 8_000,
    "blank lines without end": b"\r\n" * 100_000,
    "a body of 3 GB": OK + b"Content-Length: 3000000000\r\n\r\n" + b"z" * 200_000,
    "noise": b"\x00\x01" * 100_000,
    "noise behind a good answer": ok() + b"z" * 200_000,
}


@contextmanager
def no_collection():
    """Turn the garbage collector off: what is in memory then is what its last reference keeps there."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@pytest.mark.parametrize("form", SPOILT)
def test_a_spoilt_answer_leaves_nothing_in_memory(tmp_path, form):
    async def go():
        store = FakeStore("s0", 0, lambda request: SPOILT[form])
        async with staged(tmp_path, store, settings=ONE_TRY) as stage:
            client = await stage.client()
            await client.ask(1)
            with no_collection():
                tracemalloc.start()
                before = tracemalloc.get_traced_memory()[0]
                for number in range(ANSWERS):
                    assert (await client.ask(2 + number)).status in (200, 503)
                    store.writers.clear()
                await until(lambda: not any(pool.connections for pool in stage.gateway.stores.pools.values()))
                left = (tracemalloc.get_traced_memory()[0] - before) / ANSWERS
                tracemalloc.stop()
            assert left < MOST_LEFT

    run_test(go())


def test_an_answer_that_a_client_never_took_is_not_kept(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: ok(b"d" * 900_000))
        async with staged(tmp_path, store) as stage:
            client = await stage.client(receive=4_096)
            await until(lambda: stage.gateway.clients.conns)
            (connection,) = stage.gateway.clients.conns
            connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            client.writer.transport.pause_reading()
            client.writer.write(request_bytes(1))
            await until(lambda: connection.stream.unsent)
            with no_collection():
                client.writer.transport.abort()
                await until(lambda: not stage.gateway.clients.conns)
                assert not connection.stream.unsent

    run_test(go())


@pytest.mark.parametrize("reader_type", [AnswerReader, RequestReader])
@pytest.mark.parametrize("data", [b"", b"\x00", b"HTTP/1.1 200 OK\r\nX: a"], ids=["unused", "fault", "half"])
def test_a_closed_reader_is_not_kept(reader_type, data):
    with no_collection():
        reader = reader_type()
        reader.feed(data)
        with suppress(Malformed):
            reader.next()
        reader.close()
        kept = weakref.ref(reader)
        del reader
        assert kept() is None
