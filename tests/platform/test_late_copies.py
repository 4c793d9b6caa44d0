"""A second answer that comes some milliseconds late, by when its connection may carry another request.

What happens: a store answers, and 5 to 9 ms later a copy of the answer follows on the same connection. Stores send
one only while nothing else waits there, but the next request may be on its way. The client of that request then gets
200 with another client's data. Its own answer is read as that of the request after it, and so on.

Why: nothing in an answer names its request, and a connection was used again 5 ms after an answer (the cool-down),
which is inside the "some milliseconds" that such a copy may be late.

What showed it: `review/1`, with a line to the stores of 1 ms each way as in the pages: 57 to 197 foreign answers of
some 19,000 in 45 s, none without copies, none with a cool-down of 50 ms. The gateway's log has one line `second
answer` for each chain, when the answer that was displaced came; its `late_ms` then tells of the mix-up and not of the
copy.
"""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import FakeStore, ok, request_bytes, run_test, staged

from tansykeel.http1 import codec
from tansykeel.platform.pool import COOL_DOWN

LINK = 0.0013  # seconds each way between gateway and store, the most that the pages give
SERVICE = 0.02  # seconds for which a store works on a request
STORES, CLIENTS = 5, 3


class CopyingStore(FakeStore):
    """Answers with each request's id. A copy leaves `late` seconds after an answer, unless more has come by then."""

    def __init__(self, shard, late):
        super().__init__(f"s{shard}", shard)
        self.late, self.copies = late, 0

    async def talk(self, reader, writer):
        loop, requests, received = asyncio.get_running_loop(), codec.RequestReader(), 0

        def send_copy(answer, received_before):
            if received == received_before and not writer.is_closing():
                self.copies += 1
                loop.call_later(LINK, writer.write, answer)

        while data := await reader.read(65536):
            await asyncio.sleep(LINK)
            received += 1
            requests.feed(data)
            while (request := requests.next()) is not None:
                answer = ok(request.fields[b"x-txn"])
                await asyncio.sleep(SERVICE)
                loop.call_later(LINK, writer.write, answer)
                loop.call_later(self.late, send_copy, answer, received)


@pytest.mark.parametrize("late_ms", [5, 6, 7, 8, 9])
def test_a_copy_some_milliseconds_late_is_not_given_to_another_request(tmp_path, late_ms):
    """One connection in all, so that each request is sent as soon as the connection may be used again."""

    async def go():
        stores = [CopyingStore(shard, late_ms / 1000) for shard in range(STORES)]
        async with staged(tmp_path, *stores) as stage:
            stage.gateway.stores.max_connections = 1
            foreign, served = [], 0
            for store in stores:
                clients = [await stage.client() for _ in range(CLIENTS)]
                ids = [store.shard * 100 + number for number in range(1, CLIENTS + 1)]
                extent = f"units=2,shard={store.shard},hosts=1"
                for client, id in zip(clients, ids, strict=True):
                    client.writer.write(request_bytes(id, x_extent=extent))
                for client, id in zip(clients, ids, strict=True):
                    answer = await client.answer()
                    if answer is not None and answer.status == 200:
                        served += 1
                        if answer.body != b"%016x" % id:
                            foreign.append((id, answer.body))
            assert all(store.copies for store in stores) and served >= STORES
            assert not foreign

    run_test(go())


def test_a_connection_that_has_nearly_cooled_down_is_waited_for(tmp_path):
    """A new one costs the store more than a few milliseconds cost the client."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            for id in range(1, 6):
                assert (await client.ask(id)).status == 200
                await asyncio.sleep(COOL_DOWN - 0.003)
            assert len(store.writers) == 1

    run_test(go())
