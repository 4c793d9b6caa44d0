"""A request that its store reads slowly: the store can't begin it before its last byte is written."""

from __future__ import annotations

import asyncio
import time

import pytest
from platform_stage import SETTINGS, SmallBufferStore, request_bytes, run_test, staged, until, use_small_send_buffers

SLACK = 0.15  # seconds by which the time left that a store is told may exceed what the client has left
NO_CANCEL = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}
BODY = b"x" * 60_000


class SlowReadingStore(SmallBufferStore):
    """Reads nothing for some seconds; records when each request was complete and the time left that it stated."""

    def __init__(self, name, shard, seconds):
        super().__init__(name, shard)
        self.seconds, self.completed = seconds, {}
        self.reply = self._record

    def _record(self, request):
        self.completed[request.fields[b"x-txn"]] = (time.monotonic(), float(request.fields[b"x-remaining"]))
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def talk(self, reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(self.seconds)
        writer.transport.resume_reading()
        await super().talk(reader, writer)


@pytest.fixture(autouse=True)
def small_send_buffers(monkeypatch):
    """Make the kernel's send buffers smaller than a body."""
    use_small_send_buffers(monkeypatch)


def test_the_time_left_that_a_store_is_told_is_right_when_the_last_byte_arrives(tmp_path):
    async def go():
        store = SlowReadingStore("s0", 0, 0.7)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            sent = time.monotonic()
            client.writer.write(request_bytes(1, body=BODY, x_remaining="2.0"))
            answer = await client.answer()
            assert answer and answer.status in (200, 503)
            await asyncio.sleep(0.2)
            too_long = [
                time_left
                for completed_at, time_left in store.completed.values()
                if time_left > sent + 2.0 - completed_at + SLACK
            ]
            assert not too_long

    run_test(go())


@pytest.mark.parametrize("settings", [SETTINGS, NO_CANCEL], ids=["cancel", "no cancel"])
def test_a_partly_written_request_of_a_client_that_left_is_not_completed(tmp_path, settings):
    async def go():
        store = SlowReadingStore("s0", 0, 0.6)
        async with staged(tmp_path, store, settings=settings) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1, body=BODY))
            await until(lambda: stage.gateway.core.counts.hand_offs == 1)
            await asyncio.sleep(0.05)
            client.writer.transport.abort()
            await asyncio.sleep(1.2)
            assert not store.completed

    run_test(go())
