"""Guards against the fault of `tests/platform/test_repeat_window.py` on the project's own protocol.

A repeat that was granted in the stores' window waited for a connection and was sent after it. Here a store's second
connection comes up late.
"""

from __future__ import annotations

import asyncio

import pytest
from stage import FakeStore, deliver, reset, run_test, staged

DELIVERED, BROKEN_OFF = 0, 2
CATEGORY = """
category("brief", soft_limit_ms = 2000, cut_off_ms = 5000, writes = True, repeat = "stamped", window_ms = {})
"""


class LateStore(FakeStore):
    """Resets its first connection under the first attempt; answers others, on connections that come up late."""

    def __init__(self, delay):
        super().__init__("s0", 0, lambda *given: (reset if len(self.received) == 1 else deliver)(*given))
        self.delay, self.accepted = delay, 0

    def accept(self, sock):
        self.accepted += 1
        if self.accepted == 1:
            return super().accept(sock)
        asyncio.get_running_loop().call_later(self.delay, super().accept, sock)


@pytest.mark.parametrize("window_ms, delay, attempts, result", [(4_000, 0.1, 2, DELIVERED), (400, 1.0, 1, BROKEN_OFF)])
def test_a_repeat_that_waited_for_a_connection_is_sent_within_the_window_only(window_ms, delay, attempts, result):
    async def go():
        store = LateStore(delay)
        async with staged(store, extra=CATEGORY.format(window_ms), connect=2_000) as stage:
            client = await stage.client()
            answer = await client.answer(client.ask("brief"))
            assert (len(store.received), answer.result) == (attempts, result)

    run_test(go())
