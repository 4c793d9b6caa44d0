"""The platform's configuration file: errors, and retries of reads that fail for a moment."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

import pytest
from platform_stage import FakeDiscovery, FakeStore, configuration, run_test, staged, until

from tansykeel.platform.config import Illegal, Unreadable, read, read_at_start


@pytest.mark.parametrize(
    "change, message",
    [
        ({"listen": 5}, "listen"),
        ({"discovery": "nowhere"}, "discovery: address 'nowhere'; legal: host:port"),
        ({"settings": {}}, "settings lack"),
        ({"seed": "zz"}, "legal: hex digits"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"known": {"revision": 1, "complete": True, "members": [{"id": "x"}]}}, "host_port"),
    ],
)
def test_an_invalid_configuration_gives_one_error_line_with_path_and_reason(tmp_path, change, message):
    path = configuration(tmp_path, "127.0.0.1:9")
    path.write_text(json.dumps(json.loads(path.read_text()) | change))
    with pytest.raises(Illegal) as caught:
        read(str(path))
    assert message in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)


UNREADABLE = [errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM]


def fail_to_read(monkeypatch, failure, times):
    """Let the next `times` reads of a file fail. Return the list of the paths whose read failed."""
    failed, real = [], Path.read_bytes

    def read_bytes(path):
        if len(failed) < times:
            failed.append(path)
            raise OSError(failure, os.strerror(failure))
        return real(path)

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    return failed


@pytest.mark.parametrize("failure", UNREADABLE, ids=lambda failure: errno.errorcode[failure])
def test_reading_the_configuration_is_retried_at_the_start(tmp_path, monkeypatch, failure):
    """After one failed read the gateway ended with exit code 2 at its start."""
    path = configuration(tmp_path, "127.0.0.1:9")
    failed = fail_to_read(monkeypatch, failure, 3)
    assert read_at_start(str(path)).file.name == "n0"
    assert len(failed) == 3


def test_a_missing_configuration_is_an_error_at_once(tmp_path, monkeypatch):
    with pytest.raises(Unreadable, match="No such file"):
        read_at_start(str(tmp_path / "none.json"))


@pytest.mark.parametrize("failure", [*UNREADABLE, errno.ENOENT], ids=lambda failure: errno.errorcode[failure])
def test_reading_the_configuration_is_retried_after_a_sighup(tmp_path, monkeypatch, failure):
    """The new discovery was not watched until the next SIGHUP. With the old one gone, no drain was seen until then."""

    async def go():
        other = await FakeDiscovery().start()
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            configuration(tmp_path, other.address)
            failed = fail_to_read(monkeypatch, failure, 2)
            stage.gateway.reload_config()
            await until(lambda: other.watch_requests)
            assert len(failed) == 2
        await other.stop()

    run_test(go())


def test_after_several_sighups_the_last_file_is_used(tmp_path, monkeypatch):
    async def go():
        second, third = await FakeDiscovery().start(), await FakeDiscovery().start()
        async with staged(tmp_path, FakeStore("s0", 0)) as stage:
            await until(lambda: stage.gateway.core.list_version == 5)
            configuration(tmp_path, second.address)
            fail_to_read(monkeypatch, errno.EIO, 1)
            stage.gateway.reload_config()
            configuration(tmp_path, third.address)
            stage.gateway.reload_config()
            await until(lambda: third.watch_requests)
            assert not second.watch_requests
        await second.stop()
        await third.stop()

    run_test(go())
