"""The platform's configuration file: one clear error for what can't be used."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

import pytest
from platform_stage import FakeDiscovery, FakeStore, configuration, run_test, staged, until

from tansykeel.platform.config import Illegal, Unreadable, read, read_at_start


@pytest.mark.parametrize(
    "change, says",
    [
        ({"listen": 5}, "listen"),
        ({"discovery": "nowhere"}, "discovery: address 'nowhere'; legal: host:port"),
        ({"settings": {}}, "settings lack"),
        ({"seed": "zz"}, "legal: hex digits"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"known": {"revision": 1, "complete": True, "members": [{"id": "x"}]}}, "host_port"),
    ],
)
def test_a_configuration_that_can_t_be_used_gives_one_clear_error(tmp_path, change, says):
    path = configuration(tmp_path, "127.0.0.1:9")
    path.write_text(json.dumps(json.loads(path.read_text()) | change))
    with pytest.raises(Illegal) as caught:
        read(str(path))
    assert says in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)


UNREADABLE = [errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM]


def fail_to_read(monkeypatch, failure, times):
    """The next `times` reads of a file fail; the list of those that did."""
    failed, real = [], Path.read_bytes

    def read_bytes(path):
        if len(failed) < times:
            failed.append(path)
            raise OSError(failure, os.strerror(failure))
        return real(path)

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    return failed


@pytest.mark.parametrize("failure", UNREADABLE, ids=lambda failure: errno.errorcode[failure])
def test_a_configuration_that_can_not_be_read_for_a_moment_is_taken_at_the_start(tmp_path, monkeypatch, failure):
    """The gateway ended with code 2 before it served anybody."""
    path = configuration(tmp_path, "127.0.0.1:9")
    failed = fail_to_read(monkeypatch, failure, 3)
    assert read_at_start(str(path)).file.name == "n0"
    assert len(failed) == 3


def test_a_configuration_that_is_not_there_is_told_at_once(tmp_path, monkeypatch):
    with pytest.raises(Unreadable, match="No such file"):
        read_at_start(str(tmp_path / "none.json"))


@pytest.mark.parametrize("failure", [*UNREADABLE, errno.ENOENT], ids=lambda failure: errno.errorcode[failure])
def test_a_configuration_that_can_not_be_read_for_a_moment_is_taken_after_a_sighup(tmp_path, monkeypatch, failure):
    """Its discovery was not watched until the next SIGHUP, while the old one went: no drain was heard from then on."""

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


def test_of_signals_in_series_the_last_file_counts(tmp_path, monkeypatch):
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
