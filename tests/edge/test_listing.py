"""The client of the list of stores, on sockets: it tells a stalled service from one without news."""

from __future__ import annotations

import asyncio

import pytest

from tansykeel.edge import listing as listing_module
from tansykeel.edge.listing import StoreListClient
from tansykeel.protocol.codec import Codec, Frame
from tansykeel.protocol.frames import Hello, ListAsk, ListOf, Row
from tansykeel.settings.records import ListOf as ListSettings
from tansykeel.standin import listing as standin_module
from tansykeel.standin.listing import ListService
from tansykeel.transport.link import Hub, Limits, Link
from tansykeel.transport.sockets import accept_all, listening

ROW = Row("s0", "127.0.0.1:1", 0, 0, "ready", 0, 0)


class FakeList:
    """A list service. `replies` says what it sends on each connection in turn: "nothing", "incomplete" (a list whose
    end is missing), "complete" (a list and then nothing) or "complete, then empty changes", which is the default."""

    def __init__(self, replies):
        self.replies, self.links, self.requests = replies, [], 0

    def accept(self, sock):
        reply = self.replies.pop(0) if self.replies else "complete, then empty changes"
        self.links.append(
            Link(
                self.hub,
                sock,
                Codec("edge"),
                Hello(1, "list", "list"),
                lambda link, event: self.on_event(link, event, reply),
                lambda link, why: None,
            )
        )

    def on_event(self, link, event, reply):
        if isinstance(event, Frame) and isinstance(event.record, ListAsk):
            self.requests += 1
            if reply != "nothing":
                link.send(1, ListOf(True, 7, (ROW,), reply == "incomplete"))
            if reply == "complete, then empty changes":
                asyncio.create_task(self.send_empty_changes(link))

    async def send_empty_changes(self, link):
        while not link.lost:
            await asyncio.sleep(listing_module.SILENCE_TIMEOUT / 3)
            link.send(1, ListOf(False, 7, ()))


class StubCore:
    """Records the updates, and asks again whenever the list is unavailable, as the decision module does."""

    def __init__(self):
        self.list_version, self.updates, self.lost = -1, [], 0

    def apply_list_update(self, now, update):
        self.list_version = update.version
        self.updates.append(update)

    def list_unavailable(self, now):
        self.lost += 1
        self.listing.request()


def run_test(replies, check):
    async def go():
        async with asyncio.timeout(10):
            fake, core, listener = FakeList(list(replies)), StubCore(), listening("127.0.0.1:0")
            fake.hub = hub = Hub(Limits())
            accepting = asyncio.create_task(accept_all(listener, fake.accept))
            settings = ListSettings(f"127.0.0.1:{listener.getsockname()[1]}")
            core.listing = StoreListClient(core, hub, settings, Hello(1, "edge", "e"), lambda: 0)
            core.listing.request()
            try:
                await check(fake, core)
            finally:
                core.listing.end()
                accepting.cancel()
                await hub.stop()
                listener.close()

    asyncio.run(go())


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(listing_module, "SILENCE_TIMEOUT", 0.3)
    monkeypatch.setattr(listing_module, "CHECK_INTERVAL", 0.02)


@pytest.mark.parametrize("replies", [["nothing"], ["incomplete"], ["complete"], ["nothing", "incomplete", "complete"]])
def test_a_stalled_list_service_is_called_again(replies):
    """It stalls after its hello, in the middle of an answer, or after a complete one."""

    async def check(fake, core):
        while fake.requests < len(replies) + 1 or not core.updates:
            await asyncio.sleep(0.01)
        assert core.lost == len(replies) and core.updates[-1].rows == (ROW,)

    run_test(replies, check)


def test_a_list_service_without_news_is_not_called_again():
    async def check(fake, core):
        while not core.updates:
            await asyncio.sleep(0.01)
        await asyncio.sleep(4 * listing_module.SILENCE_TIMEOUT)
        assert (fake.requests, core.lost, len(core.updates)) == (1, 0, 1)

    run_test([], check)


def test_the_list_service_sends_empty_changes(tmp_path, monkeypatch):
    monkeypatch.setattr(standin_module, "QUIET", 0.02)

    async def no_commands(carry_out):
        await asyncio.get_running_loop().create_future()

    monkeypatch.setattr(standin_module, "commands", no_commands)

    async def go():
        async with asyncio.timeout(10):
            service, ports = ListService(tmp_path / "record", 0.0, 0.0), []
            serving = asyncio.create_task(service.serve("127.0.0.1:0", ports.append))
            while not ports:
                await asyncio.sleep(0.01)
            core, hub, events = StubCore(), Hub(Limits()), []
            core.listing = StoreListClient(
                core, hub, ListSettings(f"127.0.0.1:{ports[0]}"), Hello(1, "edge", "e"), lambda: 0
            )
            core.listing.request()
            while core.listing.link is None:
                await asyncio.sleep(0.01)
            on_event = core.listing.link.on_event
            core.listing.link.on_event = lambda link, received: (events.append(received), on_event(link, received))
            while sum(isinstance(event, Frame) and isinstance(event.record, ListOf) for event in events) < 4:
                await asyncio.sleep(0.01)
            assert len(core.updates) == 1 and core.lost == 0
            core.listing.end()
            service.ended.set()
            await serving
            await hub.stop()

    asyncio.run(go())
