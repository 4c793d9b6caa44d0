"""The counterpart of an old-shape settings script: nothing lost unlisted, nothing written when told not to."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from tansykeel.cli.main import app
from tansykeel.settings.build import facts_of, load
from tansykeel.settings.move import left_behind, moved

OLD = """
gateway("shop", listen = "127.0.0.1:7000")  # one of two
category("read", soft_limit_ms = 250, cut_off_ms = 1500)
category("pay", soft_limit_ms = 250, cut_off_ms = 1500, repeat = "one-shot")
plan("thin", rate = 6, limit = 12, limit_depth = {depth})
plan("wide", rate = 6, reserve = 3)
for n in range(3):
    volume("ledger-%d" % n, plan = "wide", gateways = 2)
volume("export", plan = "thin", gateways = {hosts})
listing(address = "127.0.0.1:7050", mode = "ask")
sizes(largest = 8, usual = 2)
"""
TWO = ("127.0.0.1:7000", "127.0.0.1:7001")


@pytest.fixture
def old(tmp_path):
    def write(depth=40, hosts=2):
        (tmp_path / "old.star").write_text(OLD.format(depth=depth, hosts=hosts))
        return tmp_path / "old.star"

    return write


def run(*words):
    return CliRunner().invoke(app, ["move", *map(str, words)])


def test_the_counterpart_has_all_of_the_old_file_and_the_gateways(old, tmp_path):
    before, new = load(old()), tmp_path / "new.star"
    result = run(old(), new, "--tells", "fleet", *[f"--gateway={address}" for address in TWO])
    assert result.exit_code == 0, result.output
    after = load(new)
    for part in ("gateway", "categories", "plans", "volumes", "stores", "listing", "sizes"):
        assert getattr(after, part) == getattr(before, part)
    assert after.peers is not None and after.peers.addresses == TWO
    facts = facts_of(after, 1, 2)
    assert (facts.allowed.peers, facts.reports_use_elsewhere) == (True, False)
    assert "comments: 1" in result.output and "loops" in result.output


def test_a_dry_run_lists_the_same_and_writes_nothing(old, tmp_path):
    source, new = old(depth=16), tmp_path / "new.star"
    text, gateways = source.read_text(), [f"--gateway={address}" for address in TWO]
    dry = run(source, new, "--dry-run", *gateways)
    assert dry.exit_code == 0 and not new.exists() and source.read_text() == text
    wet = run(source, new, *gateways)
    listed = [[line for line in r.output.splitlines() if line.startswith("not carried")] for r in (dry, wet)]
    assert new.exists() and listed[0] == listed[1] != []


@pytest.mark.parametrize(
    "depth, hosts, addresses, says",
    [
        (16, 2, TWO, "limit_depth: 16"),
        (40, 5, TWO, "gateways: 5, with 2 gateways"),
        (40, 2, ("10.0.0.1:1", "10.0.0.2:1"), "gateway.listen: 127.0.0.1:7000 is not used"),
    ],
)
def test_what_does_not_work_as_it_stands_is_listed(old, depth, hosts, addresses, says):
    source = old(depth, hosts)
    assert any(says in line for line in left_behind(load(source), source.read_text(), addresses))


def test_what_works_is_not_listed(old):
    source = old()
    assert [line.split(":")[0] for line in left_behind(load(source), source.read_text(), TWO)] == [
        "comments",
        "loops, functions and names",
    ]


@pytest.mark.parametrize(
    "more, says",
    [
        (["--gateway=127.0.0.1:7000"], "length >= 2"),
        (["--gateway=here", "--gateway=127.0.0.1:1"], "matching regex"),
        (["--gateway=127.0.0.1:1", "--gateway=127.0.0.1:1"], "stands there twice"),
        ([f"--gateway={address}" for address in TWO] + ["--tells=all"], "legal: node or fleet"),
    ],
)
def test_bad_input_gets_one_error_and_nothing_is_written(old, tmp_path, more, says):
    result = run(old(), tmp_path / "new.star", *more)
    assert result.exit_code == 2 and says in result.output and not (tmp_path / "new.star").exists()


def test_a_file_that_is_there_is_left_alone_and_a_moved_file_is_not_moved_again(old, tmp_path):
    new, gateways = tmp_path / "new.star", [f"--gateway={address}" for address in TWO]
    assert run(old(), new, *gateways).exit_code == 0
    written = new.read_text()
    assert run(old(), new, *gateways).exit_code == 2 and new.read_text() == written
    with pytest.raises(ValueError, match="has them already"):
        moved(load(new), TWO, "node")
