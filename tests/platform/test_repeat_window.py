"""Guards against a write that runs twice: a repeat that was granted in the stores' window and is sent after it.

What happened: a deduplicated write's first attempt ran and was reset. Its repeat was granted in time and then waited
for a connection, as requests of hung stores held all of them. It was written once one was free, and the store, which
had forgotten the write, ran it again.

What showed the cause: the trace of a play of `review/2` has the repeat's attempt 0.36 s after the first one, and the
store's record has its arrival 2.62 s after the first one's, with a window of 2 s.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from platform_stage import (
    SETTINGS,
    FakeStore,
    SmallBufferStore,
    ok,
    request_bytes,
    run_test,
    staged,
    until,
    use_small_send_buffers,
)

LONG_WINDOW, SHORT_WINDOW = 4.0, 0.4  # seconds
CLIENT_TIME = "5.0"  # seconds that clients wait
IN_TIME = 3.0  # seconds; less than a client waits, and far more than a short window


def settings(window, cancel=True, scope="all"):
    """Settings with reads, and writes of which stores drop repeats for `window` seconds."""
    times = {"Deadline": 6e9, "Objective": 3e9, "Value": 2.0}
    classes = [
        times | {"Name": "read", "Repeat": "idempotent"},
        times | {"Name": "write", "Repeat": "deduplicated", "KeyScope": scope, "Window": window * 1e9},
    ]
    return SETTINGS | {"Classes": classes, "Limits": SETTINGS["Limits"] | {"Cancel": cancel}}


class WriteStore(FakeStore):
    """Runs a write and does not answer the first attempt. `runs`: when each attempt arrived."""

    def __init__(self, name, shard):
        super().__init__(name, shard, self.run)
        self.runs = []

    def run(self, request):
        self.runs.append(time.monotonic())
        return None if len(self.runs) == 1 else ok()

    async def reset_after(self, seconds):
        """Reset the connection of the first attempt once it has run for that long."""
        await until(lambda: self.runs)
        await asyncio.sleep(seconds)
        self.writers[0].transport.abort()

    def forgets_at(self, window):
        """Return when the store forgets the first attempt."""
        return self.runs[0] + window


async def let_repeat_wait(stage, store, hung):
    """Have a write run and reset while a read of a hung store takes the only connection. Return both clients."""
    stage.gateway.stores.max_connections = 1
    writing, reading = await stage.client(), await stage.client()
    writing.writer.write(request_bytes(1, body=b"x", x_remaining=CLIENT_TIME))
    await until(lambda: store.runs)
    reading.writer.write(request_bytes(2, x_remaining=CLIENT_TIME, x_extent="units=2,shard=1,hosts=1"))
    await until(lambda: len(stage.gateway.open_requests) == 2)
    await store.reset_after(0)
    await until(lambda: hung.requests)
    return writing, reading


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("late", [0.05, 0.6])
def test_a_repeat_that_waited_for_a_connection_is_not_sent_after_the_window(tmp_path, late, cancel):
    async def go():
        store, hung = WriteStore("s0", 0), FakeStore("s1", 1, lambda request: None)
        async with staged(tmp_path, store, hung, settings=settings(SHORT_WINDOW, cancel)) as stage:
            writing, reading = await let_repeat_wait(stage, store, hung)
            await until(lambda: time.monotonic() > store.forgets_at(SHORT_WINDOW) + late)
            hung.writers[0].write(ok())
            assert (await reading.answer()).status == 200
            assert (await writing.answer()).status == 503
            assert len(store.runs) == 1
            assert not stage.gateway.violations.counts

    run_test(go())


def test_a_repeat_that_waited_for_a_connection_is_sent_within_the_window(tmp_path):
    async def go():
        store, hung = WriteStore("s0", 0), FakeStore("s1", 1, lambda request: None)
        async with staged(tmp_path, store, hung, settings=settings(LONG_WINDOW)) as stage:
            writing, reading = await let_repeat_wait(stage, store, hung)
            hung.writers[0].write(ok())
            assert (await reading.answer()).status == 200
            assert (await writing.answer()).status == 200
            assert len(store.runs) == 2

    run_test(go())


@pytest.mark.parametrize("scope, status", [("all", 503), ("zone", 500)])
def test_the_client_is_answered_when_the_window_ends_and_not_when_a_connection_is_free(tmp_path, scope, status):
    async def go():
        store, hung = WriteStore("s0", 0), FakeStore("s1", 1, lambda request: None)
        async with staged(tmp_path, store, hung, settings=settings(SHORT_WINDOW, scope=scope)) as stage:
            writing, _ = await let_repeat_wait(stage, store, hung)
            assert (await writing.answer()).status == status
            assert time.monotonic() - store.runs[0] < IN_TIME

    run_test(go())


class SlowReader(SmallBufferStore, WriteStore):
    """Runs the first attempt; of later connections it reads nothing until `window` seconds after that."""

    def __init__(self, name, shard, window):
        super().__init__(name, shard)
        self.window = window

    async def talk(self, reader, writer):
        if self.runs:
            writer.transport.pause_reading()
            await until(lambda: time.monotonic() > self.forgets_at(self.window) + 0.05)
            writer.transport.resume_reading()
        await super().talk(reader, writer)


def test_a_repeat_that_is_partly_written_is_not_completed_after_the_window(tmp_path, monkeypatch):
    use_small_send_buffers(monkeypatch)

    async def go():
        store = SlowReader("s0", 0, SHORT_WINDOW)
        async with staged(tmp_path, store, settings=settings(SHORT_WINDOW)) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1, body=b"x" * 60_000, x_remaining=CLIENT_TIME))
            await store.reset_after(SHORT_WINDOW - 0.1)  # the repeat is begun less than WRITE_WITHIN before the end
            assert (await client.answer()).status == 503
            await until(lambda: time.monotonic() > store.forgets_at(SHORT_WINDOW) + 0.3)
            assert len(store.runs) == 1

    run_test(go())
