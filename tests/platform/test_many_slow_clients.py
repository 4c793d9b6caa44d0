"""Guards against clients that are not served while hundreds of others send long or unsound requests.

What happened: with 800 clients that sent bodies in chunks of one byte, or heads of thousands of short fields, all that
had come was parsed, up to 64 KiB of each connection, before the next client was looked at: 8 of 60, 3 of 83 and 18 of
26 requests of others got no answer. For each piece of a large body the memory of all clients was added up.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

import pytest
from interpreter_steps import steps
from platform_stage import FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.http1 import codec
from tansykeel.platform import read_queue
from tansykeel.platform.client_connection import LONG_READ, Client
from tansykeel.platform.connection import ANSWER_READ, StoreConnection
from tansykeel.platform.read_queue import ReadQueue

BAD_CLIENTS = 60
HEAD = request_bytes(1, body=b"x").split(b"Content-Length")[0]  # of a write
LONG_REQUESTS = {
    "a body in chunks of one byte": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 40_000,
    "chunks with extensions": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1;a=b\r\nx\r\n" * 20_000,
}


@pytest.mark.parametrize("form", LONG_REQUESTS)
def test_a_request_is_answered_before_the_long_ones_of_others_are_read(tmp_path, monkeypatch, form):
    async def go():
        read, data_received = 0, Client._data_received
        store = FakeStore("s0", 0)
        limits = {"cores": 1.0, "memory_mb": 256, "sockets": 512}
        async with staged(tmp_path, store, limits=limits) as stage:

            def count_read(client, data):
                nonlocal read
                read += len(data)
                data_received(client, data)

            monkeypatch.setattr(Client, "_data_received", count_read)
            bad = [await stage.client() for _ in range(BAD_CLIENTS)]
            good = await stage.client()
            assert (await good.ask(1)).status == 200
            for client in bad:
                client.writer.write(LONG_REQUESTS[form])
            read = 0
            assert (await good.ask(2)).status == 200
            assert read < BAD_CLIENTS * len(LONG_REQUESTS[form]) / 4

    run_test(go())


def test_long_answers_of_stores_are_read_in_turn_with_each_other(tmp_path, monkeypatch):
    async def go():
        reads, on_data = [], StoreConnection._on_data
        long = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        stores = [FakeStore(f"s{shard}", shard, lambda request: long) for shard in range(8)]
        limits = {"cores": 1.0, "memory_mb": 256, "sockets": 512}
        async with staged(tmp_path, *stores, limits=limits) as stage:

            def record_read(connection, data):
                reads.append((turn, connection))
                assert len(data) <= ANSWER_READ
                on_data(connection, data)

            monkeypatch.setattr(StoreConnection, "_on_data", record_read)
            monkeypatch.setattr(read_queue, "TURN_TIME", 0.0)  # one read in a turn
            clients = [await stage.client() for _ in stores]
            for shard, client in enumerate(clients):
                client.writer.write(request_bytes(10 + shard, x_extent=f"units=2,shard={shard},hosts=1"))
            turn, answers = 0, asyncio.gather(*(client.answer() for client in clients))
            while not answers.done():
                turn += 1
                await asyncio.sleep(0)
            assert all(answer.body == b"x" * 50_000 for answer in answers.result())
            first = dict(reversed([(connection, read) for read, (_, connection) in enumerate(reads)]))
            later = Counter(turn for read, (turn, connection) in enumerate(reads) if first[connection] != read)
            assert max(later.values()) == 1 and len(later) > 8

    run_test(go())


@pytest.mark.parametrize("field", [b"a:b\r\n", b"a:\r\n", b"abcd: efgh\r\n"])
def test_no_more_fields_are_parsed_than_a_head_may_have(monkeypatch, field):
    parsed, on_header = [], codec.RequestReader.on_header

    def count_field(reader, name, value):
        parsed.append(name)
        on_header(reader, name, value)

    monkeypatch.setattr(codec.RequestReader, "on_header", count_field)
    reader = codec.RequestReader()
    reader.feed(b"GET / HTTP/1.1\r\nHost: a\r\n" + field * 12_000 + b"\r\n")
    assert reader.fault.status == 431
    assert len(parsed) <= codec.MOST_HEAD // len(field) + 2


def test_a_piece_of_a_body_costs_the_same_however_many_clients_there_are(tmp_path):
    async def go():
        limits = {"cores": 1.0, "memory_mb": 256, "sockets": 512}
        async with staged(tmp_path, FakeStore("s0", 0), limits=limits) as stage:
            clients = stage.gateway.clients

            async def steps_of_piece(others):
                while len(stage.connections) < others:
                    client = await stage.client()
                    client.writer.write(HEAD + b"Content-Length: 60000\r\n\r\n" + b"x" * 10_000)
                await until(lambda: clients.unread_bytes >= others * 10_000)
                one = next(iter(clients.conns))
                return steps(lambda: one._data_received(b"x" * 10))

            few = await steps_of_piece(5)
            assert await steps_of_piece(100) <= 1.2 * few

    run_test(go())


def test_a_part_of_a_long_answer_costs_the_same_however_many_clients_there_are(tmp_path):
    async def go():
        part = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100_000
        limits = {"cores": 1.0, "memory_mb": 256, "sockets": 512}
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: part), limits=limits) as stage:
            stores, asking = stage.gateway.stores, await stage.client()
            asking.writer.write(request_bytes(1))
            await until(lambda: stores.incomplete_bytes >= 100_000)
            (pool,) = stores.pools.values()
            (connection,) = pool.connections

            async def steps_of_part(others):
                while len(stage.connections) < others:
                    await stage.client()
                await until(lambda: len(stage.gateway.clients.conns) == others)
                return steps(lambda: connection._on_data(b"x" * 10))

            few = await steps_of_part(5)
            assert await steps_of_part(100) <= 1.2 * few
            asking.writer.transport.abort()
            await until(lambda: stores.incomplete_bytes == 0)

    run_test(go())


def test_answers_that_clients_do_not_take_are_counted_until_they_leave(tmp_path, monkeypatch):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: ok(b"x" * 500_000))) as stage:
            clients, slow = stage.gateway.clients, await stage.client(receive=4_096)
            await until(lambda: clients.conns)
            next(iter(clients.conns)).stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            slow.writer.transport.pause_reading()
            slow.writer.write(request_bytes(1))
            await until(lambda: clients.unsent_bytes() > 100_000)
            assert stage.gateway.stores.held_bytes() == clients.unsent_bytes()
            slow.writer.transport.abort()
            await until(lambda: not clients.conns)
            assert clients.unsent_bytes() == 0

    run_test(go())


STOPPED_REQUESTS = {
    "half way through a body": HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 40_000,
    "in chunks of one byte": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 40_000,
    "in a head of short fields": HEAD + b"".join(b"%x:\r\n" % number for number in range(900)),
}


@pytest.mark.parametrize("form", STOPPED_REQUESTS)
def test_hundreds_of_requests_that_stop_take_no_more_memory_than_is_set(tmp_path, form):
    """The operators' picture, of a process that passed its memory limit. `tests/http1/test_memory.py` compares what is
    counted with what is taken."""

    async def go():
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 512}
        async with staged(tmp_path, FakeStore("s0", 0), limits=limits) as stage:
            clients = stage.gateway.clients
            stopped = [await stage.client() for _ in range(150)]
            most = 0
            for client in stopped:
                client.writer.write(STOPPED_REQUESTS[form])
            while clients.errors[503] + clients.errors[408] < 50:
                await asyncio.sleep(0)
                most = max(most, clients.unread_bytes)
            assert clients.max_unread_bytes == 2 << 20
            assert most <= clients.max_unread_bytes + LONG_READ * 2
            assert (await (await stage.client()).ask(1)).status == 200

    run_test(go())


def test_the_memory_of_unread_requests_is_counted_until_they_are_gone(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: None)) as stage:
            clients = stage.gateway.clients
            served, ended, refused = [await stage.client() for _ in range(3)]
            for client in (served, ended):
                client.writer.write(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 10_000)
            refused.writer.write(b"GET / HTTP/1.1\r\n" + b"".join(b"a%d:b\r\n" % number for number in range(100)))
            await until(lambda: clients.unread_bytes > 20_000 + 100 * 100)
            served.writer.write(b"x" * 10_000)
            refused.writer.write(b"nonsense\r\n")
            ended.writer.transport.abort()
            await until(lambda: clients.unread_bytes == 0)
            assert stage.gateway.open_requests

    run_test(go())


class FakeLoop:
    """A loop whose turns a test takes; each read takes a millisecond."""

    def __init__(self):
        self.time, self.calls, self.read = 0.0, [], []

    def queue(self):
        return ReadQueue(self.calls.append, lambda: self.time)

    def reader(self, name):
        def read():
            self.time += 0.001
            self.read.append(name)

        return read

    def turn(self):
        calls, self.calls[:] = list(self.calls), []
        for call in calls:
            call()


def test_reads_take_turns_within_the_time_of_a_turn(monkeypatch):
    monkeypatch.setattr(read_queue, "TURN_TIME", 0.0035)
    loop = FakeLoop()
    queue, readers = loop.queue(), [loop.reader(name) for name in "abcdefgh"]
    for read in [*readers, *readers]:
        queue.add(read)
    assert loop.read == []
    loop.turn()
    assert "".join(loop.read) == "abcd"
    queue.add(readers[0])
    queue.add(readers[7])
    loop.turn()
    loop.turn()
    assert "".join(loop.read) == "abcdefgha"
    loop.turn()
    assert loop.calls == [] and len(loop.read) == 9


def test_a_read_that_fails_leaves_the_others_their_turn():
    loop = FakeLoop()
    queue = loop.queue()

    def fail():
        raise RuntimeError("planted")

    queue.add(fail)
    queue.add(loop.reader("a"))
    with pytest.raises(RuntimeError):
        loop.turn()
    loop.turn()
    assert loop.read == ["a"]


def test_many_requests_that_are_answered_at_once_are_answered_in_parts(tmp_path):
    """Health checks, for example: one connection may not hold up the others with all that it has sent."""

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            client, other = await stage.client(), await stage.client()
            count = 60
            client.writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n" * count)
            assert (await other.ask(1)).status == 200
            for _ in range(count):
                assert (await asyncio.wait_for(client.answer(), 2)).status == 200

    run_test(go())
