"""Guards against a request that runs twice when its id comes again after its client has left or had its answer.

What happened: only ids of requests that were still open were known. Of 300 `at_most_once` writes whose clients closed
after 5 ms and whose ids came again on a new connection 5 ms later, 247 ran twice.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from platform_stage import SETTINGS, FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.interface import RepeatSafety
from tansykeel.platform import used_ids
from tansykeel.platform.used_ids import LIFETIME, UsedIds

CLASSES = [
    {"Deadline": 3e9, "Name": name, "Objective": 6e8, "Repeat": repeat, "Value": 2.0, "Window": 5e9, "KeyScope": "all"}
    for name, repeat in (("once", "at_most_once"), ("deduplicated", "deduplicated"), ("write", "idempotent"))
]
ONCE_SETTINGS = SETTINGS | {
    "Classes": CLASSES,
    "Specifics": SETTINGS["Specifics"] | {"ChangesData": [True, True, True]},
}
BODY = b"data"


def write(id, category):
    return request_bytes(id, body=BODY, x_lane=category)


def disconnect(client, way):
    """Close a client's connection: by FIN, or by a reset."""
    if way == "reset":
        client.writer.transport.abort()
    else:
        client.writer.close()


@pytest.mark.parametrize("category", ["once", "deduplicated"])
@pytest.mark.parametrize("way", ["FIN", "reset"])
@pytest.mark.parametrize("later", [0.0, 0.05, 0.3])  # seconds
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_again(tmp_path, category, way, later):
    async def go():
        store = FakeStore("s0", 0, lambda request: None)
        async with staged(tmp_path, store, settings=ONCE_SETTINGS) as stage:
            first, second = await stage.client(), await stage.client()
            first.writer.write(write(1, category))
            await until(lambda: store.requests)
            store.reply = lambda request: ok()
            disconnect(first, way)
            await until(lambda: stage.gateway.core.counts.left)
            await asyncio.sleep(later)
            second.writer.write(write(1, category))
            assert (await second.answer()).status == 409
            other = await stage.client()
            other.writer.write(write(2, category))
            assert (await other.answer()).status == 200
            assert [request.fields[b"x-txn"] for request in store.requests] == [b"%016x" % id for id in (1, 2)]

    run_test(go())


@pytest.mark.parametrize("category, status, runs", [("once", 409, 1), ("deduplicated", 409, 1), ("write", 200, 2)])
def test_an_id_that_comes_again_after_its_answer_runs_again_only_where_that_does_no_harm(
    tmp_path, category, status, runs
):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=ONCE_SETTINGS) as stage:
            client = await stage.client()
            client.writer.write(write(1, category))
            assert (await client.answer()).status == 200
            client.writer.write(write(1, category))
            assert (await client.answer()).status == status
            assert len(store.requests) == runs

    run_test(go())


def test_the_id_of_a_request_that_was_never_sent_to_a_store_may_come_again(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=ONCE_SETTINGS) as stage:
            client = await stage.client()
            await until(lambda: stage.gateway.core.list_version == 5)
            stage.list.send_update([store.row(phase="Terminating")])
            await until(lambda: stage.gateway.core.list_version == stage.list.revision)
            client.writer.write(write(1, "once"))
            assert (await client.answer()).status == 503
            stage.list.send_update([store.row()])
            await until(lambda: stage.gateway.core.list_version == stage.list.revision)
            client.writer.write(write(1, "once"))
            assert (await client.answer()).status == 200 and len(store.requests) == 1

    run_test(go())


def test_a_request_cut_short_by_its_client_may_come_again(tmp_path):
    """As where the gateway ends a connection over a request that it has not read whole."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, settings=ONCE_SETTINGS) as stage:
            with socket.create_connection(("127.0.0.1", stage.port)) as sock:
                sock.send(write(1, "once")[:-1])
                await until(lambda: stage.gateway.clients.unread_bytes)
            client = await stage.client()
            client.writer.write(write(1, "once"))
            assert (await client.answer()).status == 200 and len(store.requests) == 1

    run_test(go())


class StandIn:
    """An attempt of a request with this id, or any part of one."""

    def __init__(self, id, repeat=RepeatSafety.AT_MOST_ONCE):
        self.id, self.repeat = id, repeat
        self.held = self.task = self.category = self


def test_ids_are_kept_for_their_lifetime_and_not_without_end():
    ids = UsedIds()
    ids.attempt_begins(StandIn(b"1"), 1000.0)
    assert ids.may_have_run(b"1", 1000.0 + LIFETIME) and not ids.may_have_run(b"2", 1000.0)
    assert not ids.may_have_run(b"1", 1000.0 + 2 * LIFETIME)
    ids.attempt_begins(StandIn(b"3"), 5000.0)
    assert not ids.may_have_run(b"3", 5000.0 + 10 * LIFETIME)


def test_the_number_of_ids_is_bounded_and_the_newest_are_kept(monkeypatch):
    monkeypatch.setattr(used_ids, "MAX_IDS", 10)
    ids = UsedIds()
    for number in range(100):
        ids.attempt_begins(StandIn(b"%d" % number), 1000.0)
    kept = [number for number in range(100) if ids.may_have_run(b"%d" % number, 1001.0)]
    assert 10 <= len(kept) <= 20 and kept == list(range(100 - len(kept), 100))
