"""Guards against a gateway that serves no client while it applies many changes of the list.

What happened: all objects that were read at once, up to 64 KiB, and each object whole were applied before any client or
store was served. With 3,200 stores, six in ten of them replaced within 7 s, requests got no answer.
"""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from platform_stage import FakeStore, run_test, staged, until

from tansykeel.platform.config import Members
from tansykeel.platform.update_queue import MAX_ENTRIES_PER_TURN

STORES = 3_000
ANSWER_WITHIN = 2.5 + 0.5  # seconds: the time of a request, and what an answer may be late before it is lost


def entry(number, name="s", phase="Ready", **changes):
    """Return an entry of discovery's list, of a store at which nobody listens."""
    address = f"127.1.{number // 250}.{number % 250 + 1}:3000"
    row = {"id": f"{name}-{number}", "host_port": address, "locality": "a", "flavor": "m", "cell": number + 1}
    return row | {"phase": phase, "size": 1.0, "up_since_ms": 0} | changes


def entries(**changes):
    return [entry(number, **changes) for number in range(STORES)]


def states(gateway):
    return [(store.handle, store.state) for store in gateway.core.stores.values()]


async def most_changed_in_a_turn(gateway, done):
    """Return the most stores that differed between two turns of the event loop, until `done()`."""
    most, before = 0, states(gateway)
    end = time.monotonic() + 10
    while not done():
        assert time.monotonic() < end
        await asyncio.sleep(0)
        now = states(gateway)
        if now != before:
            most, before = max(most, len(set(now) ^ set(before))), now
    return most


LARGE_UPDATES = {
    "one object with all changes": lambda send, store: send(entries(phase="Terminating"), False),
    "an object for each change": lambda send, store: [send([one], False) for one in entries(phase="Terminating")],
    "a whole list of other stores": lambda send, store: send([store.row(), *entries(name="t")], True),
    "a whole list without them": lambda send, store: send([store.row()], True),
}


@pytest.mark.parametrize("update", LARGE_UPDATES)
def test_clients_are_served_between_changes_whatever_objects_they_come_in(tmp_path, update):
    async def go():
        store = FakeStore("serving", 0)
        async with staged(tmp_path, store) as stage:
            gateway, discovery = stage.gateway, stage.list
            await until(lambda: gateway.core.list_version == 5)
            discovery.send_update(entries())
            await until(lambda: gateway.discovery.revision == discovery.revision, 10)
            client = await stage.client()
            LARGE_UPDATES[update](discovery.send_update, store)
            waiting = asyncio.create_task(client.ask(1))
            most = await most_changed_in_a_turn(gateway, lambda: gateway.discovery.revision == discovery.revision)
            # A store that changes its state differs twice, and a store that has been gone for long is let go for it.
            assert 0 < most <= 3 * MAX_ENTRIES_PER_TURN
            assert (await waiting).status == 200 and len(store.requests) == 1
            ready = {name for name, state in states(gateway) if state.value == "ready"}
            others = {f"t-{number}" for number in range(STORES)} if update == "a whole list of other stores" else set()
            assert ready == {"serving"} | others

    run_test(go(), seconds=30)


def test_requests_are_answered_while_six_in_ten_of_many_stores_are_replaced(tmp_path):
    """The play of the review's case 6 in small: each change is sent as it happens, all within 1.5 s."""

    async def go():
        store = FakeStore("serving", 0)
        async with staged(tmp_path, store) as stage:
            discovery, replaced = stage.list, entries()[: STORES * 6 // 10]
            discovery.send_update(entries())
            await until(lambda: stage.gateway.discovery.revision == discovery.revision, 10)

            async def replace():
                for number, one in enumerate(replaced):
                    discovery.send_update([one | {"phase": "Terminating"}])
                    discovery.send_update([entry(number, name="t", up_since_ms=time.time() * 1000)])
                    discovery.send_update([one | {"phase": "Gone"}])
                    if number % 12 == 0:
                        await asyncio.sleep(0.01)

            replacing = asyncio.create_task(replace())
            client, asked = await stage.client(), 0
            while not replacing.done() or not asked:
                asked += 1
                answer = await asyncio.wait_for(client.ask(asked), ANSWER_WITHIN)
                assert answer.status == 200
                await asyncio.sleep(0.02)
            await until(lambda: stage.gateway.discovery.revision == discovery.revision)
            assert asked > 10

    run_test(go(), seconds=30)


@pytest.mark.parametrize("behind", [b"]", b""])
def test_a_watch_that_ends_behind_a_large_object_loses_nothing_of_it(tmp_path, behind):
    """`behind`: text that belongs to no object and ends the watch; without it, discovery closes the connection."""

    async def go():
        async with staged(tmp_path, FakeStore("serving", 0)) as stage:
            gateway, discovery = stage.gateway, stage.list
            await until(lambda: gateway.core.list_version == 5)
            discovery.rows += entries()
            discovery.send_update(entries())
            for writer in list(discovery.writers):
                if behind:
                    writer.write(b"1\r\n%s\r\n" % behind)
                writer.close()
            await until(lambda: len(gateway.core.stores) == STORES + 1 and len(discovery.watch_requests) == 2, 10)
            assert discovery.watch_requests[-1].startswith("/catalog/members?stream=1&index=")
            await until(lambda: gateway.discovery.revision == discovery.revision)

    run_test(go())


def test_an_older_change_that_comes_while_a_newer_one_is_applied_undoes_nothing(tmp_path):
    """As from a new watch, which begins at the version that was applied last."""

    async def go():
        async with staged(tmp_path, FakeStore("serving", 0)) as stage:
            discovery = stage.gateway.discovery
            await until(lambda: discovery.revision == 5)
            (watch,) = discovery.watches

            def update(revision, *members):
                return msgspec.convert({"revision": revision, "complete": False, "members": members}, Members)

            discovery.updates_received(watch, [update(60, *entries(phase="Terminating"))])
            assert discovery.updates.pending
            discovery.updates_received(watch, [update(50, entry(0)), update(61, entry(1, phase="Gone"))])
            await until(lambda: discovery.revision == 61)
            states_by_name = {name: state.value for name, state in states(stage.gateway)}
            assert states_by_name["s-0"] == "draining" and states_by_name["s-1"] == "gone"

    run_test(go())


@pytest.mark.parametrize("where", ["core", "decision module"])
def test_an_update_that_fails_is_received_again_with_those_behind_it(tmp_path, monkeypatch, where):
    """A fault of the program in one update may not leave the list wrong for good."""

    async def go():
        async with staged(tmp_path, FakeStore("serving", 0)) as stage:
            gateway, discovery = stage.gateway, stage.list
            await until(lambda: gateway.core.list_version == 5)
            core, module, calls = gateway.core, gateway.core.decision_module, []
            place, name = (core, "apply_list_update") if where == "core" else (module, "list_changed")
            call = getattr(place, name)

            def fail_once(*arguments, **named):
                calls.append(arguments)
                if len(calls) == 2:
                    raise RuntimeError("planted")
                return call(*arguments, **named)

            monkeypatch.setattr(place, name, fail_once)
            discovery.rows += entries()[1:]
            discovery.send_update(entries())
            discovery.send_update([entry(0, phase="Gone")])
            await until(lambda: gateway.discovery.revision == discovery.revision)
            assert len(discovery.watch_requests) == 2
            ready = {row["id"] for row in discovery.rows}
            assert {name for name, state in states(gateway) if state.value == "ready"} == ready
            assert {node.store.handle for node in module.by_shard.values()} == ready

    run_test(go())
