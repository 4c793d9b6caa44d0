"""Clients that read their answers slowly, or not at all."""

from __future__ import annotations

import asyncio
import socket

import pytest
from platform_stage import FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.http1 import codec
from tansykeel.platform.clients import Clients


@pytest.mark.parametrize("connection", ["keep-alive", "close"])
def test_a_client_that_reads_slowly_is_not_closed_before_its_answer_is_complete(tmp_path, monkeypatch, connection):
    """A connection whose answer is not fully written must not be closed to make room: its task would be lost."""
    monkeypatch.setattr("tansykeel.platform.clients.EVICTION_GRACE", 0.0)
    monkeypatch.setattr("tansykeel.platform.client_connection.LINGER", 0.0)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: ok(b"x" * 1_000_000))) as stage:
            clients: Clients = stage.gateway.clients
            slow = await stage.client(receive=4096)
            await until(lambda: clients.conns)
            next(iter(clients.conns)).stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            slow.writer.transport.pause_reading()
            slow.writer.write(request_bytes(1, connection=connection))
            await until(lambda: any(client.stream.unsent for client in clients.conns))
            clients.make_room()
            assert not clients.close_one_for_descriptor()
            clients.close_idle()
            clients.check_timeouts()
            slow.writer.transport.resume_reading()
            assert len((await slow.answer()).body) == 1_000_000
            await until(lambda: clients.close_one_for_descriptor() or not clients.conns)

    run_test(go())


async def read_part(sock: socket.socket, size: int) -> bytes:
    """Read exactly `size` bytes, fewer where the connection ends."""
    loop, data = asyncio.get_running_loop(), b""
    while len(data) < size and (more := await loop.sock_recv(sock, size - len(data))):
        data += more
    return data


@pytest.mark.parametrize("reads", [True, False])
def test_a_client_that_reads_slowly_gets_its_whole_answer_and_one_that_reads_nothing_is_closed(tmp_path, reads):
    """The test advances the clock of `Clients` by 4 s between checks; a connection on which no byte was read for 5 s is
    closed.

    The client reads a tenth of the answer at a time, so that most of it is still unread after the last check.
    """

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: ok(b"x" * 1_000_000))) as stage:
            clients: Clients = stage.gateway.clients
            slow = await stage.connected_socket(receive=4096)
            await until(lambda: clients.conns)
            client = next(iter(clients.conns))
            client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            slow.send(request_bytes(1))
            await until(lambda: client.stream.unsent)
            now = clients.now()
            clients.now, closed_count, read = (lambda: now), 0, b""
            client.since = now
            clients.check_timeouts()
            for _ in range(4):
                now += 4.0
                unsent_before = len(client.stream.unsent)
                if reads:
                    read += await read_part(slow, 100_000)
                    await until(lambda unsent_before=unsent_before: len(client.stream.unsent) < unsent_before)
                    assert client.stream.unsent, "a part of the answer has to be unsent at each check"
                clients.check_timeouts()
                closed_count += client.stream.closed
            assert (closed_count > 0) is not reads
            if reads:
                whole = codec.answer(200, b"x" * 1_000_000)
                assert read + await read_part(slow, len(whole) - len(read)) == whole
            slow.close()

    run_test(go())
