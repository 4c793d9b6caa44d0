"""The platform's gateway after SIGTERM: nothing that is read stays unanswered, nothing is closed under a request."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest
from platform_stage import FakeDiscovery, FakeStore, configuration, ok, request_bytes, run_test, staged, until

from tansykeel.http1 import codec
from tansykeel.platform import program
from tansykeel.transport.sockets import accept_all, accept_waiting, listening, new_event_loop
from tansykeel.transport.stream import Stream


@pytest.fixture(autouse=True)
def soon(monkeypatch):
    """Killed 2.5 s after SIGTERM: takes tasks for 1 s, has answered all after 2 s, is gone after 2.4 s."""
    for name, seconds in (
        ("MAX_COUNTED_DEADLINE", 0.5),
        ("KILL_DELAY", 2.0),
        ("DRAIN_BEFORE_KILL", 1.5),
        ("ANSWER_BEFORE_KILL", 0.5),
        ("CLOSE_BEFORE_KILL", 0.1),
    ):
        monkeypatch.setattr(program, name, seconds)
    monkeypatch.setattr("tansykeel.platform.clients.REQUEST_TIMEOUT", 10.0)


def test_sigterm_serves_on_for_a_while_then_closes_what_idles_and_answers_what_it_holds(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None if request.fields[b"x-txn"] == b"%016x" % 1 else ok())
        async with staged(tmp_path, store) as stage:
            held, kept = await stage.client(), await stage.client()
            assert (await kept.ask(2)).lasts
            held.writer.write(request_bytes(1))
            await until(lambda: len(store.requests) == 2)
            stage.gateway.stop()
            late = await stage.client()  # still taken
            answer = await late.ask(3)
            assert answer.status == 200 and answer.lasts and not stage.gateway.closing
            assert await kept.ended() and stage.gateway.closing
            answer = await held.answer()
            assert answer.status == 503 and not answer.lasts
            held.writer.close()
            assert await stage.serving == 0

    run_test(go())


def test_a_client_that_never_rests_has_every_answer_and_is_closed_between_requests(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
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
            stage.gateway.stop()
            assert await stage.serving == 0
            await asyncio.gather(*asking_on)
            assert None not in answers and len(answers) == asked[0] and not stage.gateway.clients.conns

    run_test(go())


@pytest.mark.parametrize("goes_on", [True, False])
def test_who_began_to_ask_is_served_or_refused_and_not_cut_off(tmp_path, goes_on):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1)[:1])
            await until(lambda: any(one.reader.partial for one in stage.gateway.clients.conns))
            stage.gateway.stop()
            await until(lambda: stage.gateway.closing)
            if goes_on:
                client.writer.write(request_bytes(1)[1:])
            answer = await client.answer()
            assert (answer.status, answer.lasts, len(store.requests)) == (
                (200, False, 1) if goes_on else (503, False, 0)
            )
            client.writer.close()
            assert await stage.serving == 0

    run_test(go())


@pytest.mark.parametrize("asks", [True, False])
@pytest.mark.parametrize("moment, status", [("_close_between_requests", 200), ("_answer_remaining", 503)])
def test_who_connects_at_the_last_moment_is_heard(tmp_path, monkeypatch, moment, status, asks):
    """Guards against connections that wait to be accepted and are reset as the listener closes: who comes while
    answers are last ones is served, who comes in the moment in which the listener closes is refused and not sent on."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            late, accept, close = socket.socket(), program.accept_waiting, program.Gateway._close_between_requests

            def connect():
                late.connect(("127.0.0.1", stage.port))
                if asks:
                    late.send(request_bytes(1))

            def connect_then_accept(listener, take):
                connect()
                accept(listener, take)

            async def connect_then_close(gateway, killed):
                connect()
                await close(gateway, killed)

            if moment == "_answer_remaining":
                monkeypatch.setattr(program, "accept_waiting", connect_then_accept)
                monkeypatch.setattr(program, "ANSWER_BEFORE_KILL", 1.0)
            else:
                monkeypatch.setattr(program.Gateway, "_close_between_requests", connect_then_close)
            stage.gateway.stop()
            await until(lambda: stage.gateway.core.stopping if moment == "_answer_remaining" else stage.gateway.closing)
            if not asks:
                await asyncio.sleep(0.1)  # it is given time to ask, as its request may be on the way
                late.send(request_bytes(1))
            late.setblocking(False)
            answers = codec.AnswerReader()
            while (answer := answers.next()) is None:
                answers.feed(data := await asyncio.get_running_loop().sock_recv(late, 65536))
                assert data
            late.close()
            assert (answer.status, answer.lasts, len(store.requests)) == (status, False, int(status == 200))
            assert await stage.serving == 0

    run_test(go())


def test_a_connection_accepted_in_the_moment_of_the_end_is_handed_over():
    """The end is told within the accept itself, between its two lines."""

    async def go():
        plain, taken = listening("127.0.0.1:0"), []

        class Listener(socket.socket):
            def accept(self):
                found = super().accept()
                accepting.cancel()
                return found

        listener = Listener(fileno=plain.detach())
        accepting = asyncio.create_task(accept_all(listener, taken.append))
        client = socket.create_connection(listener.getsockname())
        with suppress(asyncio.CancelledError):
            await accepting
        accept_waiting(listener, taken.append)
        listener.close()
        assert len(taken) == 1
        for sock in (*taken, client):
            sock.close()

    for loop in (asyncio.new_event_loop, new_event_loop):
        with asyncio.Runner(loop_factory=loop) as runner:
            runner.run(go())


def test_a_request_that_crosses_the_end_of_a_resting_connection_resets_nothing(tmp_path, monkeypatch):
    """The request comes after the look at the connection and before its end, and the last answer is not read yet."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client, quiet = socket.create_connection(("127.0.0.1", stage.port)), Stream.quiet
            client.send(request_bytes(1))
            await until(lambda: stage.gateway.core.counts.delivered)

            def quiet_then_asked(stream):
                was = quiet(stream)
                if was and stage.gateway.closing and len(sent) < 1:
                    sent.append(client.send(request_bytes(2)))
                return was

            sent = []
            monkeypatch.setattr(Stream, "quiet", quiet_then_asked)
            stage.gateway.stop()
            await until(lambda: sent)
            client.setblocking(False)
            loop, answers = asyncio.get_running_loop(), codec.AnswerReader()
            answers.feed(await loop.sock_recv(client, 65536))
            assert answers.next().status == 200 and not answers.behind
            assert await loop.sock_recv(client, 1) == b""  # an orderly end: what crossed may be sent again elsewhere
            client.close()
            assert await stage.serving == 0 and len(store.requests) == 1

    run_test(go())


def test_at_the_very_end_no_answer_is_taken_back_by_bytes_that_nobody_reads(tmp_path, monkeypatch):
    """The system still holds most of the answer for a client that reads slowly, and bytes of the client come in the
    moment of the close: a reset would take that with it."""
    monkeypatch.setattr("tansykeel.platform.clients.LINGER", 5.0)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0, lambda request: ok(b"x" * 300_000))) as stage:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", stage.port))
            client.send(request_bytes(1))
            await until(
                lambda: (
                    stage.gateway.core.counts.delivered
                    and not any(one.stream.unsent for one in stage.gateway.clients.conns)
                )
            )
            close_all = stage.gateway.clients.close_all

            def send_then_close():
                client.send(b"x" * 1000)
                close_all()

            stage.gateway.clients.close_all = send_then_close
            stage.gateway.stop()
            assert await stage.serving == 0
            await asyncio.sleep(0)
            answers = codec.AnswerReader()
            while data := await asyncio.to_thread(client.recv, 65536):
                answers.feed(data)
            assert len(answers.next().body) == 300_000
            client.close()

    run_test(go())


def test_sigterm_while_the_first_list_is_waited_for_counts_from_then(tmp_path, monkeypatch):
    """Guards against an end that is late by the time of the start: the platform counts from its signal."""
    monkeypatch.setattr(program, "FIRST_LIST_TIMEOUT", 1.0)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0), list_=FakeDiscovery(mute=["connect"] * 9)) as stage:
            await until(lambda: stage.list.watch_requests)
            begun, told, end = asyncio.get_running_loop().time(), [], stage.gateway._answer_remaining

            async def ends(killed):
                told.append(killed - begun)
                await end(killed)

            stage.gateway._answer_remaining = ends
            stage.gateway.stop()
            stage.gateway.stop()
            assert await stage.serving == 0 and 2.4 < told[0] < 2.6

    run_test(go())


def test_a_configuration_that_comes_after_the_end_opens_no_watch(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            stage.gateway.stop()
            assert await stage.serving == 0
            moved = await FakeDiscovery().start()
            configuration(tmp_path, moved.address)
            stage.gateway.reload_config()
            assert not stage.gateway.discovery.watches
            await moved.stop()

    run_test(go())


def test_where_deadlines_are_short_new_connections_are_taken_while_they_come(tmp_path, monkeypatch):
    """Killed 1.2 s after SIGTERM, as with deadlines of 0.5 s: clients connect for 0.4 s of them."""
    for name, seconds in (
        ("KILL_DELAY", 0.7),
        ("DRAIN_BEFORE_KILL", 1.0),
        ("ANSWER_BEFORE_KILL", 0.3),
        ("CLOSE_BEFORE_KILL", 0.1),
    ):
        monkeypatch.setattr(program, name, seconds)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            stage.gateway.stop()
            await until(lambda: stage.gateway.closing)
            await asyncio.sleep(0.1)
            answer = await (await stage.client()).ask(1)
            assert (answer.status, answer.lasts) == (200, False)
            assert await stage.serving == 0

    run_test(go())
