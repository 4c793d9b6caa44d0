"""Guards against requests that stay in memory until the deadlines of their tasks, long after their answers.

What happened: 36 clients that write 60 KB at a time, 600 a second and all answered in 20 ms, took a gateway over its
192 MB within 5 s, without any fault.

What showed the cause: with the collector off and all requests answered, each `TaskRequest` was still held, by the
core's timers for its attempt's deadline. The bound on bodies counted nothing, as a task's bytes are released with its
answer.
"""

from __future__ import annotations

import gc

import pytest
from platform_stage import SETTINGS, FakeStore, request_bytes, run_test, staged, until

from tansykeel.platform.intake import TaskRequest

NO_CANCEL = SETTINGS | {"Limits": SETTINGS["Limits"] | {"Cancel": False}}


def held_requests():
    """Return the gateway's requests that are in memory."""
    return [one for one in gc.get_objects() if isinstance(one, TaskRequest)]


@pytest.fixture(autouse=True)
def no_collection():
    """Turn the garbage collector off: what is in memory then is what its last reference keeps there."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def test_requests_go_with_their_answers(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            for number in range(10):
                assert (await client.ask(number, body=b"x" * 60_000)).status == 200
            await until(lambda: not held_requests(), 1.0)

    run_test(go())


@pytest.mark.parametrize("settings", [SETTINGS, NO_CANCEL], ids=["cancel", "no cancel"])
def test_requests_go_with_their_clients(tmp_path, settings):
    async def go():
        store, hung = FakeStore("s0", 0), FakeStore("s1", 1, lambda request: None)
        async with staged(tmp_path, store, hung, settings=settings) as stage:
            for number in range(10):
                client = await stage.client()
                extent = "units=2,shard=1,hosts=1"
                client.writer.write(request_bytes(number, body=b"x" * 60_000, x_extent=extent))
                await until(lambda number=number: stage.gateway.core.counts.taken == number + 1)
                client.writer.transport.abort()
            await until(lambda: not stage.gateway.clients.conns and hung.requests)
            for writer in hung.writers:
                writer.transport.abort()
            await until(lambda: not held_requests(), 1.0)

    run_test(go())
