"""Clients that disconnect: no attempt begins for them, whatever the gateway is doing when they do."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress

import pytest
from platform_stage import SETTINGS, FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.platform import pool as pool_module

NO_CANCEL = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}
both = pytest.mark.parametrize("settings", [SETTINGS, NO_CANCEL], ids=["cancel", "no cancel"])
ways = pytest.mark.parametrize("way", ["closes", "resets"])
MAX_BEGIN_DELAY = 0.1  # seconds after its client has closed in which an attempt may still begin


def disconnect(sock, way):
    if way == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def connect(stage):
    return socket.create_connection(("127.0.0.1", stage.port))


async def until_disconnected(stage, count=1):
    await until(lambda: stage.gateway.core.counts.left == count)


def forbid_connections(stage, blocked):
    """Let no connection to a store be opened, as if no descriptor were left, while `blocked` is true. Return the method
    that was replaced."""
    room, stores = stage.gateway.stores.may_open_connection, stage.gateway.stores
    stores.may_open_connection = lambda evict=True: not blocked and room(evict)
    return room


@both
@ways
def test_no_attempt_begins_for_a_client_that_disconnected_while_its_hand_off_waited_for_a_connection(
    tmp_path, settings, way
):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            stores, client = stage.gateway.stores, connect(stage)
            await until(lambda: stage.gateway.core.list_version == 5)
            room = forbid_connections(stage, [1])
            client.send(request_bytes(1))
            await until(lambda: any(pool.waiting for pool in stores.pools.values()))
            disconnect(client, way)
            await until_disconnected(stage)
            stores.may_open_connection = room
            for pool in stores.pools.values():
                pool.serve_waiting()
            other = await stage.client()
            assert (await other.ask(2)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests] == [b"2"]
            await until(lambda: not stage.gateway.core.held)

    run_test(go())


@both
@ways
@pytest.mark.parametrize("ahead", [0, 20_000, 300_000])
def test_an_end_of_file_behind_pipelined_bytes_is_seen(tmp_path, settings, way, ahead):
    """The gateway did not read while a request was open, and so missed an end of file behind pipelined bytes."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            stores, client = stage.gateway.stores, connect(stage)
            await until(lambda: stage.gateway.core.list_version == 5)
            room = forbid_connections(stage, [1])
            client.send(request_bytes(1))
            await until(lambda: any(pool.waiting for pool in stores.pools.values()))
            client.setblocking(False)
            begun = time.monotonic()
            with suppress(BlockingIOError):
                client.send((request_bytes(2, body=b"x" * 60_000) * 6)[:ahead])
            disconnect(client, way)
            await until_disconnected(stage)
            assert time.monotonic() - begun < 2.0  # before the request times out
            stores.may_open_connection = room
            assert (await (await stage.client()).ask(3)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests] == [b"3"]

    run_test(go())


@both
@ways
@pytest.mark.parametrize("idle", [True, False])
def test_an_unread_end_of_file_is_seen_before_the_hand_off(tmp_path, monkeypatch, settings, way, idle):
    """The client disconnects within the call that hands off, as it may while the loop is busy.

    `idle`: an idle connection to the store is open already.
    """

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            if idle:
                assert (await (await stage.client()).ask(9)).status == 200
                await asyncio.sleep(2 * pool_module.COOL_DOWN)
            client, hand_off = connect(stage), stage.gateway.stores.hand_off

            def disconnect_first(attempt):
                if stage.gateway.core.counts.left == 0 and client.fileno() >= 0:
                    disconnect(client, way)
                hand_off(attempt)

            stage.gateway.stores.hand_off = disconnect_first
            before = len(store.requests)
            client.send(request_bytes(1))
            await until_disconnected(stage)
            assert (await (await stage.client()).ask(2)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests[before:]] == [b"2"]
            await until(lambda: not stage.gateway.core.held)

    run_test(go())


@both
@ways
def test_no_further_attempt_begins_for_a_client_that_disconnected_after_the_first(tmp_path, settings, way):
    """The client disconnects within the call that reports the first attempt's failure, before a further one begins."""

    async def go():
        failure = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        store = FakeStore("s0", 0, lambda request: failure if request.fields[b"x-txn"][-1:] == b"1" else ok())
        async with staged(tmp_path, store, settings=settings) as stage:
            client, answered = connect(stage), stage.gateway.stores.answer_received

            def disconnect_first(attempt, answer):
                if answer.status == 500:
                    disconnect(client, way)
                answered(attempt, answer)

            stage.gateway.stores.answer_received = disconnect_first
            client.send(request_bytes(1))
            await until_disconnected(stage)
            assert (await (await stage.client()).ask(2)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests] == [b"1", b"2"]

    run_test(go())


@both
def test_no_attempt_begins_for_many_clients_that_disconnect_at_once(tmp_path, settings):
    """Twenty wait for a store that answers one of them; all disconnect in the same iteration of the event loop."""

    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            clients = [connect(stage) for _ in range(20)]
            for id, client in enumerate(clients, 1):
                client.send(request_bytes(id))
            await until(lambda: store.requests and stage.gateway.core.counts.taken == 20)
            answered = stage.gateway.stores.answer_received

            def disconnect_first(attempt, answer):
                while clients:
                    disconnect(clients.pop(), "closes")
                answered(attempt, answer)

            stage.gateway.stores.answer_received = disconnect_first
            begun = {request.fields[b"x-txn"] for request in store.requests}
            store.writers[0].write(ok())
            await until_disconnected(stage, 19)  # the other one was answered
            store.reply = lambda request: ok()
            assert (await (await stage.client()).ask(99)).status == 200
            assert {request.fields[b"x-txn"] for request in store.requests} - begun == {b"%016x" % 99}

    run_test(go())


def test_too_many_pipelined_bytes_get_a_413_and_cancel_the_open_task(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store) as stage:
            flood, other = await stage.client(), await stage.client()
            flood.writer.write(request_bytes(1))
            await until(lambda: store.requests)
            flood.writer.write(request_bytes(2, body=b"x" * 60_000) * 40)
            answer = await flood.answer()
            assert (answer.status, answer.keep_alive) == (413, False)
            store.reply = lambda request: ok()
            assert (await other.ask(3)).status == 200 and len(store.requests) == 2
            assert not stage.gateway.open_requests and stage.gateway.clients.unread_bytes == 0

    run_test(go())


@both
@ways
@pytest.mark.parametrize("after", [0.0, 0.005, 0.02])  # seconds
def test_requests_sent_at_once_are_not_sent_on_once_their_client_has_closed(tmp_path, settings, way, after):
    """The operators' picture: a client closed with much still unread, and its requests were sent on afterwards."""

    async def go():
        arrivals, loop = [], asyncio.get_running_loop()

        class SlowStore(FakeStore):
            async def talk(self, reader, writer):
                while await reader.read(65536):
                    arrivals.append(loop.time())
                    await asyncio.sleep(0.01)
                    writer.write(ok())

        store = SlowStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            closed = 0.0
            for first in (100, 200, 300):
                client = connect(stage)
                client.sendall(b"".join(request_bytes(first + number, body=b"x" * 200) for number in range(60)))
                await asyncio.sleep(after)
                disconnect(client, way)
                closed = loop.time()
                await asyncio.sleep(0.3)
                assert not [arrival for arrival in arrivals if arrival > closed + MAX_BEGIN_DELAY]
                arrivals.clear()
            assert not stage.gateway.open_requests and stage.gateway.clients.unread_bytes == 0

    run_test(go())
