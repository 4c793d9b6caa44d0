"""Second and late answers: HTTP/1.1 matches answers to requests by their order alone, so a connection is reused only
if, as far as can be told, no answer to an earlier request can still arrive on it."""

from __future__ import annotations

import asyncio
import random

import pytest
from platform_stage import SETTINGS, FakeStore, ok, request_bytes, run_test, staged, until

from tansykeel.http1 import codec
from tansykeel.platform import pool as pool_module
from tansykeel.platform.connection import StoreConnection

NO_CANCEL = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}


def connections(stage):
    return [connection for pool in stage.gateway.stores.pools.values() for connection in pool.connections]


def disable_checks(stage):
    """Disable the periodic check of connections to stores, which lowers the cool-down; return it."""
    check, stage.gateway.stores.check_timeouts = stage.gateway.stores.check_timeouts, lambda: None
    return check


def gateway_side(stage, writer) -> StoreConnection | None:
    """Return the gateway's end of a store's connection, None once the gateway has closed it."""
    port = writer.get_extra_info("peername")[1]
    found = (one for one in connections(stage) if one.stream.sock.getsockname()[1] == port)
    return next(found, None)


class ManualStore(FakeStore):
    """Answers a received request when `answer(id)` is called, on the connection of that request."""

    def __init__(self):
        super().__init__("s0", 0, self.remember)
        self.received = {}

    def remember(self, request):
        self.received[int(request.fields[b"x-txn"], 16)] = self.writers[-1]

    def answer(self, id):
        self.received[id].write(ok(b"%016x" % id))


async def ask_until_sent(client, store):
    """Ask until the gateway sends to the store again after a timeout; return the request's id and its answer."""
    for id in range(100, 200):
        client.writer.write(request_bytes(id))
        answered = asyncio.create_task(client.answer())
        await until(lambda id=id, answered=answered: id in store.received or answered.done())
        if id in store.received:
            return id, answered
        await asyncio.sleep(0.05)
    raise AssertionError("the store was not asked again")


@pytest.mark.parametrize("gives_up", ["its time is up", "its client left"])
def test_a_connection_is_not_used_again_after_an_answer_that_was_given_up(tmp_path, gives_up):
    """If attempts may not be cancelled, the answer to an attempt that was given up is awaited on its connection.

    A store that answers so late may answer twice, and the second answer would be read as the next request's.
    """

    async def go():
        store = ManualStore()

        def answer_on_another_connection(request):
            store.remember(request)
            return None if store.writers[-1] is store.received[1] else ok(request.fields[b"x-txn"])

        async with staged(tmp_path, store, settings=NO_CANCEL) as stage:
            client = await stage.client()
            if gives_up == "its time is up":
                assert (await client.ask(1, x_remaining="0.3")).status in (500, 503)
                client = await stage.client()
            else:
                client.writer.write(request_bytes(1))
                await until(lambda: store.received)
                client.writer.transport.abort()
                await until(lambda: stage.gateway.core.counts.left == 1)
                client = await stage.client()
            assert len(connections(stage)) == 1, "an attempt that may not be cancelled keeps its connection"
            store.answer(1)
            await until(lambda: not connections(stage) or connections(stage)[0].attempt is None)
            await asyncio.sleep(2 * pool_module.COOL_DOWN)
            store.reply = answer_on_another_connection
            id, answered = await ask_until_sent(client, store)
            store.answer(1)
            assert (await answered).body == b"%016x" % id
            assert len(store.writers) == 2

    run_test(go())


def test_an_attempt_that_is_given_up_closes_its_connection_at_once_where_cancels_are_allowed(tmp_path):
    async def go():
        store = ManualStore()
        async with staged(tmp_path, store) as stage:
            assert (await (await stage.client()).ask(1, x_remaining="0.3")).status in (500, 503)
            assert not connections(stage)

    run_test(go())


def test_connections_of_a_store_that_answered_twice_cool_down_for_longer(tmp_path):
    """After a second answer that was 40 ms late, the next one may be as late, so connections are reused later."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]))
        async with staged(tmp_path, store) as stage:
            client, stores, check = await stage.client(), stage.gateway.stores, disable_checks(stage)
            assert (await client.ask(1)).body == b"%016x" % 1
            pool = next(iter(stores.pools.values()))
            assert pool.cool_down == pool_module.COOL_DOWN
            await asyncio.sleep(0.04)
            store.writers[0].write(ok(b"%016x" % 1))
            await until(lambda: not connections(stage))
            assert 0.08 <= pool.cool_down <= pool_module.MAX_COOL_DOWN

            now = stores.now()
            stores.now = lambda: now
            assert (await client.ask(2)).body == b"%016x" % 2
            now += pool.cool_down * 0.9
            assert (await client.ask(3)).body == b"%016x" % 3
            assert len(store.writers) == 3, "a connection that did not cool down carried another request"
            now += pool.cool_down * 1.1
            assert (await client.ask(4)).body == b"%016x" % 4
            assert len(store.writers) == 3, "a connection that cooled down was not used again"

            for _ in range(80):
                check()
            assert pool.cool_down == pool_module.COOL_DOWN

    run_test(go())


def test_the_cool_down_is_limited_and_per_store(tmp_path):
    async def go():
        stores = [FakeStore(f"s{number}", number, lambda request: ok(request.fields[b"x-txn"])) for number in (0, 1)]
        async with staged(tmp_path, *stores) as stage:
            client = await stage.client()
            disable_checks(stage)
            for number in (0, 1):
                assert (await client.ask(1 + number, x_extent=f"units=2,shard={number},hosts=1")).status == 200
            now, clock = stage.gateway.stores.now(), stage.gateway.stores.now
            stage.gateway.stores.now = lambda: now + 3.0
            stores[0].writers[0].write(b"half a li")
            await until(lambda: len(connections(stage)) == 1)
            stage.gateway.stores.now = clock
            cool_downs = {pool.store.handle: pool.cool_down for pool in stage.gateway.stores.pools.values()}
            assert cool_downs == {"s0": pool_module.MAX_COOL_DOWN, "s1": pool_module.COOL_DOWN}

    run_test(go())


def test_bytes_on_a_new_connection_are_not_a_second_answer(tmp_path):
    """No request was sent on it, so the bytes do not show how late this store's second answers are."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(request.fields[b"x-txn"]))
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            disable_checks(stage)
            assert (await client.ask(1)).status == 200
            pool = next(iter(stage.gateway.stores.pools.values()))
            pool.connections[StoreConnection(pool, stage.gateway.stores, store.address, 1.0)] = None
            await until(lambda: len(pool.idle) == 2 and len(store.writers) == 2)
            store.writers[1].write(ok(b"nobody asked"))
            await until(lambda: len(pool.connections) == 1)
            assert pool.cool_down == pool_module.COOL_DOWN

    run_test(go())


class SecondAnswerStore(FakeStore):
    """Answers each request with its id, and sends second answers in every way that the gateway can detect, chosen at
    random by seed: with the answer, in part, while the connection cools down or is idle, and after an answer that was
    given up.

    A second answer is written in the same call that finds the gateway's connection without a request. If the first
    answer was given up, it is also written when the next request arrives, so that it would be read as its answer.
    """

    def __init__(self, seed):
        super().__init__("s0", 0, self.reject)
        self.random = random.Random(seed)
        self.stage = None
        self.counts_by_kind = {"with": 0, "part": 0, "idle": 0, "late": 0, "reset": 0, "ahead": 0}
        self.given_up = {}  # by writer, the answer to send again when the next request comes on it
        self.tasks = set()

    async def _talk(self, reader, writer):
        self.writers.append(writer)
        reads = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(reads)
        await reads

    async def serve(self, reader, writer):
        requests = codec.RequestReader()
        try:
            while data := await reader.read(65536):
                requests.feed(data)
                while (request := requests.next()) is not None:
                    self.requests.append(request)
                    if again := self.given_up.pop(writer, None):
                        writer.write(again)
                    self.tasks.add(asyncio.create_task(self.respond(writer, request)))
        except OSError:
            pass
        finally:
            writer.close()

    def reject(self, request):
        raise AssertionError("answered by respond")

    async def respond(self, writer, request):
        answer = ok(request.fields[b"x-txn"])
        kind = self.random.choice(["once", "once", *self.counts_by_kind])
        await asyncio.sleep(self.random.choice([0, 0, 0.002, 0.01]))
        if kind == "late":
            connection = gateway_side(self.stage, writer)
            if connection is None:
                return
            await until(lambda: connection.attempt is None or connection.attempt.finished)
            self.given_up[writer] = answer
        self.counts_by_kind[kind] = self.counts_by_kind.get(kind, 0) + 1
        if kind == "reset":
            writer.write(answer[: len(answer) // 2])
            return writer.transport.abort()
        head = b"HTTP/1.1 102 Wait\r\n\r\n" if kind == "ahead" else b""
        behind = {"with": answer, "part": answer[: self.random.randrange(1, 30)]}.get(kind, b"")
        writer.write(head + answer + behind)
        if kind == "idle":
            await self.answer_again_while_idle(writer, answer)

    async def answer_again_while_idle(self, writer, answer):
        for _ in range(self.random.choice([1, 5, 20])):
            await asyncio.sleep(0)
        connection = gateway_side(self.stage, writer)
        if connection is not None and connection.has_answered and connection.attempt is None:
            writer.write(answer)


@pytest.mark.parametrize("settings", [SETTINGS, NO_CANCEL], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("most", [2, 76])
def test_no_answer_reaches_another_request(tmp_path, settings, seed, most):
    """Eight clients send 20 requests each to a store that answers twice in every detectable way."""

    async def go():
        store = SecondAnswerStore(seed)
        async with staged(tmp_path, store, settings=settings) as stage:
            store.stage = stage
            stage.gateway.stores.max_connections = most
            delivered = 0

            async def ask_all(number):
                nonlocal delivered
                for turn in range(20):
                    client, id = await stage.client(), number * 1000 + turn
                    answer = await client.ask(id, x_remaining="0.25")
                    if answer is not None and answer.status == 200:
                        assert answer.body == b"%016x" % id
                        delivered += 1

            await asyncio.gather(*(ask_all(number) for number in range(1, 9)))
            assert delivered >= 20 and all(store.counts_by_kind.values())
            for task in store.tasks:
                task.cancel()

    run_test(go(), seconds=60)
