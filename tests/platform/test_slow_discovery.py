"""A slow or overloaded discovery: a watch receives its first message only after seconds."""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import FakeDiscovery, FakeStore, run_test, staged, until


class DelayedList(FakeDiscovery):
    """Sends nothing on a connection for some seconds after its request arrived, then serves it."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    async def talk(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(self.seconds)
        replayed = asyncio.StreamReader()
        replayed.feed_data(head)
        self.muted.discard(writer)
        await super().talk(replayed, writer)
        await reader.read()


@pytest.mark.parametrize("seconds", [4.5, 6.0])
def test_a_slow_watch_is_kept_while_others_are_opened_beside_it(tmp_path, seconds):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, list_=DelayedList(seconds), known=False) as stage:
            await until(lambda: stage.gateway.core.list_version == 5, seconds + 2.0)
            assert len(stage.gateway.discovery.watches) <= 4

    run_test(go())
