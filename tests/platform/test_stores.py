"""Connections to stores: answers that coincide with an end, a timeout or the next request, and which requests may be
sent again."""

from __future__ import annotations

import asyncio
import socket

import pytest
from platform_stage import SETTINGS, FakeStore, no_descriptors, ok, request_bytes, run_test, staged, until

from tansykeel.platform import connection as connection_module
from tansykeel.platform import pool as pool_module
from tansykeel.transport.stream import Stream

NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
AT_MOST_ONCE = SETTINGS | {"Classes": [one | {"Repeat": "at_most_once"} for one in SETTINGS["Classes"]]}
idempotent_and_at_most_once = pytest.mark.parametrize(
    "settings", [SETTINGS, AT_MOST_ONCE], ids=["idempotent", "at most once"]
)


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


def end(writer):
    writer.write_eof()


async def served_again(client):
    """Ask until the gateway sends to the store again after a timeout."""
    for id in range(100, 200):
        if (answer := await client.ask(id)).status == 200:
            return answer
        await asyncio.sleep(0.05)
    raise AssertionError("the store was not asked again")


@pytest.mark.parametrize("size", [0, 4, 200_000])
def test_an_answer_without_a_length_is_whole_at_the_orderly_end(tmp_path, size):
    async def go():
        store = FakeStore("s0", 0, lambda request: NO_LENGTH + b"x" * size)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            for id in (1, 2):
                client.writer.write(request_bytes(id))
                await until(lambda id=id: len(store.requests) == id)
                end(store.writers[-1])
                answer = await client.answer()
                assert (answer.status, answer.body) == (200, b"x" * size)
            assert len(store.writers) == 2 and stage.gateway.core.counts.outcomes == {"delivered": 2}

    run_test(go())


@idempotent_and_at_most_once
@pytest.mark.parametrize("head", [NO_LENGTH, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"])
def test_a_reset_does_not_complete_an_answer(tmp_path, settings, head):
    """The request may have run, so it is sent again only if its class allows that."""

    async def go():
        store = FakeStore("s0", 0, lambda request: head + b"bod" if len(store.requests) == 1 else ok())
        async with staged(tmp_path, store, settings=settings) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1))
            await until(
                lambda: any(
                    connection.reader and not connection.reader._head and connection.reader.size == 3
                    for pool in stage.gateway.stores.pools.values()
                    for connection in pool.connections
                )
            )
            reset(store.writers[0])
            answer = await client.answer()
            assert (answer.status, len(store.requests)) == ((500, 1) if settings is AT_MOST_ONCE else (200, 2))
            assert stage.gateway.core.counts.outcomes["reset"] == 1

    run_test(go())


def test_an_answer_without_a_length_that_exceeds_the_limit_is_an_error(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: NO_LENGTH + b"x" * (2 << 20))
        async with staged(tmp_path, store) as stage:
            assert (await (await stage.client()).ask(1)).status == 503
            assert stage.gateway.core.counts.outcomes == {"error": 3} and stage.gateway.stores.held_bytes() == 0

    run_test(go())


@pytest.mark.parametrize("cancel", [True, False])
def test_an_answer_without_a_length_that_ends_after_the_timeout_is_discarded(tmp_path, cancel):
    async def go():
        store = FakeStore("s0", 0, lambda request: NO_LENGTH + b"late")
        settings = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": cancel}}
        async with staged(tmp_path, store, settings=settings) as stage:
            client = await stage.client()
            assert (await client.ask(1, x_remaining="0.3")).status in (500, 503)
            end(store.writers[0])
            await until(lambda: not any(pool.connections for pool in stage.gateway.stores.pools.values()))
            store.reply = lambda request: ok(b"own")
            assert (await served_again(client)).body == b"own"

    run_test(go())


def test_an_endless_answer_to_an_answered_task_is_abandoned(tmp_path, monkeypatch):
    """If attempts may not be cancelled, a connection must not wait forever for an answer that nobody needs."""

    async def go():
        store = FakeStore("s0", 0, lambda request: NO_LENGTH + b"x")
        settings = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}
        async with staged(tmp_path, store, settings=settings) as stage:
            assert (await (await stage.client()).ask(1, x_remaining="0.3")).status in (500, 503)
            stores = stage.gateway.stores
            stores.check_timeouts()
            pool = next(iter(stores.pools.values()))
            assert len(pool.connections) == 1
            now = stores.now
            stores.now = lambda: now() + stores.longest_deadline + pool_module.ABANDON_AFTER
            pool.check_timeouts(stores.now())
            assert not pool.connections

    run_test(go())


@pytest.mark.parametrize("what", [b"half a li", ok(b"copy"), ok(b"copy")[:9]])
@pytest.mark.parametrize("crowded", [True, False])
def test_bytes_on_an_idle_connection_are_not_read_as_the_next_answer(tmp_path, what, crowded):
    """The bytes arrive between an answer and the next request and are still unread when that request is handed off.
    `crowded`: no other connection may be opened."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]))
        async with staged(tmp_path, store) as stage:
            client, stores = await stage.client(), stage.gateway.stores
            if crowded:
                stores.max_connections = 1
            assert (await client.ask(1)).body == b"%016x" % 1
            hand_off = stores.hand_off

            def send_late_bytes_then_hand_off(attempt):
                sock = store.writers[0].get_extra_info("socket")
                if len(store.requests) == 1 and sock.fileno() >= 0:
                    socket.socket.send(socket.socket(fileno=socket.dup(sock.fileno())), what)
                hand_off(attempt)

            stores.hand_off = send_late_bytes_then_hand_off
            assert (await client.ask(2)).body == b"%016x" % 2
            assert (await client.ask(3)).body == b"%016x" % 3
            assert [request.fields[b"x-txn"] for request in store.requests] == [b"%016x" % id for id in (1, 2, 3)]

    run_test(go())


def test_a_connection_cools_down_after_an_answer_though_no_other_may_be_opened(tmp_path, monkeypatch):
    """A second answer that is a few milliseconds late must not be read as the next request's."""
    monkeypatch.setattr(pool_module, "COOL_DOWN", 0.2)

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]))
        async with staged(tmp_path, store) as stage:
            stage.gateway.stores.max_connections = 1
            client = await stage.client()
            assert (await client.ask(1)).body == b"%016x" % 1
            client.writer.write(request_bytes(2))
            await until(lambda: stage.gateway.core.counts.hand_offs == 2)
            assert len(store.requests) == 1
            store.writers[0].write(ok(b"copy"))
            assert (await client.answer()).body == b"%016x" % 2

    run_test(go())


@idempotent_and_at_most_once
@pytest.mark.parametrize("whole", [True, False])
def test_a_request_reset_before_its_last_byte_never_ran_and_one_after_it_may_have(
    tmp_path, monkeypatch, settings, whole
):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            client, write, held_streams = await stage.client(), Stream.write, []

            def write_part(stream, data):
                if b"X-Remaining" in data and not held_streams:
                    held_streams.append(stream)
                    if not whole:
                        write(stream, data[:-1])  # the socket does not take the last byte
                        stream.unsent += data[-1:]
                        return
                write(stream, data)

            monkeypatch.setattr(Stream, "write", write_part)
            client.writer.write(request_bytes(1, body=b"abc"))
            await until(lambda: held_streams and store.writers and (store.requests or not whole))
            store.reply = lambda request: ok()
            reset(store.writers[0])
            answer = await client.answer()
            ran = whole and settings is AT_MOST_ONCE
            assert (answer.status, len(store.requests)) == ((500, 1) if ran else (200, 2 if whole else 1))
            assert ("reset" in stage.gateway.core.counts.outcomes) is whole

    run_test(go())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_connection_established_after_its_client_left_or_its_store_drains_sends_nothing(
    tmp_path, monkeypatch, leaves
):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            delayed, connected = [], Stream._connected

            def delay_connect(stream):
                if stream not in delayed:
                    delayed.append(stream)
                    stage.gateway.loop.remove_writer(stream.sock)
                else:
                    connected(stream)

            monkeypatch.setattr(Stream, "_connected", delay_connect)
            client = await stage.client()
            client.writer.write(request_bytes(1, x_remaining="1.0"))
            await until(lambda: delayed)
            if leaves:
                client.writer.transport.abort()
                await until(lambda: stage.gateway.core.counts.left == 1)
            else:
                stage.list.send_update([store.row(phase="Terminating")])
                await until(lambda: stage.gateway.core.list_version == 6)
                assert (await client.answer()).status == 503
            for stream in delayed:
                connected(stream)
            await asyncio.sleep(0)
            pool = next(iter(stage.gateway.stores.pools.values()))
            assert not pool.waiting and not store.requests and not any(one.attempt for one in pool.connections)

    run_test(go())


def test_an_answer_and_an_end_that_arrive_with_the_timeout(tmp_path):
    """The timeout, the answer and the end come in one iteration of the event loop, the timeout first: one outcome is
    reported, nothing is sent twice, and the gateway keeps working."""

    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store, settings=AT_MOST_ONCE) as stage:
            client, core = await stage.client(), stage.gateway.core
            client.writer.write(request_bytes(1))
            await until(lambda: store.requests)
            attempt = next(iter(core.held.values())).open_attempts[0]
            store.writers[0].write(ok())
            end(store.writers[0])
            core.runner.advance_clock(attempt.deadline)
            core._attempt_timed_out(attempt)
            answer = await client.answer()
            assert answer.status == 500 and core.counts.outcomes == {"timed out": 1} and len(store.requests) == 1
            await until(lambda: not core.held and not any(p.connections for p in stage.gateway.stores.pools.values()))
            store.reply = lambda request: ok()
            await served_again(client)

    run_test(go())


def test_no_descriptor_for_a_first_attempt_closes_idle_clients_and_is_no_failure_of_the_store(tmp_path, monkeypatch):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            monkeypatch.setattr("tansykeel.platform.clients.EVICTION_GRACE", 0.0)
            await stage.client()
            refused = no_descriptors(monkeypatch, connection_module, 3)
            assert (await (await stage.client()).ask(1)).status == 200
            assert len(refused) == 3 and stage.gateway.core.counts.outcomes == {"delivered": 1}

    run_test(go())
