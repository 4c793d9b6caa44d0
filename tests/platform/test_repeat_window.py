"""A write that may have run is not sent again once the stores may have forgotten it.

What happens: a deduplicated write runs twice. Its first attempt runs and its connection is reset. The repeat is
granted while the stores still remember the write, but all connections to stores are taken by requests of stores that
hang. Once one is free, the repeat is written, seconds after the stores' window, and runs again.

Why: the window was checked when the scheduler granted the repeat, and not when the repeat was written. An attempt
waits for a connection for up to its whole deadline in between.

What showed it: `review/2`, 8 of 8 writes ran twice in each of five plays: "store 0 runs 0000000100000000, 2.6 s after
its first attempt came", with a window of 2 s; 0 of 8 with the window checked again as an attempt is written.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from platform_stage import SETTINGS, FakeStore, ok, request_bytes, run_test, staged, until

WINDOW = 0.6  # seconds
SHARES = {"Deadline": 6e9, "Objective": 3e9, "Value": 2.0, "KeyScope": "all", "Window": WINDOW * 1e9}


def settings(cancel=True):
    """Settings with reads, and writes of which stores drop repeats for WINDOW seconds."""
    classes = [
        SHARES | {"Name": "read", "Repeat": "idempotent"},
        SHARES | {"Name": "write", "Repeat": "deduplicated"},
    ]
    return SETTINGS | {"Classes": classes, "Limits": SETTINGS["Limits"] | {"Cancel": cancel}}


class WriteStore(FakeStore):
    """Runs a write as it comes and hangs; answers repeats. `runs` has the time of each attempt's arrival."""

    def __init__(self, name, shard):
        super().__init__(name, shard, self.run)
        self.runs = []

    def run(self, request):
        self.runs.append(time.monotonic())
        return None if len(self.runs) == 1 else ok()


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("held_for", [0.2, 1.2])
def test_a_repeat_that_waited_for_a_connection_is_sent_within_the_window_only(tmp_path, held_for, cancel):
    async def go():
        store, hung = WriteStore("s0", 0), FakeStore("s1", 1, lambda request: None)
        async with staged(tmp_path, store, hung, settings=settings(cancel)) as stage:
            stage.gateway.stores.max_connections = 1
            writing, reading = await stage.client(), await stage.client()
            writing.writer.write(request_bytes(1, body=b"x", x_remaining="5.0"))
            await until(lambda: store.runs)
            reading.writer.write(request_bytes(2, x_remaining="5.0", x_extent="units=2,shard=1,hosts=1"))
            await asyncio.sleep(0.05)  # the read waits for the connection that the write holds
            store.writers[0].transport.abort()
            await until(lambda: hung.requests)
            await asyncio.sleep(held_for)
            hung.writers[0].write(ok())
            assert (await reading.answer()).status == 200
            answer = await writing.answer()
            assert all(at - store.runs[0] < WINDOW for at in store.runs), "the store has forgotten the write"
            assert (answer.status, len(store.runs)) == ((200, 2) if held_for < WINDOW else (503, 1))
            assert not stage.gateway.violations.counts

    run_test(go())
