"""A gateway that was suspended (SIGSTOP, a busy machine) reads what arrived meanwhile before it does anything else."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from contextlib import asynccontextmanager

import pytest
from platform_process import HEALTH, process
from platform_stage import FakeDiscovery, FakeStore, ok, request_bytes, run_test, until

from tansykeel.http1 import codec

SLACK = 0.15  # seconds by which the time sent to a store may exceed what the client has left
STOP = 1.2  # seconds for which the gateway is suspended


class RecordingStore(FakeStore):
    """Records when each request arrived and the remaining time that it was sent."""

    def __init__(self, name, shard):
        super().__init__(name, shard, self._answer)
        self.arrivals = {}  # by request id

    def _answer(self, request):
        id = int(request.fields[b"x-txn"], 16)
        self.arrivals[id] = (time.monotonic(), float(request.fields[b"x-remaining"]))
        return ok()


class Client:
    """A client's connection to the gateway."""

    async def connect(self, gateway):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        return self

    async def answer(self):
        """Return the next answer, None if the connection ends without one."""
        answers = codec.AnswerReader()
        while (answer := answers.next()) is None:
            try:
                data = await self.reader.read(65536)
            except OSError:
                return None
            if not data:
                return None
            answers.feed(data)
        return answer


@asynccontextmanager
async def one_gateway(tmp_path):
    store = RecordingStore("s0", 0)
    await store.start()
    list_ = await FakeDiscovery().start()
    list_.rows = [store.row()]
    async with process(tmp_path, list_.address, [store]) as gateway:
        assert (await gateway.ask(HEALTH)).status == 200
        assert (await gateway.ask(request_bytes(1))).status == 200
        yield gateway, store, list_
    await store.stop()
    await list_.stop()


@asynccontextmanager
async def suspended(gateway, seconds=STOP):
    """Suspend the gateway's process for the body and `seconds` after it."""
    os.kill(gateway.child.pid, signal.SIGSTOP)
    try:
        yield
        await asyncio.sleep(seconds)
    finally:
        os.kill(gateway.child.pid, signal.SIGCONT)


@pytest.mark.parametrize("connected", [True, False])
def test_a_store_is_sent_the_time_that_is_left_after_a_suspension(tmp_path, connected):
    async def go():
        async with one_gateway(tmp_path) as (gateway, store, _):
            clients = [await Client().connect(gateway) for _ in range(4)] if connected else []
            await asyncio.sleep(0.2)
            async with suspended(gateway):
                clients = clients or [await Client().connect(gateway) for _ in range(4)]
                sent = time.monotonic()
                for id, client in enumerate(clients, 10):
                    client.writer.write(request_bytes(id, x_remaining="2.0"))
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert all(answer and answer.status in (200, 503) for answer in answers)
            received = {id: store.arrivals[id] for id in range(10, 14) if id in store.arrivals}
            assert not [id for id, (arrived, left) in received.items() if left > sent + 2.0 - arrived + SLACK]

    run_test(go())


def test_nothing_is_sent_to_a_store_whose_drain_was_reported_during_a_suspension(tmp_path):
    async def go():
        async with one_gateway(tmp_path) as (gateway, store, list_):
            client = await Client().connect(gateway)
            await asyncio.sleep(0.2)
            async with suspended(gateway):
                client.writer.write(request_bytes(10))
                await asyncio.sleep(0.1)
                list_.send_update([store.row(phase="Terminating")])
            assert (await client.answer()).status == 503
            assert 10 not in store.arrivals

    run_test(go())


def test_a_request_that_arrived_during_a_suspension_keeps_its_connection_from_idling_out(tmp_path):
    """The suspension outlasts the idle timeout. The requests are unread when the gateway continues."""

    async def go():
        async with one_gateway(tmp_path) as (gateway, store, _):
            # So many that the gateway is crowded and closes connections that are idle for 2 s.
            clients = [await Client().connect(gateway) for _ in range(40)]
            for id, client in enumerate(clients, 10):
                client.writer.write(request_bytes(id))
            assert all([await client.answer() for client in clients])
            await asyncio.sleep(1.2)
            async with suspended(gateway):
                await asyncio.sleep(0.1)
                for id, client in enumerate(clients, 100):
                    client.writer.write(request_bytes(id))
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [answer and answer.status in (200, 503) for answer in answers] == [True] * len(clients)

    run_test(go())


def test_requests_that_arrived_during_a_suspension_after_sigterm_are_answered(tmp_path):
    """The gateway gets SIGTERM, is suspended past the time by which it should have ended, and finds requests unread."""

    async def go():
        async with one_gateway(tmp_path) as (gateway, store, _):
            clients = [await Client().connect(gateway) for _ in range(4)]
            await asyncio.sleep(0.3)
            gateway.child.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            async with suspended(gateway, 3.5):
                for id, client in enumerate(clients, 10):
                    client.writer.write(request_bytes(id))
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [answer and answer.status for answer in answers] == [503] * 4
            await until(lambda: gateway.child.poll() is not None, 6.0)
            assert gateway.child.returncode == 0

    run_test(go())
