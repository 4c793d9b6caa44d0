"""Guards against costs of a list that tells again what is known, and of changes that come faster than they are read.

What happened: with 3,200 stores, a list that was told again unchanged four times a second took 0.1 s each time, each
change of one store about 0.2 ms, and each store 7 KB: more than fleets of that size allow.
"""

from __future__ import annotations

import asyncio
import statistics
import tracemalloc

import pytest
from many_stores import core_of
from platform_stage import FakeStore, run_test, staged, until

from tansykeel.platform.config import Member, Members
from tansykeel.platform.known_members import AppliedUpdates, KnownMembers, joined

LIMIT_SLACK = 0.05  # seconds by which the platform extends every time limit
MAX_BYTES = 4 << 20  # for a thousand stores: the memory that a large fleet may take more than a small one


def member(name, phase="Ready", **changes):
    return Member(name, **({"host_port": "h:1", "cell": 0, "phase": phase} | changes))


def change(revision, *members, complete=False):
    return Members(revision, complete, members)


READY, DRAINING, GONE = member("a"), member("a", "Terminating"), member("a", "Gone")


@pytest.mark.parametrize(
    "entries, news",
    [
        ([READY], []),
        ([READY, READY], []),
        ([DRAINING], [DRAINING]),
        ([DRAINING, READY], [DRAINING, READY]),
        ([DRAINING, DRAINING], [DRAINING]),
        ([GONE, READY], [GONE, READY]),
        ([member("a", host_port="h:2")], [member("a", host_port="h:2")]),
        ([member("b"), READY], [member("b")]),
    ],
)
def test_only_what_differs_is_news(entries, news):
    known = KnownMembers()
    known.applied([READY])
    assert known.news(entries) == news
    known.applied(news)
    known.applied([GONE])
    assert known.news([READY]) == [READY]


@pytest.mark.parametrize(
    "updates, result",
    [
        ([change(6, READY), change(7, DRAINING), change(7, GONE)], [change(7, READY, DRAINING, GONE)]),
        ([change(6, READY), change(5, DRAINING)], [change(6, READY), change(5, DRAINING)]),
        ([change(4, READY), change(6, DRAINING)], [change(4, READY), change(6, DRAINING)]),
        (
            [change(6, READY), change(7, DRAINING, complete=True), change(8, GONE), change(9, READY)],
            [change(6, READY), change(7, DRAINING, complete=True), change(9, GONE, READY)],
        ),
        ([change(6), change(7), change(8, READY)], [change(6), change(7), change(8, READY)]),
        ([], []),
    ],
)
def test_changes_that_follow_each_other_are_joined(updates, result):
    assert joined(updates, 5) == result


@pytest.mark.parametrize(
    "update, news, is_news",
    [
        (change(6, READY), [READY], True),
        (change(6, READY), [], False),
        (change(6, complete=True), [], True),
        (change(6), [], False),
    ],
)
def test_whole_lists_and_news_are_logged(update, news, is_news):
    applied = AppliedUpdates()
    applied.add(update, news)
    assert applied.is_news is is_news and applied.fields(6)["changed"] == len(news)


def test_a_list_that_is_told_again_changes_nothing_and_one_without_a_store_ends_it(tmp_path, monkeypatch):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            core, discovery = stage.gateway.core, stage.list
            await until(lambda: core.list_version == 5)
            changed, apply = [], core.decision_module.list_changed
            monkeypatch.setattr(
                core.decision_module,
                "list_changed",
                lambda stores, confirmed: (changed.extend(stores), apply(stores, confirmed)),
            )
            for _ in range(3):
                discovery.send_update([store.row()], full=True)
                await until(lambda: core.list_version == discovery.revision)
            assert changed == []
            for rows, state in (([], "gone"), ([store.row()], "ready")):
                discovery.send_update(rows, full=True)
                await until(lambda: core.list_version == discovery.revision)  # noqa: B023
                await until(lambda: core.stores["s0"].state.value == state)  # noqa: B023
            assert (await (await stage.client()).ask(1)).status == 200

    run_test(go())


def test_changes_gather_while_they_come_quickly_and_each_is_applied_soon(tmp_path):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            core, discovery = stage.gateway.core, stage.list
            await until(lambda: core.list_version == 5)
            loop, delays = asyncio.get_running_loop(), []
            for number in range(50):
                discovery.send_update([store.row(host_port=f"127.1.0.1:{number + 1}")])
                sent = loop.time()
                while core.list_version != discovery.revision:
                    await asyncio.sleep(0.001)
                delays.append(loop.time() - sent)
            assert statistics.median(delays) < LIMIT_SLACK

    run_test(go())


def test_a_store_takes_no_more_memory_than_a_large_fleet_may():
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    core = core_of(1_000)
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(core.stores) == 1_000 and taken < MAX_BYTES
