"""`epoll_ctl` fails with ENOMEM or ENOSPC, as Linux documents it: the process ends by signal 6 with all that it held."""

from __future__ import annotations

import asyncio
import errno
import os
import platform
import resource
import socket
import subprocess
import sys
import time

from platform_process import free_port
from platform_stage import List, Store, asking, configuration, play

from tansykeel.http1 import codec

ACCEPTED_WITHIN = 0.2  # seconds
DENIED = 40  # a descriptor that `epoll_ctl` never takes in: one of the clients' below
EPOLL_CTL = {"x86_64": 233, "aarch64": 21}[platform.machine()]
# A filter of the process's own system calls, by the kernel (seccomp(2)): it fails `epoll_ctl(_, ADD, DENIED, _)`.
GATEWAY = f"""
import ctypes, runpy, struct
def step(code, true, false, value): return struct.pack("HBBI", code, true, false, value)
LOAD, EQUAL, RETURN = 0x20, 0x15, 0x06
program = ctypes.create_string_buffer(b"".join([
    step(LOAD, 0, 0, 0), step(EQUAL, 0, 5, {EPOLL_CTL}),
    step(LOAD, 0, 0, 24), step(EQUAL, 0, 3, 1),
    step(LOAD, 0, 0, 32), step(EQUAL, 0, 1, {DENIED}),
    step(RETURN, 0, 0, 0x00050000 | {errno.ENOMEM}), step(RETURN, 0, 0, 0x7FFF0000),
]))
filter = ctypes.create_string_buffer(struct.pack("HxxxxxxP", 8, ctypes.addressof(program)))
libc = ctypes.CDLL(None, use_errno=True)
assert libc.prctl(38, 1, 0, 0, 0) == 0 and libc.prctl(22, 2, filter, 0, 0) == 0, ctypes.get_errno()
runpy.run_module("tansykeel.platform", run_name="__main__", alter_sys=True)
"""


def open_clients(port, count):
    """Connections to the gateway, tried until the first one comes up."""
    end = time.monotonic() + 10
    while True:
        try:
            return [socket.create_connection(("127.0.0.1", port), timeout=2) for _ in range(count)]
        except ConnectionRefusedError:
            assert time.monotonic() < end
            time.sleep(0.02)


def status_of_answer(client):
    """The status of a client's answer, None where none comes in time or the connection ends."""
    answers = codec.AnswerReader()
    try:
        while (answer := answers.next()) is None:
            if not (data := client.recv(65536)):
                return None
            answers.feed(data)
    except OSError:
        return None
    return answer.status


def ask_all(port, count):
    """The statuses of one request on each of so many connections, all of which are accepted before the first asks."""
    clients = open_clients(port, count)
    time.sleep(ACCEPTED_WITHIN)
    for number, client in enumerate(clients, 1):
        client.sendall(asking(number))
    statuses = [status_of_answer(client) for client in clients]
    for client in clients:
        client.close()
    return statuses


def test_a_descriptor_that_the_kernel_does_not_watch_costs_nobody_else_an_answer(tmp_path):
    async def go():
        store, list_ = await Store("s0", 0).start(), await List().start()
        list_.rows.append(store.row())
        port = free_port()
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
        path = configuration(tmp_path, list_.address, [store.row()], listen=f"127.0.0.1:{port}", limits=limits)
        gateway = subprocess.Popen(
            [sys.executable, "-c", GATEWAY],
            env=os.environ | {"EDGE_CONFIG": str(path)},
            stdout=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256)),
        )
        try:
            statuses = await asyncio.to_thread(ask_all, port, 60)
            assert gateway.poll() is None
            assert statuses.count(200) == 59  # all but the one whose descriptor is not watched
        finally:
            gateway.kill()
            gateway.wait()
            for part in (store, list_):
                await part.stop()

    play(go())
