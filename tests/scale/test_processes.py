"""Processes of a scale test: none is left behind, and one that fails is named with its log."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from types import SimpleNamespace

import pytest

from tansykeel.scale.processes import ProcessGroup, Running, ScaleError


def gone(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


def test_all_processes_are_ended_also_one_that_was_stopped(tmp_path):
    async def play():
        group = ProcessGroup(tmp_path)
        for name in ("first", "second"):
            _, told = await group.start(name, "list-service", "--record", tmp_path / f"{name}.rec")
            assert told["event"] == "ready"
        first, second = group.started
        second.send_signal(signal.SIGSTOP)
        await group.end(last=second)
        return first.pid, second.pid

    assert all(gone(pid) for pid in asyncio.run(play()))


def test_a_signal_to_a_process_whose_end_is_not_known_yet_is_no_error():
    """What happened: a process ended between two signals, and the end of all others was given up."""
    process = subprocess.Popen(["true"])
    process.wait()
    assert gone(process.pid)
    unknown_end = Running("first", SimpleNamespace(pid=process.pid, returncode=None))
    assert unknown_end.runs
    unknown_end.send_signal(signal.SIGCONT)


def test_a_process_that_ends_before_it_is_ready_is_named_with_its_log(tmp_path):
    async def play():
        group = ProcessGroup(tmp_path)
        try:
            await group.start("broken", "check", tmp_path / "no-such-file.star")
        finally:
            await group.end()

    with pytest.raises(ScaleError, match="ended with 2.*no-such-file") as raised:
        asyncio.run(play())
    assert raised.value.where == "broken" and raised.value.code == 3


def test_a_process_that_says_nothing_is_an_error(tmp_path):
    async def play():
        group = ProcessGroup(tmp_path)
        try:
            running, _ = await group.start("silent", "list-service", "--record", tmp_path / "silent.rec")
            await group.next_line(running, 0.1)
        finally:
            await group.end()

    with pytest.raises(ScaleError, match="nothing within 0.1 s"):
        asyncio.run(play())
