"""The gateway serves as usual while its standard output is full, broken or closed."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import time
from contextlib import asynccontextmanager, suppress

import pytest
from platform_process import HEALTH, Process
from platform_stage import FakeDiscovery, FakeStore, ok, request_bytes, run_test, until

ONE_PAGE = 4096  # bytes


class UnreadLog:
    """A pipe whose write end a gateway gets as its standard output. `kind`: "stalled" for a full pipe, "gone" for one
    whose read end is closed; "closed" is left to the caller."""

    def __init__(self, kind):
        self.read_end, self.write_end = os.pipe()
        fcntl.fcntl(self.write_end, fcntl.F_SETPIPE_SZ, ONE_PAGE)
        if kind == "stalled":
            os.set_blocking(self.write_end, False)
            with suppress(BlockingIOError):
                while os.write(self.write_end, b"\n" * ONE_PAGE):
                    pass
            os.set_blocking(self.write_end, True)
        if kind == "gone":
            os.close(self.read_end)

    def read(self):
        """Return what the pipe holds."""
        os.set_blocking(self.read_end, False)
        text = b""
        with suppress(BlockingIOError):
            while part := os.read(self.read_end, 65536):
                text += part
        return text


@asynccontextmanager
async def process_with(tmp_path, kind, discovery, stores):
    log = UnreadLog(kind)
    made = Process(tmp_path, discovery, stores, 128, stdout=None if kind == "closed" else log.write_end)
    os.close(log.write_end)
    made.unread = log
    try:
        yield made
    finally:
        made.child.kill()
        made.child.wait()


@pytest.mark.parametrize("kind", ["gone", "stalled", "closed"])
def test_tasks_held_at_the_stop_are_answered_while_the_log_is_not_read(tmp_path, kind):
    async def go():
        store = FakeStore("s0", 0, lambda request: None if request.target.endswith(b"ff") else ok())
        await store.start()
        list_ = await FakeDiscovery().start()
        list_.rows = [store.row()]
        async with process_with(tmp_path, kind, list_.address, [store]) as gateway:
            assert (await gateway.ask(HEALTH)).status == 200
            assert (await gateway.ask(request_bytes(1))).status == 200
            path = b"/api/00000003b4d60021/00000000000000ff"
            held = [asyncio.create_task(gateway.ask(request_bytes(id, path=path))) for id in (2, 3, 4)]
            await until(lambda: len(store.requests) >= 4)
            gateway.child.send_signal(signal.SIGTERM)
            answers = await asyncio.gather(*held)
            assert [answer.status for answer in answers] == [503] * 3
            await until(lambda: gateway.child.poll() is not None, 6.0)
            assert gateway.child.returncode == 0
        await store.stop()
        await list_.stop()

    run_test(go())


def test_a_reader_that_returns_gets_whole_lines_and_the_number_of_lost_ones(tmp_path):
    async def go():
        list_ = await FakeDiscovery().start()
        async with process_with(tmp_path, "stalled", list_.address, []) as gateway:
            assert (await gateway.ask(HEALTH)).status == 200
            gateway.unread.read()
            end = time.monotonic() + 3.0
            text = b""
            while b"\n" not in text.strip() and time.monotonic() < end:
                list_.send_update([])
                list_.send_update([{"id": "x", "host_port": "127.0.0.1:1", "cell": 1, "phase": "Ready"}])
                await asyncio.sleep(0.1)
                text += gateway.unread.read()
            lines = [json.loads(line) for line in text.splitlines() if line]
            assert lines and lines[0]["lines_lost"] >= 1
        await list_.stop()

    run_test(go())
