"""A request that its store takes slowly: it has not begun before its last byte is written."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from platform_stage import SETTINGS, FakeStore, request_bytes, run_test, staged, until

SLACK = 0.15  # seconds by which the time told to a store may be over what the client has left
NO_CANCEL = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}
BODY = b"x" * 60_000


class SlowReadingStore(FakeStore):
    """Reads nothing of a request for some seconds; notes when each was whole and what time it was told."""

    def __init__(self, name, shard, seconds):
        super().__init__(name, shard)
        self.seconds, self.whole = seconds, {}
        self.reply = self._note

    def _note(self, request):
        self.whole[request.fields[b"x-txn"]] = (time.monotonic(), float(request.fields[b"x-remaining"]))
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def start(self):
        await super().start()
        for sock in self.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        return self

    async def talk(self, reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(self.seconds)
        writer.transport.resume_reading()
        await super().talk(reader, writer)


@pytest.fixture(autouse=True)
def small_send_buffers(monkeypatch):
    """So that a body does not fit into what the kernel holds."""
    from tansykeel.platform import connection

    def open_small(address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(connection, "open_socket", open_small)


def test_the_time_told_is_not_older_than_the_slack_when_the_last_byte_comes(tmp_path):
    async def go():
        store = SlowReadingStore("s0", 0, 0.7)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            sent = time.monotonic()
            client.writer.write(request_bytes(1, body=BODY, x_remaining="2.0"))
            answer = await client.answer()
            assert answer and answer.status in (200, 503)
            await asyncio.sleep(0.2)
            late = [told for came, told in store.whole.values() if told > sent + 2.0 - came + SLACK]
            assert not late

    run_test(go())


@pytest.mark.parametrize("settings", [SETTINGS, NO_CANCEL], ids=["cancel", "no cancel"])
def test_what_is_partly_written_for_a_client_that_left_is_not_finished(tmp_path, settings):
    async def go():
        store = SlowReadingStore("s0", 0, 0.6)
        async with staged(tmp_path, store, settings=settings) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1, body=BODY))
            await until(lambda: stage.gateway.core.counts.hand_offs == 1)
            await asyncio.sleep(0.05)
            client.writer.transport.abort()
            await asyncio.sleep(1.2)
            assert not store.whole

    run_test(go())
