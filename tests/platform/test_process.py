"""The gateway as a process, as the platform starts it: time to readiness, the limit of descriptors, signals."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import time
from contextlib import suppress

import pytest
from platform_process import HEALTH, free_port, process
from platform_stage import FakeDiscovery, FakeStore, ok, request_bytes, run_test, until


@pytest.mark.parametrize("discovery", ["up", "silent", "refused"])
def test_it_is_ready_in_time_whatever_discovery_does(tmp_path, discovery):
    """A restarted process may take 10 s. At a twentieth of a core these are 0.5 s of processor time, to which the wait
    for the first list is added."""

    async def go():
        list_ = await FakeDiscovery(mute=["connect"] * 99 if discovery == "silent" else ()).start()
        address = f"127.0.0.1:{free_port()}" if discovery == "refused" else list_.address
        async with process(tmp_path, address) as gateway:
            assert (await gateway.ask(HEALTH)).status == 200
            assert gateway.processor_s() < 2.0 and time.monotonic() - gateway.begun < 10.0
        await list_.stop()

    run_test(go())


@pytest.mark.parametrize("sockets", [64, 128, 256])
def test_idle_clients_that_fill_the_descriptors_block_neither_discovery_nor_attempts(tmp_path, sockets):
    """More clients connect and stay than the process has descriptors, while discovery is down: some send nothing, some
    idle after a request, some sent a part of one. Then discovery returns."""

    async def go():
        port, store, list_ = free_port(), FakeStore("s0", 0), FakeDiscovery()
        await store.start()
        async with process(tmp_path, f"127.0.0.1:{port}", [store], sockets) as gateway:
            assert (await gateway.ask(HEALTH)).status == 200
            socks, most_descriptors = [], 0
            for n in range(2 * sockets):
                sock = socket.create_connection(("127.0.0.1", gateway.port), 5.0)
                with suppress(OSError):
                    sock.send([b"", HEALTH, request_bytes(n)[:9]][n % 3])
                socks.append(sock)
                most_descriptors = max(most_descriptors, gateway.descriptors())
                if n % 8 == 0:
                    await asyncio.sleep(0.005)
            assert most_descriptors <= sockets - 4
            list_.rows = [store.row()]
            list_.server = await asyncio.start_server(list_._talk, "127.0.0.1", port)
            list_.writers = []
            begun = time.monotonic()
            await until(lambda: list_.watch_requests, 6.0)
            answer = await gateway.ask(request_bytes(1 << 40))
            assert (answer.status, answer.body) == (200, b"data") and time.monotonic() - begun < 6.0
            assert "Too many open files" not in gateway.said() and '"failed"' not in gateway.said()
            for sock in socks:
                sock.close()
        await store.stop()
        await list_.stop()

    run_test(go(), 40)


@pytest.mark.parametrize("moment", ["before the list", "ready", "twice"])
def test_after_sigterm_it_ends_in_time_with_every_request_answered(tmp_path, moment):
    async def go():
        list_ = await FakeDiscovery(mute=["connect"] * 99 if moment == "before the list" else ()).start()
        async with process(tmp_path, list_.address) as gateway:
            await until(lambda: list_.watch_requests)
            if moment != "before the list":
                assert (await gateway.ask(HEALTH)).status == 200
            begun = time.monotonic()
            gateway.child.send_signal(signal.SIGTERM)
            if moment == "twice":
                await until(lambda: "stopping" in gateway.said())
                gateway.child.send_signal(signal.SIGTERM)
                gateway.child.send_signal(signal.SIGHUP)
            await until(lambda: gateway.child.poll() is not None, 6.0)
            assert gateway.child.returncode == 0 and time.monotonic() - begun < 3.7
            assert '"left_unanswered": 0' in gateway.said()
        await list_.stop()

    run_test(go())


def test_misbehaving_clients_get_their_answers_and_other_requests_are_served(tmp_path):
    """At the same time: connections that send nothing, one byte at a time or an incomplete body, ones that never read
    their error, and ones that read their answer slowly."""

    async def go():
        store = FakeStore("s0", 0, lambda request: ok(b"x" * 60_000))
        await store.start()
        list_ = await FakeDiscovery().start()
        list_.rows = [store.row()]
        async with process(tmp_path, list_.address, [store], 256) as gateway:
            assert (await gateway.ask(HEALTH)).status == 200
            misbehaving = []
            for n in range(40):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.connect(("127.0.0.1", gateway.port))
                sock.setblocking(False)
                with suppress(OSError):
                    sock.send(
                        [
                            b"",
                            request_bytes(n)[:1],
                            request_bytes(n, body=b"x" * 60_000)[:50_000],
                            request_bytes(n, content_length="60000000") + b"x" * 100_000,
                            request_bytes(n + 100),
                        ][n % 5]
                    )
                misbehaving.append(sock)
            end, statuses, bytes_sent, served, id = time.monotonic() + 4.0, {}, {}, 0, 1 << 40
            while time.monotonic() < end:
                id += 1
                served += (await gateway.ask(request_bytes(id))).status == 200
                for n, sock in enumerate(misbehaving):
                    with suppress(OSError):
                        if n % 5 == 1 and (due := int((time.monotonic() - end + 4.0) * 20)) > bytes_sent.get(n, 0):
                            bytes_sent[n] = due
                            sock.send(request_bytes(n)[due : due + 1])
                        if n % 5 != 3 and (received := sock.recv(64)):  # the fourth kind never reads its error
                            statuses.setdefault(n % 5, re.search(rb"HTTP/1.1 (\d+)", received))
            assert served > 20
            status_by_kind = {kind: match[1] for kind, match in statuses.items() if match}
            assert status_by_kind == {0: b"408", 1: b"408", 2: b"408", 4: b"200"}
            assert '"failed"' not in gateway.said() and gateway.descriptors() < 200
            for sock in misbehaving:
                sock.close()
        await store.stop()
        await list_.stop()

    run_test(go(), 40)
