"""A discovery that is slow or crowded: it takes seconds until a watch has its first word."""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import FakeDiscovery, FakeStore, run_test, staged, until


class SlowList(FakeDiscovery):
    """Says nothing on a connection for some seconds after its request came, then serves it."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    async def talk(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(self.seconds)
        again = asyncio.StreamReader()
        again.feed_data(head)
        self.muted.discard(writer)
        await super().talk(again, writer)
        await reader.read()


@pytest.mark.parametrize("seconds", [4.5, 6.0])
def test_a_watch_that_takes_longer_than_others_are_opened_beside_it_is_not_given_up(tmp_path, seconds):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store, list_=SlowList(seconds), known=False) as stage:
            await until(lambda: stage.gateway.core.list_version == 5, seconds + 2.0)
            assert len(stage.gateway.discovery.watches) <= 4

    run_test(go())
