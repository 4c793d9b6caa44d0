"""Clients that leave: nothing begins for them, wherever their end crosses what the gateway is about to do."""

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


def leave(sock, way):
    if way == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def connected(stage):
    return socket.create_connection(("127.0.0.1", stage.port))


async def left(stage, count=1):
    await until(lambda: stage.gateway.core.counts.left == count)


def closed_to_new(stage, here):
    """No connection to a store may be opened, as if no descriptor were left, while `here` holds."""
    room, stores = stage.gateway.stores.room, stage.gateway.stores
    stores.room = lambda make=True: not here and room(make)
    return room


@both
@ways
def test_nothing_begins_for_who_left_while_its_hand_off_waits_for_a_connection(tmp_path, settings, way):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            stores, client = stage.gateway.stores, connected(stage)
            await until(lambda: stage.gateway.core.list_version == 5)
            room = closed_to_new(stage, [1])
            client.send(request_bytes(1))
            await until(lambda: any(pool.waiting for pool in stores.pools.values()))
            leave(client, way)
            await left(stage)
            stores.room = room
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
def test_an_end_behind_what_was_sent_ahead_is_seen(tmp_path, settings, way, ahead):
    """Guards against reading that stops while a request is open: the end stands behind what was sent ahead."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            stores, client = stage.gateway.stores, connected(stage)
            await until(lambda: stage.gateway.core.list_version == 5)
            room = closed_to_new(stage, [1])
            client.send(request_bytes(1))
            await until(lambda: any(pool.waiting for pool in stores.pools.values()))
            client.setblocking(False)
            begun = time.monotonic()
            with suppress(BlockingIOError):
                client.send((request_bytes(2, body=b"x" * 60_000) * 6)[:ahead])
            leave(client, way)
            await left(stage)
            assert time.monotonic() - begun < 2.0  # before its time is up
            stores.room = room
            assert (await (await stage.client()).ask(3)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests] == [b"3"]

    run_test(go())


@both
@ways
@pytest.mark.parametrize("rested", [True, False])
def test_an_end_that_is_not_read_yet_when_its_turn_comes_is_seen_first(tmp_path, monkeypatch, settings, way, rested):
    """The client leaves within the call that hands off, as while the loop is busy."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            if rested:
                assert (await (await stage.client()).ask(9)).status == 200
                await asyncio.sleep(2 * pool_module.COOL_DOWN)
            client, hand_off = connected(stage), stage.gateway.stores.hand_off

            def leaves_then(attempt):
                if stage.gateway.core.counts.left == 0 and client.fileno() >= 0:
                    leave(client, way)
                hand_off(attempt)

            stage.gateway.stores.hand_off = leaves_then
            before = len(store.requests)
            client.send(request_bytes(1))
            await left(stage)
            assert (await (await stage.client()).ask(2)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests[before:]] == [b"2"]
            await until(lambda: not stage.gateway.core.held)

    run_test(go())


@both
@ways
def test_no_further_attempt_begins_for_who_left_after_the_first(tmp_path, settings, way):
    """The client leaves within the call that learns of the first attempt's failure, which a further one follows."""

    async def go():
        failure = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        store = FakeStore("s0", 0, lambda request: failure if request.fields[b"x-txn"][-1:] == b"1" else ok())
        async with staged(tmp_path, store, settings=settings) as stage:
            client, answered = connected(stage), stage.gateway.stores.answered

            def leaves_then(attempt, answer):
                if answer.status == 500:
                    leave(client, way)
                answered(attempt, answer)

            stage.gateway.stores.answered = leaves_then
            client.send(request_bytes(1))
            await left(stage)
            assert (await (await stage.client()).ask(2)).status == 200
            assert [request.fields[b"x-txn"][-1:] for request in store.requests] == [b"1", b"2"]

    run_test(go())


@both
def test_a_burst_that_leaves_at_once_begins_nothing_more(tmp_path, settings):
    """Twenty wait at a store that answers one of them; all leave in the turn of the loop in which it does."""

    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store, settings=settings) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            clients = [connected(stage) for _ in range(20)]
            for id, client in enumerate(clients, 1):
                client.send(request_bytes(id))
            await until(lambda: store.requests and stage.gateway.core.counts.taken == 20)
            answered = stage.gateway.stores.answered

            def leave_then(attempt, answer):
                while clients:
                    leave(clients.pop(), "closes")
                answered(attempt, answer)

            stage.gateway.stores.answered = leave_then
            begun = {request.fields[b"x-txn"] for request in store.requests}
            store.writers[0].write(ok())
            await left(stage, 19)  # one has its answer
            store.reply = lambda request: ok()
            assert (await (await stage.client()).ask(99)).status == 200
            assert {request.fields[b"x-txn"] for request in store.requests} - begun == {b"%016x" % 99}

    run_test(go())


def test_a_flood_behind_an_open_request_is_told_an_error_and_its_task_given_up(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store) as stage:
            flood, other = await stage.client(), await stage.client()
            flood.writer.write(request_bytes(1))
            await until(lambda: store.requests)
            flood.writer.write(request_bytes(2, body=b"x" * 60_000) * 40)
            answer = await flood.answer()
            assert (answer.status, answer.lasts) == (413, False)
            store.reply = lambda request: ok()
            assert (await other.ask(3)).status == 200 and len(store.requests) == 2
            assert not stage.gateway.open_requests and stage.gateway.clients.unread_bytes() == 0

    run_test(go())
