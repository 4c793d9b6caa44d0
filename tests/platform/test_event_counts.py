"""Counts by cause of ended connections, retries and rejections, and the trace of a request."""

from __future__ import annotations

import asyncio

from platform_stage import FakeStore, ok, run_test, staged, until


def test_ended_connections_retries_and_rejections_are_counted_by_cause(tmp_path):
    answers = iter([b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ok(), None])

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: next(answers))) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            client, idle = await stage.client(), await stage.client()
            assert (await client.ask(1)).status == 200
            assert (await client.ask(2, x_remaining="0.4")).status == 503
            client.writer.transport.abort()
            assert (await idle.answer()).status == 408
            idle.writer.close()
            await until(lambda: not stage.gateway.clients.conns)
            counts = stage.gateway.counts
            assert counts.retries == {"error": 1}
            assert counts.rejections == {"timed out": 1}
            assert counts.client_ends == {"the client ended it": 1, "it was told an error": 1}
            assert counts.store_connection_ends == {"its attempt was cancelled or timed out": 1}

    run_test(go())


def test_the_trace_has_every_event_of_a_request_with_its_id(tmp_path):
    lines = []

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            stage.gateway.counts.log = lambda event, **fields: lines.append((event, fields))
            client = await stage.client()
            assert (await client.ask(7)).status == 200
            await asyncio.sleep(0)
            id = b"%016x" % 7
            assert [event for event, fields in lines if fields.get("id") == id] == [
                "taken",
                "attempt",
                "outcome",
                "answered",
            ]

    run_test(go())
