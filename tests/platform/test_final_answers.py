"""After an internal failure each request still gets its final answer, and the failure is counted."""

from __future__ import annotations

import asyncio

import pytest
from platform_stage import FakeStore, request_bytes, run_test, staged, until

from tansykeel.brain import Scheduler


def test_a_task_whose_decision_raises_is_answered_in_time(tmp_path, monkeypatch):
    decide = Scheduler.serve

    def fail_after_first_decision(self, task):
        run = decide(self, task)
        yield next(run)
        raise ArithmeticError("planted")

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            monkeypatch.setattr(Scheduler, "serve", fail_after_first_decision)
            client = await stage.client()
            async with asyncio.timeout(1.0):
                assert (await client.ask(1, x_remaining="0.6")).status in (500, 503)
            assert sum(stage.gateway.violations.counts.values()) == 1
            monkeypatch.setattr(Scheduler, "serve", decide)
            assert (await client.ask(2)).status == 200

    run_test(go())


@pytest.mark.parametrize("part", ["clients", "stores", "discovery"])
def test_a_check_that_fails_is_run_again_and_the_others_go_on(tmp_path, monkeypatch, part):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            checked, calls = getattr(stage.gateway, part), []

            def fails():
                calls.append(part)
                raise ArithmeticError("planted")

            monkeypatch.setattr(checked, "check_timeouts", fails)
            await until(lambda: len(calls) > 2)
            idle = await stage.client()
            if part != "clients":
                assert (await idle.answer()).status == 408

    run_test(go())


def test_a_freed_connection_goes_to_the_next_waiting_pool_if_the_first_needs_none(tmp_path):
    """Two pools wait to open a connection. The first one's client disconnects before a connection is closed."""

    async def go():
        held, waiting, unused = FakeStore("s0", 0, lambda request: None), FakeStore("s1", 1), FakeStore("s2", 2)
        async with staged(tmp_path, held, waiting, unused) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            stage.gateway.stores.max_connections = 1
            first, left, last = [await stage.client() for _ in range(3)]
            first.writer.write(request_bytes(1, x_remaining="0.8"))
            await until(lambda: held.requests)
            left.writer.write(request_bytes(2, x_extent="units=2,shard=2,hosts=1"))
            await until(lambda: stage.gateway.stores.has_waiting())
            last.writer.write(request_bytes(3, x_extent="units=2,shard=1,hosts=1"))
            await until(lambda: len(stage.gateway.stores._waiting_for_room) == 2)
            left.writer.transport.abort()
            async with asyncio.timeout(1.5):
                assert (await last.answer()).status == 200

    run_test(go())
