"""The platform's gateway follows discovery: formats of the list, silent and ended watches, changes of the address."""

from __future__ import annotations

import asyncio
import json

import pytest
from platform_stage import FakeDiscovery, FakeStore, configuration, no_descriptors, run_test, staged, until

from tansykeel.platform import watch as watch_module
from tansykeel.platform.objects import ObjectSplitter, Unfit
from tansykeel.platform.watch import Watch


def test_partial_updates_are_applied_and_older_versions_are_ignored(tmp_path):
    async def go():
        store, other = FakeStore("s0", 0), FakeStore("s1", 0)
        async with staged(tmp_path, store) as stage:
            await other.start()
            await until(lambda: stage.gateway.core.list_version == 5)
            assert stage.list.watch_requests == ["/catalog/members?stream=1&index=1"]
            stage.list.send_update([store.row(phase="Gone"), other.row()])
            await until(lambda: stage.gateway.core.list_version == 6)
            stage.list.revision = 2
            stage.list.send_update([store.row()], full=True)
            stage.list.revision = 8
            stage.list.send_update([other.row(locality="elsewhere")])
            await until(lambda: stage.gateway.core.list_version == 9)
            assert stage.gateway.core.stores["s0"].state.value == "gone"
            assert (await (await stage.client()).ask(1)).status == 200 and other.requests and not store.requests
            await other.stop()

    run_test(go())


def test_on_sighup_the_old_watch_is_closed_once_the_new_address_sends_a_message(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            gateway = stage.gateway
            await until(lambda: gateway.core.list_version == 5)
            gateway.path = str(tmp_path / "missing.json")
            gateway.reload_config()  # a file that can't be read changes nothing
            assert len(gateway.discovery.watches) == 1
            gateway.path = str(stage.path)
            moved = await FakeDiscovery().start()
            moved.revision, moved.rows = 9, stage.list.rows
            configuration(tmp_path, moved.address)
            gateway.reload_config()
            assert len(gateway.discovery.watches) == 2
            await until(lambda: gateway.core.list_version == 9)
            assert [watch.host.decode() for watch in gateway.discovery.watches] == [moved.address]
            assert moved.watch_requests == ["/catalog/members?stream=1&index=5"]
            await moved.stop()

    run_test(go())


OBJECTS = [{"a": 1}, {"b": [{"c": "}{"}, {"d": 'a "quoted" \\\\ one'}]}, {}]


@pytest.mark.parametrize(
    "text",
    [
        "\n".join(map(json.dumps, OBJECTS)),
        "".join(map(json.dumps, OBJECTS)),
        " \r\n\n".join(map(json.dumps, OBJECTS)) + "\n",
        "\n".join(json.dumps(one, indent=2) for one in OBJECTS),
        "".join(json.dumps(one, indent="\t") for one in OBJECTS),
    ],
)
@pytest.mark.parametrize("size", [1, 2, 3, 1000])
def test_objects_are_found_whatever_the_line_breaks_and_chunks(text, size):
    objects, found = ObjectSplitter(200), []
    for at in range(0, len(text), size):
        found += objects.feed(text.encode()[at : at + size])
    assert [json.loads(one) for one in found] == OBJECTS


@pytest.mark.parametrize(
    "text, message",
    [
        (b"}", "did not begin"),
        (b"error\n", "no object"),
        (b'{"a": 1} x', "no object"),
        (b'"{', "no object"),
        (b'{"a": "' + b"x" * 300, "more than 200 bytes"),
        (b'{"a":' * 60, "more than 200 bytes"),
    ],
)
def test_data_that_is_not_a_sequence_of_objects_is_rejected(text, message):
    with pytest.raises(Unfit, match=message):
        ObjectSplitter(200).feed(text)


@pytest.mark.parametrize("indent", [2, "\t"])
def test_an_indented_list_and_indented_changes_are_applied(tmp_path, indent):
    """A watch must not end at the first line break within an object, which made it restart forever."""

    async def go():
        store, other = FakeStore("s0", 0), FakeStore("s1", 0)
        async with staged(tmp_path, store, known=False, list_=FakeDiscovery(indent=indent)) as stage:
            await other.start()
            await until(lambda: stage.gateway.core.list_version == 5)
            stage.list.send_update([store.row(), other.row(phase="Terminating")])
            await until(lambda: stage.gateway.core.list_version == 6)
            assert {name: one.state.value for name, one in stage.gateway.core.stores.items()} == {
                "s0": "ready",
                "s1": "draining",
            }
            assert len(stage.list.watch_requests) == 1
            await other.stop()

    run_test(go())


@pytest.mark.parametrize("mute", ["connect", "head", "object", "empty"])
@pytest.mark.parametrize(
    "more_watches", [[], ["connect"] * 2, ["head"] * 2, ["object"] * 2, ["empty"], ["end", "connect"]]
)
def test_what_a_silent_watch_misses_is_received_in_time(tmp_path, mute, more_watches):
    """An update is received within 6 s of the last message, though further watches are silent too.

    The test advances the clock of `Discovery`.
    """
    more = len(more_watches)

    async def go():
        list_ = FakeDiscovery(mute=[mute, *more_watches])
        async with staged(tmp_path, FakeStore("s0", 0), list_=list_) as stage:
            discovery, core = stage.gateway.discovery, stage.gateway.core
            clock = [discovery.now()]
            discovery.now = lambda: clock[0]
            await until(lambda: list_.watch_requests and (discovery.watches[0].got_data or mute == "connect"))
            begun = discovery.silent_since
            while core.list_version < 5:
                clock[0] += 0.25
                assert clock[0] <= begun + 6.0
                tried = len(list_.watch_requests)
                newest = discovery.watches[-1]
                discovery.check_timeouts()
                if discovery.watches[-1] is not newest:
                    await until(lambda tried=tried: len(list_.watch_requests) > tried)
                    await until(
                        lambda: (
                            list_.mute
                            or list_.muted
                            and len(list_.watch_requests) == more + 1
                            or core.list_version == 5
                        )
                    )
            assert len(list_.watch_requests) == more + 2
            await until(lambda: len(discovery.watches) == 1)

    run_test(go())


def test_a_watch_that_ends_is_reopened_within_the_grace_period_of_a_drain(tmp_path):
    """The gateway counts as informed of changes even while it has no watch open, so a new one is opened in time."""

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            for turn in range(4):
                stage.list.revision += 1
                stage.list.writers[-1].transport.abort()
                await until(lambda turn=turn: stage.gateway.core.list_version == 6 + turn)

    run_test(go())


def test_the_configured_known_list_is_not_used_once_discovery_is_available(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        store.phase = "Terminating"
        async with staged(tmp_path, store, known={"phase": "Ready"}) as stage:
            assert (await (await stage.client()).ask(1, x_remaining="0.4")).status == 503 and not store.requests

    run_test(go())


@pytest.mark.parametrize("mute, drip", [("object", b" "), ("object", b"\n"), ("head", b"{"), ("empty", b'{"a": 1')])
def test_slow_bytes_of_an_incomplete_object_are_not_a_message(tmp_path, monkeypatch, mute, drip):
    """Bytes arrive every quarter of a second of the clock that the test advances, but no object is completed."""
    received, data = [], Watch._on_data

    def count_data(watch, text):
        received.append(text)
        data(watch, text)

    monkeypatch.setattr(Watch, "_on_data", count_data)

    async def go():
        list_ = FakeDiscovery(mute=[mute])
        async with staged(tmp_path, FakeStore("s0", 0), list_=list_) as stage:
            discovery, core = stage.gateway.discovery, stage.gateway.core
            clock = [discovery.now()]
            discovery.now = lambda: clock[0]
            await until(lambda: list_.watch_requests and discovery.watches[0].got_data)
            begun = discovery.silent_since
            while core.list_version < 5:
                clock[0] += 0.25
                assert clock[0] <= begun + 6.0
                before = len(received)
                list_.drip(drip)
                await until(lambda before=before: len(received) > before)
                opened = len(list_.watch_requests)
                discovery.check_timeouts()
                if len(discovery.watches) > opened:
                    await until(lambda: core.list_version == 5)
            await until(lambda: len(discovery.watches) == 1)

    run_test(go())


def reload_with_address(stage, moved, tmp_path):
    configuration(tmp_path, moved if isinstance(moved, str) else moved.address)
    stage.gateway.reload_config()


@pytest.mark.parametrize("first", ["refused", "end", "silent"])
def test_a_new_address_is_tried_again_while_the_old_watch_is_open(tmp_path, first):
    """The gateway must not stay with the old address for good if the new one is not available at first."""

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            discovery = stage.gateway.discovery
            await until(lambda: stage.gateway.core.list_version == 5)
            old = discovery.watches[0]
            moved = await FakeDiscovery(mute={"refused": [], "end": ["end"] * 3, "silent": ["connect"]}[first]).start()
            moved.revision, moved.rows = 9, stage.list.rows
            if first == "refused":
                moved.server.close()
                await moved.server.wait_closed()
                reload_with_address(stage, moved, tmp_path)
                await until(lambda: len(discovery.watches) == 1 and discovery.watches[0] is old)
                host, port = moved.address.split(":")
                moved.server = await asyncio.start_server(moved._talk, host, int(port))
            else:
                reload_with_address(stage, moved, tmp_path)
            await until(lambda: stage.gateway.core.list_version == 9, 4.0)
            assert old.stream.closed and [watch.host.decode() for watch in discovery.watches] == [moved.address]
            await moved.stop()

    run_test(go())


@pytest.mark.parametrize("whole", [True, False])
def test_a_new_discovery_with_lower_versions_is_followed_but_undoes_no_drain(tmp_path, whole):
    """Updates of the new discovery must not be ignored forever, nor may an older list undo a drain."""

    class Changes(FakeDiscovery):
        def text(self, rows, full):
            return super().text(rows, full and (whole or self.watch_requests != []))

    async def go():
        stores = [FakeStore("s0", 0), FakeStore("s1", 1), FakeStore("s2", 2)]
        async with staged(tmp_path, *stores) as stage:
            core = stage.gateway.core
            await until(lambda: core.list_version == 5)
            stage.list.send_update([stores[0].row(phase="Terminating")])
            await until(lambda: core.list_version == 6)
            moved = await Changes().start()
            moved.revision, moved.rows = 2, [stores[0].row(), stores[1].row()]
            reload_with_address(stage, moved, tmp_path)
            await until(lambda: core.list_version == 2)
            assert [core.stores[f"s{n}"].state.value for n in range(3)] == ["draining", "ready", "gone"]
            moved.send_update([stores[1].row(phase="Terminating"), stores[2].row()])
            await until(lambda: core.list_version == 3)
            assert [core.stores[f"s{n}"].state.value for n in range(3)] == ["draining", "draining", "ready"]
            moved.revision = 1
            moved.send_update([stores[1].row()])  # an older version is ignored again
            moved.revision = 3
            moved.send_update([stores[0].row(up_since_ms=1000)])  # a store that has restarted is ready again
            await until(lambda: core.list_version == 4)
            assert [core.stores[f"s{n}"].state.value for n in range(3)] == ["ready", "draining", "ready"]
            assert moved.watch_requests[0].endswith("index=6") and len(moved.watch_requests) == (1 if whole else 2)
            await moved.stop()

    run_test(go())


def test_sighup_while_a_watch_connects_and_twice(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            discovery = stage.gateway.discovery
            await until(lambda: stage.gateway.core.list_version == 5)
            between, last = await FakeDiscovery(mute=["connect"] * 9).start(), await FakeDiscovery().start()
            last.revision, last.rows = 12, stage.list.rows
            reload_with_address(stage, between, tmp_path)
            connecting = discovery.watches[-1]
            assert not connecting.got_data
            reload_with_address(stage, last, tmp_path)
            reload_with_address(stage, last, tmp_path)
            assert connecting.stream.closed and len(discovery.watches) == 2
            await until(lambda: stage.gateway.core.list_version == 12)
            assert [watch.host.decode() for watch in discovery.watches] == [last.address] and len(
                last.watch_requests
            ) == 1
            await between.stop()
            await last.stop()

    run_test(go())


def test_without_a_descriptor_for_a_watch_idle_clients_are_closed_and_it_is_retried(tmp_path, monkeypatch):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            idle = await stage.client()
            assert (await idle.ask(1)).status == 200
            refused = no_descriptors(monkeypatch, watch_module, 3)
            monkeypatch.setattr("tansykeel.platform.clients.EVICTION_GRACE", 0.0)
            stage.list.revision += 1
            stage.list.writers[0].transport.abort()
            await until(lambda: stage.gateway.core.list_version == 6)
            assert len(refused) == 3 and await idle.ended()

    run_test(go())
