"""The edge's list of stores on sockets: what stands still is told from what has no news, wherever it falls silent."""

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
    """Says on one connection after another what `says` has for it: "nothing", "page", "whole", "whole, then quiet"."""

    def __init__(self, says):
        self.says, self.links, self.asked = says, [], 0

    def accept(self, sock):
        says = self.says.pop(0) if self.says else "whole, then quiet"
        self.links.append(
            Link(
                self.hub,
                sock,
                Codec("edge"),
                Hello(1, "list", "list"),
                lambda link, event: self.event(link, event, says),
                lambda link, why: None,
            )
        )

    def event(self, link, event, says):
        if isinstance(event, Frame) and isinstance(event.record, ListAsk):
            self.asked += 1
            if says != "nothing":
                link.send(1, ListOf(True, 7, (ROW,), says == "page"))
            if says == "whole, then quiet":
                asyncio.create_task(self.quiet(link))

    async def quiet(self, link):
        while not link.lost:
            await asyncio.sleep(listing_module.SILENT / 3)
            link.send(1, ListOf(False, 7, ()))


class StubCore:
    def __init__(self):
        self.list_version, self.updates, self.lost = -1, [], 0

    def apply_list_update(self, now, update):
        self.list_version = update.version
        self.updates.append(update)

    def list_unavailable(self, now):
        self.lost += 1
        self.listing.request()


def play(says, check):
    async def go():
        async with asyncio.timeout(10):
            fake, core, listener = FakeList(list(says)), StubCore(), listening("127.0.0.1:0")
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
def soon(monkeypatch):
    monkeypatch.setattr(listing_module, "SILENT", 0.3)
    monkeypatch.setattr(listing_module, "LOOK", 0.02)


@pytest.mark.parametrize("says", [["nothing"], ["page"], ["whole"], ["nothing", "page", "whole"]])
def test_a_list_that_stands_still_is_called_anew(says):
    """Silent after the hello, in the middle of an answer, and after a whole one."""

    async def check(fake, core):
        while fake.asked < len(says) + 1 or not core.updates:
            await asyncio.sleep(0.01)
        assert core.lost == len(says) and core.updates[-1].rows == (ROW,)

    play(says, check)


def test_a_list_without_news_is_not_called_anew():
    async def check(fake, core):
        while not core.updates:
            await asyncio.sleep(0.01)
        await asyncio.sleep(4 * listing_module.SILENT)
        assert (fake.asked, core.lost, len(core.updates)) == (1, 0, 1)

    play([], check)


def test_the_list_service_says_that_it_is_there(tmp_path, monkeypatch):
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
            core, hub, heard = StubCore(), Hub(Limits()), []
            core.listing = StoreListClient(
                core, hub, ListSettings(f"127.0.0.1:{ports[0]}"), Hello(1, "edge", "e"), lambda: 0
            )
            core.listing.request()
            while core.listing.link is None:
                await asyncio.sleep(0.01)
            event = core.listing.link.on_event
            core.listing.link.on_event = lambda link, one: (heard.append(one), event(link, one))
            while sum(isinstance(one, Frame) and isinstance(one.record, ListOf) for one in heard) < 4:
                await asyncio.sleep(0.01)
            assert len(core.updates) == 1 and core.lost == 0
            core.listing.end()
            service.ended.set()
            await serving
            await hub.stop()

    asyncio.run(go())
