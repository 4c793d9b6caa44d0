"""The platform's gateway after SIGTERM: nothing that is read stays unanswered, nothing is closed under a request."""

from __future__ import annotations

import asyncio
import socket

import pytest
from platform_stage import Store, asking, ok, play, staged, until

from tansykeel.http1 import codec
from tansykeel.platform import program


@pytest.fixture(autouse=True)
def soon(monkeypatch):
    """Killed 2.5 s after SIGTERM: takes tasks for 1 s, has answered all after 2 s, is gone after 2.4 s."""
    for name, seconds in (("LONGEST", 0.5), ("KILLS_AFTER", 2.0), ("SERVES_UNTIL", 1.5), ("ENDS_BEFORE", 0.5),
                          ("FLUSHES_BEFORE", 0.1)):
        monkeypatch.setattr(program, name, seconds)
    monkeypatch.setattr("tansykeel.platform.clients.UNASKED", 10.0)


def test_sigterm_serves_on_for_a_while_then_closes_what_idles_and_answers_what_it_holds(tmp_path):
    async def go():
        store = Store("s0", 0, lambda request: None if request.fields[b"x-txn"] == b"%016x" % 1 else ok())
        async with staged(tmp_path, store) as stage:
            held, kept = await stage.client(), await stage.client()
            assert (await kept.ask(2)).lasts
            held.writer.write(asking(1))
            await until(lambda: len(store.got) == 2)
            stage.gateway.stopping.set()
            late = await stage.client()  # still taken
            answer = await late.ask(3)
            assert answer.status == 200 and answer.lasts and not stage.gateway.closing
            assert await kept.ended() and stage.gateway.closing
            answer = await held.answer()
            assert answer.status == 503 and not answer.lasts
            held.writer.close()
            assert await stage.serving == 0
    play(go())


def test_a_client_that_never_rests_has_every_answer_and_is_closed_between_requests(tmp_path):
    async def go():
        async with staged(tmp_path, Store("s0", 0)) as stage:
            clients = [await stage.client() for _ in range(3)]
            asked, answers = [0], []

            async def ask_on(client):
                while True:
                    asked[0] += 1
                    answer = await client.ask(asked[0])
                    answers.append(answer)
                    if answer is None or not answer.lasts:
                        return client.writer.close()
            asking_on = [asyncio.create_task(ask_on(client)) for client in clients]
            await until(lambda: len(answers) > 10)
            stage.gateway.stopping.set()
            assert await stage.serving == 0
            await asyncio.gather(*asking_on)
            assert None not in answers and len(answers) == asked[0] and not stage.gateway.clients.conns
    play(go())


@pytest.mark.parametrize("goes_on", [True, False])
def test_who_began_to_ask_is_served_or_refused_and_not_cut_off(tmp_path, goes_on):
    async def go():
        store = Store("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            client.writer.write(asking(1)[:1])
            await until(lambda: any(one.reader.partial for one in stage.gateway.clients.conns))
            stage.gateway.stopping.set()
            await until(lambda: stage.gateway.closing)
            if goes_on:
                client.writer.write(asking(1)[1:])
            answer = await client.answer()
            assert (answer.status, answer.lasts, len(store.got)) == ((200, False, 1) if goes_on else (503, False, 0))
            client.writer.close()
            assert await stage.serving == 0
    play(go())


@pytest.mark.parametrize("asks", [True, False])
def test_who_connects_at_the_last_moment_is_heard(tmp_path, monkeypatch, asks):
    """Guards against connections that wait to be accepted and are reset as the listener closes."""
    async def go():
        async with staged(tmp_path, Store("s0", 0)) as stage:
            late, accept = socket.socket(), program.accept_waiting

            def connect_then_accept(listener, take):
                late.connect(listener.getsockname())
                if asks:
                    late.send(asking(1))
                accept(listener, take)
            monkeypatch.setattr(program, "accept_waiting", connect_then_accept)
            stage.gateway.stopping.set()
            await until(lambda: stage.gateway.closing)
            if not asks:
                await asyncio.sleep(0.1)  # it is given time to ask, as its request may be on the way
                late.send(asking(1))
            late.setblocking(False)
            answers = codec.AnswerReader()
            while (answer := answers.next()) is None:
                answers.feed(data := await asyncio.get_running_loop().sock_recv(late, 65536))
                assert data
            late.close()
            assert (answer.status, answer.lasts) == (200, False) and await stage.serving == 0
    play(go())
