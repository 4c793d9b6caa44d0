"""The platform's gateway on loopback: how it serves its clients and stores, failures included."""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import VOLUME, FakeDiscovery, FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.platform.clients import Clients


def test_a_request_and_its_answer_are_passed_on_unchanged(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.body[::-1] or b"read", b"X-Meter: 40\r\nX-Delta: 3\r\n"))
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            assert (await client.ask(1)).body == b"read"
            answer = await client.ask(2, body=b"abc", path=b"/api/" + VOLUME + b"/00000000000000ff?x=1%20")
            assert (answer.status, answer.body) == (200, b"cba")
            got = store.requests[1]
            assert (got.method, got.body) == (b"PUT", b"abc")
            assert got.target == b"/api/" + VOLUME + b"/00000000000000ff?x=1%20"
            assert got.fields[b"x-txn"] == b"%016x" % 2 and 0 < float(got.fields[b"x-remaining"]) < 2.5
            await asyncio.sleep(0.02)
            connections = len(store.writers)
            assert (await client.ask(3)).status == 200 and len(
                store.writers
            ) == connections  # the idle connection is used again

    run_test(go())


def test_it_serves_with_the_known_stores_while_discovery_is_silent(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0), list_=FakeDiscovery(mute=["connect"])) as stage:
            client = await stage.client()
            client.writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.answer()).status == 200
            assert (await client.ask(1)).status == 200

    run_test(go())


@pytest.mark.parametrize(
    "changes, status",
    [
        (dict(x_lane="none"), 400),
        (dict(x_storage_class="none"), 400),
        (dict(x_txn="xyz"), 400),
        (dict(x_txn=None), 400),
        (dict(x_remaining="nan"), 400),
        (dict(x_remaining="inf"), 400),
        (dict(x_remaining="-1"), 400),
        (dict(x_remaining="1e3"), 400),
        (dict(x_remaining=None), 400),
        (dict(x_extent="units=0,shard=0,hosts=1"), 400),
        (dict(x_extent="units=9,shard=0,hosts=1"), 400),
        (dict(x_extent="units=2,shard=-2,hosts=1"), 400),
        (dict(x_extent=None), 400),
        (dict(path=b"/api/xx/yy"), 404),
        (dict(method=b"POST"), 405),
        (dict(x_lane="write"), 405),
        (dict(body=b"x", x_lane="read"), 405),
        (dict(content_length="60000000"), 413),
        (dict(transfer_encoding="chunked", content_length="3"), 400),
    ],
)
def test_a_request_that_is_no_task_gets_an_error_and_is_not_sent_to_a_store(tmp_path, changes, status):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            assert (await client.ask(1, **changes)).status == status
            assert await client.ended() and not store.requests and not stage.gateway.open_requests

    run_test(go())


def test_an_error_reaches_a_client_that_is_still_sending(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1, content_length="60000000") + b"x" * (8 << 20))
            assert (await client.answer()).status == 413
            await until(lambda: not stage.gateway.clients.conns)

    run_test(go())


def test_the_id_of_an_open_request_is_rejected_and_the_open_one_is_answered(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store) as stage:
            first, second = await stage.client(), await stage.client()
            first.writer.write(request_bytes(7))
            await until(lambda: store.requests)
            assert (await second.ask(7)).status == 409 and len(store.requests) == 1
            store.writers[0].write(ok())
            assert (await first.answer()).status == 200

    run_test(go())


@pytest.mark.parametrize(
    "first, hand_offs",
    [
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 2),
        (b"", 2),
        (b"\x00noise\r\n\r\n", 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", 2),
        (b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", 2),
        (b"HTTP/1.1 100 C\r\n\r\n" + ok(), 1),
        (ok(fields=b"X-Meter: many\r\nX-Delta: -4\r\nX-Pressure: {\r\n"), 1),
    ],
)
def test_a_malformed_answer_is_a_failed_hand_off_and_the_next_good_one_is_delivered(tmp_path, first, hand_offs):
    async def go():
        store = FakeStore("s0", 0, lambda request: first if len(store.requests) == 1 else ok())
        async with staged(tmp_path, store) as stage:
            answer = await (await stage.client()).ask(1)
            assert (answer.status, answer.body, len(store.requests)) == (200, b"data", hand_offs)
            assert {request.fields[b"x-txn"] for request in store.requests} == {b"%016x" % 1}

    run_test(go())


def test_a_large_answer_is_passed_on_while_there_is_memory_for_it_and_fails_otherwise(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: ok(b"x" * 400_000))
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            assert (await client.ask(1)).body == b"x" * 400_000
            stage.gateway.stores.max_answer_bytes = 200_000
            assert (await client.ask(2)).status == 503
            assert stage.gateway.core.counts.outcomes == {"delivered": 1, "error": 3}

    run_test(go())


def test_idle_connections_are_reused_for_a_shorter_time_once_one_was_found_dead(tmp_path, monkeypatch):
    """A store or a middlebox may drop idle connections without a sign. Each use of one costs its task a hand-off."""
    monkeypatch.setattr("tansykeel.platform.connection.STALE_WINDOW", 5.0)

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            stores, client = stage.gateway.stores, await stage.client()
            assert (await client.ask(1)).status == 200 and stores.idle_limit == 12.0
            await asyncio.sleep(0.1)
            store.reply = lambda request: b"" if len(store.requests) == 2 else ok()
            assert (await client.ask(2)).status == 200 and len(store.requests) == 3 and len(store.writers) == 2
            assert 0.05 <= stores.idle_limit < 1.0
            await asyncio.sleep(2 * stores.idle_limit)
            assert (await client.ask(3)).status == 200 and len(store.writers) == 3
            for _ in range(80):
                stores.check_timeouts()
            assert stores.idle_limit == 12.0

    run_test(go())


@pytest.mark.parametrize("fails, ends", [(1, {"delivered": 1}), (2, {"delivered": 1, "no connection": 1})])
def test_a_second_connection_is_tried_before_a_hand_off_ends_with_no_connection(tmp_path, fails, ends):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            gateway, client = stage.gateway, await stage.client()
            await until(lambda: gateway.core.list_version >= 0)
            right, gateway.core.addresses[gateway.core.stores["s0"]] = store.address, "127.0.0.1:1"
            may_open, left = gateway.stores.may_open_connection, [fails]

            def room(evict=True):
                if evict and not left[0]:
                    gateway.core.addresses[gateway.core.stores["s0"]] = right
                elif evict:
                    left[0] -= 1
                return may_open(evict)

            gateway.stores.may_open_connection = room
            assert (await client.ask(1)).status == 200
            assert gateway.core.counts.outcomes == ends and len(store.requests) == 1

    run_test(go())


@pytest.mark.parametrize("behind", [ok(b"copy"), b"noise"])
@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_behind_an_answer_are_not_passed_on_and_end_the_connection(tmp_path, behind, at_once):
    """A second copy of an answer was read as the answer to the next request."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]) + (behind if at_once else b""))
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            for id in range(1, 4):
                assert (await client.ask(id)).body == b"%016x" % id
                if not at_once:
                    writer = store.writers[-1]
                    writer.write(behind)
                    await until(lambda: not any(pool.idle for pool in stage.gateway.stores.pools.values()))
            assert len(store.writers) == 3

    run_test(go())


def test_a_client_that_disconnects_cancels_its_hand_off(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1))
            await until(lambda: store.requests)
            client.writer.close()
            await until(lambda: not stage.gateway.core.held and not stage.gateway.open_requests)
            assert stage.gateway.core.counts.outcomes == {"cancelled": 1}
            await until(lambda: not stage.gateway.stores.pools[stage.gateway.core.stores["s0"]].connections)

    run_test(go())


def test_a_refused_connection_is_the_outcome_no_connection(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            await store.stop()
            store.server.close()
            await store.server.wait_closed()
            answer = await (await stage.client()).ask(1, x_remaining="0.8")
            assert answer.status == 503
            assert set(stage.gateway.core.counts.outcomes) == {"no connection"}

    run_test(go())


def test_a_hand_off_that_waits_for_a_connection_goes_to_another_store_when_its_store_drains(tmp_path):
    async def go():
        store, other = FakeStore("s0", 0), FakeStore("s1", 0)
        async with staged(tmp_path, store, list_=FakeDiscovery()) as stage:
            await other.start()
            gateway, client = stage.gateway, await stage.client()
            await until(lambda: gateway.core.list_version >= 0)
            gateway.stores.may_open_connection = lambda evict=True: False  # as if no descriptor were left
            client.writer.write(request_bytes(1))
            await until(lambda: any(pool.waiting for pool in gateway.stores.pools.values()))
            del gateway.stores.may_open_connection
            stage.list.send_update([store.row(phase="Terminating"), other.row()])
            assert (await client.answer()).status == 200 and not store.requests and len(other.requests) == 1
            await other.stop()

    run_test(go())


def test_connections_without_a_request_are_closed_for_new_ones(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            clients: Clients = stage.gateway.clients
            clients.max_connections = 6
            regular = await stage.client()
            assert (await regular.ask(1)).status == 200
            for _ in range(30):
                await stage.client()
            last = await stage.client()
            assert (await last.ask(2)).status == 200 and (await regular.ask(3)).status == 200
            assert len(clients.conns) <= 6 and clients.unanswered["no room"] == 0

    run_test(go())


def test_an_idle_connection_is_closed_early_while_the_gateway_is_crowded(tmp_path, monkeypatch):
    monkeypatch.setattr("tansykeel.platform.client_connection.CROWDED_IDLE_TIMEOUT", 0.05)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            clients: Clients = stage.gateway.clients
            first = await stage.client()
            assert (await first.ask(1)).status == 200
            clients.check_timeouts()
            await asyncio.sleep(0.1)
            clients.check_timeouts()
            assert len(clients.conns) == 1  # not crowded yet
            clients.max_connections = 8
            for id in range(2, 4):
                assert (await (await stage.client()).ask(id)).status == 200
            await until(lambda: len(clients.conns) == 2)
            assert await first.ended()

    run_test(go())


def test_connections_without_a_whole_request_get_a_408_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr("tansykeel.platform.client_connection.REQUEST_TIMEOUT", 0.1)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            silent, half = await stage.client(), await stage.client()
            half.writer.write(request_bytes(1, body=b"abc")[:-1])
            assert (await silent.answer()).status == 408 and (await half.answer()).status == 408
            assert await half.ended()

    run_test(go())


def test_a_request_with_connection_close_is_answered_and_its_connection_closed(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            client = await stage.client()
            answer = await client.ask(1, connection="close")
            assert answer.status == 200 and not answer.keep_alive and await client.ended()

    run_test(go())


def test_large_incomplete_bodies_are_rejected_once_they_fill_the_memory(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            stage.gateway.clients.max_unread_bytes = 100_000
            first, second = await stage.client(), await stage.client()
            for client in (first, second):
                client.writer.write(request_bytes(1, body=b"x" * 60_000)[:-1])
            answers = [asyncio.create_task(client.answer()) for client in (first, second)]
            done, waiting = await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
            assert [task.result().status for task in done] == [503] and len(waiting) == 1
            (first if answers[0] in waiting else second).writer.write(b"x")
            assert (await waiting.pop()).status == 200 and len(store.requests) == 1

    run_test(go())


def test_a_waiting_hand_off_gets_a_connection_after_the_one_it_waited_for_breaks(tmp_path):
    """A hand-off was left waiting in a pool that may open only one connection."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok())
        async with staged(tmp_path, store) as stage:
            stage.gateway.stores.max_connections = 1
            store.reply = lambda request: b"" if len(store.requests) == 1 else ok()
            clients = [await stage.client() for _ in range(3)]
            answers = await asyncio.gather(*(client.ask(id) for id, client in enumerate(clients, 1)))
            assert [answer.status for answer in answers] == [200, 200, 200]

    run_test(go())


def test_pipelined_requests_are_answered_in_order(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]))
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            client.writer.write(b"".join(request_bytes(id) for id in range(1, 30)))
            assert [(await client.answer()).body for _ in range(1, 30)] == [b"%016x" % id for id in range(1, 30)]

    run_test(go())


def test_state_of_gone_stores_clients_and_volumes_is_freed(tmp_path, monkeypatch):
    monkeypatch.setattr("tansykeel.platform.intake.MAX_VOLUMES", 10)
    monkeypatch.setattr("tansykeel.edge.store_directory.MAX_GONE_STORES", 3)

    async def go():
        async with staged(tmp_path, known=False) as stage:
            gateway = stage.gateway
            await until(lambda: gateway.core.list_version >= 0)
            for turn in range(12):
                store = await FakeStore(f"s{turn}", 0).start()
                stage.list.send_update([store.row()], full=True)
                await until(lambda name=store.name: name in gateway.core.stores)
                for id in range(4):
                    client = await stage.client()
                    path = b"/api/%016x/%016x" % (turn * 4 + id, id)
                    assert (await client.ask(turn * 4 + id + 1, path=path)).status == 200
                    client.writer.close()
                await store.stop()
            stage.list.send_update([], full=True)
            await until(lambda: not gateway.clients.conns and not gateway.stores.pools)
            assert len(gateway.request_parser.volumes) == 10 and len(gateway.core.stores) == 3
            assert not gateway.core.held and not gateway.open_requests and not gateway.core.memory.by_client

    run_test(go())


def test_a_failure_in_one_connection_ends_only_that_one(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            gateway, (first, second) = stage.gateway, (await stage.client(), await stage.client())
            parse_task, gateway.request_parser.parse_task = gateway.request_parser.parse_task, None
            first.writer.write(request_bytes(1))
            assert await first.ended()
            gateway.request_parser.parse_task = parse_task
            assert (await second.ask(2)).status == 200
            assert len(gateway.clients.conns) == 1

    run_test(go())
