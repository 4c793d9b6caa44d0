"""The platform's gateway after SIGTERM: it answers every request that it reads and resets no connection."""

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
def short_times(monkeypatch):
    """Kill 2.5 s after SIGTERM: tasks are taken for 1 s, all are answered at 2 s, all connections closed at 2.4 s."""
    for name, seconds in (
        ("MAX_COUNTED_DEADLINE", 0.5),
        ("KILL_DELAY", 2.0),
        ("DRAIN_BEFORE_KILL", 1.5),
        ("ANSWER_BEFORE_KILL", 0.5),
        ("CLOSE_BEFORE_KILL", 0.1),
    ):
        monkeypatch.setattr(program, name, seconds)
    monkeypatch.setattr("tansykeel.platform.client_connection.REQUEST_TIMEOUT", 10.0)


def test_after_sigterm_it_serves_for_a_while_then_closes_idle_connections_and_answers_held_tasks(tmp_path):
    async def go():
        store = FakeStore("s0", 0, lambda request: None if request.fields[b"x-txn"] == b"%016x" % 1 else ok())
        async with staged(tmp_path, store) as stage:
            held, kept = await stage.client(), await stage.client()
            assert (await kept.ask(2)).keep_alive
            held.writer.write(request_bytes(1))
            await until(lambda: len(store.requests) == 2)
            stage.gateway.stop()
            late = await stage.client()  # still accepted
            answer = await late.ask(3)
            assert answer.status == 200 and answer.keep_alive and not stage.gateway.closing
            assert await kept.ended() and stage.gateway.closing
            answer = await held.answer()
            assert answer.status == 503 and not answer.keep_alive
            held.writer.close()
            assert await stage.serving == 0

    run_test(go())


def test_a_busy_client_gets_every_answer_and_is_closed_between_requests(tmp_path):
    async def go():
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            clients = [await stage.client() for _ in range(3)]
            sent, answers = [0], []

            async def keep_asking(client):
                while True:
                    sent[0] += 1
                    answer = await client.ask(sent[0])
                    answers.append(answer)
                    if answer is None or not answer.keep_alive:
                        return client.writer.close()

            askers = [asyncio.create_task(keep_asking(client)) for client in clients]
            await until(lambda: len(answers) > 10)
            stage.gateway.stop()
            assert await stage.serving == 0
            await asyncio.gather(*askers)
            assert None not in answers and len(answers) == sent[0] and not stage.gateway.clients.conns

    run_test(go())


@pytest.mark.parametrize("completes", [True, False])
def test_a_partial_request_is_served_if_completed_and_otherwise_rejected(tmp_path, completes):
    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client = await stage.client()
            client.writer.write(request_bytes(1)[:1])
            await until(lambda: any(one.reader.partial for one in stage.gateway.clients.conns))
            stage.gateway.stop()
            await until(lambda: stage.gateway.closing)
            if completes:
                client.writer.write(request_bytes(1)[1:])
            answer = await client.answer()
            assert (answer.status, answer.keep_alive, len(store.requests)) == (
                (200, False, 1) if completes else (503, False, 0)
            )
            client.writer.close()
            assert await stage.serving == 0

    run_test(go())


@pytest.mark.parametrize("asks", [True, False])
@pytest.mark.parametrize("moment, status", [("_close_between_requests", 200), ("_answer_remaining", 503)])
def test_a_connection_at_the_last_moment_gets_an_answer(tmp_path, monkeypatch, moment, status, asks):
    """Connections that waited to be accepted were reset as the listener closed.

    One that is opened while each answer ends its connection is served. One that is opened as the listener closes is
    rejected, and its request is not sent to a store.
    """

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

            async def connect_then_close(gateway, kill_at):
                connect()
                await close(gateway, kill_at)

            if moment == "_answer_remaining":
                monkeypatch.setattr(program, "accept_waiting", connect_then_accept)
                monkeypatch.setattr(program, "ANSWER_BEFORE_KILL", 1.0)
            else:
                monkeypatch.setattr(program.Gateway, "_close_between_requests", connect_then_close)
            stage.gateway.stop()
            await until(lambda: stage.gateway.core.stopping if moment == "_answer_remaining" else stage.gateway.closing)
            if not asks:
                await asyncio.sleep(0.1)  # within EVICTION_GRACE, in which the connection is kept
                late.send(request_bytes(1))
            late.setblocking(False)
            answers = codec.AnswerReader()
            while (answer := answers.next()) is None:
                answers.feed(data := await asyncio.get_running_loop().sock_recv(late, 65536))
                assert data
            late.close()
            assert (answer.status, answer.keep_alive, len(store.requests)) == (status, False, int(status == 200))
            assert await stage.serving == 0

    run_test(go())


def test_a_connection_accepted_as_accepting_is_cancelled_is_handed_over():
    """The task is cancelled within accept(), before it has the new socket."""

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


def test_a_request_that_arrives_as_its_idle_connection_is_ended_resets_nothing(tmp_path, monkeypatch):
    """It arrives between the check that the connection is idle and its end, with the last answer not read yet."""

    async def go():
        store = FakeStore("s0", 0)
        async with staged(tmp_path, store) as stage:
            client, quiet = socket.create_connection(("127.0.0.1", stage.port)), Stream.quiet
            client.send(request_bytes(1))
            await until(lambda: stage.gateway.core.counts.delivered)

            def quiet_then_request(stream):
                was_quiet = quiet(stream)
                if was_quiet and stage.gateway.closing and len(sent) < 1:
                    sent.append(client.send(request_bytes(2)))
                return was_quiet

            sent = []
            monkeypatch.setattr(Stream, "quiet", quiet_then_request)
            stage.gateway.stop()
            await until(lambda: sent)
            client.setblocking(False)
            loop, answers = asyncio.get_running_loop(), codec.AnswerReader()
            answers.feed(await loop.sock_recv(client, 65536))
            assert answers.next().status == 200 and not answers.has_extra_bytes
            assert (
                await loop.sock_recv(client, 1) == b""
            )  # an orderly end: the client may send the request again elsewhere
            client.close()
            assert await stage.serving == 0 and len(store.requests) == 1

    run_test(go())


def test_unread_bytes_at_the_last_close_do_not_destroy_an_answer(tmp_path, monkeypatch):
    """The kernel still holds most of the answer for a client that reads slowly, and bytes of the client arrive at the
    moment of the close. A reset would discard that part of the answer."""
    monkeypatch.setattr("tansykeel.platform.client_connection.LINGER", 5.0)

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


def test_sigterm_during_the_wait_for_the_first_list_counts_from_its_arrival(tmp_path, monkeypatch):
    """The gateway ended late by the rest of that wait: the platform counts the time to the kill from its signal."""
    monkeypatch.setattr(program, "FIRST_LIST_TIMEOUT", 1.0)

    async def go():
        async with staged(tmp_path, FakeStore("s0", 0), list_=FakeDiscovery(mute=["connect"] * 9)) as stage:
            await until(lambda: stage.list.watch_requests)
            begun, times_left, end = asyncio.get_running_loop().time(), [], stage.gateway._answer_remaining

            async def record_then_end(kill_at):
                times_left.append(kill_at - begun)
                await end(kill_at)

            stage.gateway._answer_remaining = record_then_end
            stage.gateway.stop()
            stage.gateway.stop()
            assert await stage.serving == 0 and 2.4 < times_left[0] < 2.6

    run_test(go())


def test_a_configuration_reloaded_after_the_stop_opens_no_watch(tmp_path):
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


def test_with_short_deadlines_new_connections_are_accepted_during_the_stop(tmp_path, monkeypatch):
    """Kill 1.2 s after SIGTERM, as with deadlines of 0.5 s. A client connects while answers end their connections."""
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
            assert (answer.status, answer.keep_alive) == (200, False)
            assert await stage.serving == 0

    run_test(go())
