"""Guards against requests that take many times the memory that is counted for them.

What happened: clients that send thousands of tiny requests behind one whose store hangs took a gateway from 15 to
150 MB (six clients with 60,000 each), as of each request only its body and its values were counted. A request that is
held kept all fields of its head: 1,000 short ones take ten times their 8 KiB.
"""

from __future__ import annotations

import tracemalloc

from platform_stage import FakeStore, request_bytes, run_test, staged, until

MEMORY_MB = 8  # of which an eighth is for requests that are not handled yet
MOST_HELD = 16 << 10  # bytes that a held request without a body may take: twice the bound of its head
TINY = b"GET / HTTP/1.1\r\nHost:a\r\n\r\n"


def test_tiny_requests_sent_ahead_are_bounded_by_the_memory_that_they_take(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
        async with staged(tmp_path, store, limits=limits) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1))
            await until(lambda: store.requests)
            client.writer.write(TINY * 20_000)
            assert (await client.answer()).status == 413

    run_test(go())


def test_a_held_request_does_not_keep_the_fields_that_are_not_needed(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        fields = {f"x{number:x}": "" for number in range(1_000)}
        async with staged(tmp_path, store) as stage:
            clients = [await stage.client() for _ in range(20)]
            requests = [request_bytes(number, **fields) for number in range(len(clients))]
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            for client, request in zip(clients, requests, strict=True):
                client.writer.write(request)
            await until(lambda: stage.gateway.core.counts.taken == len(clients))
            held = (tracemalloc.get_traced_memory()[0] - before) / len(clients)
            tracemalloc.stop()
            assert held < MOST_HELD

    run_test(go())
