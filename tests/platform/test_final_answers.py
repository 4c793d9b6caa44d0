"""What fails within the gateway frees no request of its final answer, and is counted."""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import Store, asking, play, staged, until

from tansykeel.brain import Scheduler


def test_a_task_whose_decision_fails_is_answered_in_time(tmp_path, monkeypatch):
    decide = Scheduler.serve

    def fails_at_its_turn(self, task):
        run = decide(self, task)
        yield next(run)
        raise ArithmeticError("planted")

    async def go():
        async with staged(tmp_path, Store("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            monkeypatch.setattr(Scheduler, "serve", fails_at_its_turn)
            client = await stage.client()
            async with asyncio.timeout(1.0):
                assert (await client.ask(1, x_remaining="0.6")).status in (500, 503)
            assert sum(stage.gateway.violations.counts.values()) == 1
            monkeypatch.setattr(Scheduler, "serve", decide)
            assert (await client.ask(2)).status == 200

    play(go())


@pytest.mark.parametrize("part", ["clients", "stores", "discovery"])
def test_a_look_that_fails_is_not_the_last_one(tmp_path, monkeypatch, part):
    async def go():
        async with staged(tmp_path, Store("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            looked_at, looks = getattr(stage.gateway, part), []

            def fails():
                looks.append(part)
                raise ArithmeticError("planted")

            monkeypatch.setattr(looked_at, "look", fails)
            await until(lambda: len(looks) > 2)
            silent = await stage.client()
            if part != "clients":
                assert (await silent.answer()).status == 408

    play(go())


def test_room_that_comes_free_goes_to_the_next_pool_where_the_first_needs_none(tmp_path):
    """Two pools wait for room; the first one's attempt is over by the time that a connection is closed."""

    async def go():
        held, wants, gone = Store("s0", 0, lambda request: None), Store("s1", 1), Store("s2", 2)
        async with staged(tmp_path, held, wants, gone) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            stage.gateway.stores.max_connections = 1
            first, left, last = [await stage.client() for _ in range(3)]
            first.writer.write(asking(1, x_remaining="0.8"))
            await until(lambda: held.got)
            left.writer.write(asking(2, x_extent="units=2,shard=2,hosts=1"))
            await until(lambda: stage.gateway.stores.has_waiting())
            last.writer.write(asking(3, x_extent="units=2,shard=1,hosts=1"))
            await until(lambda: len(stage.gateway.stores._waiting_for_room) == 2)
            left.writer.transport.abort()
            async with asyncio.timeout(1.5):
                assert (await last.answer()).status == 200

    play(go())
