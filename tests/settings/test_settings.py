"""Settings: each fault names where, what and what would be legal; a good script gives the facts, rounded our way."""

from __future__ import annotations

import pytest

from tansykeel.interface import RepeatSafety
from tansykeel.settings.build import Script, facts_of, load, text_of
from tansykeel.settings.script import ScriptError, run_text

GOOD = """
gateway("edge")
category("read", soft_limit_ms=250.05, cut_off_ms=1500)
category("pay", soft_limit_ms=250, cut_off_ms=1500, repeat="stamped", window_ms=5000)
plan("basic", rate=10, limit=5, limit_depth=40)
for i in range(3):
    volume("v%d" % i, plan="basic")
listing(address="127.0.0.1:99", mode="ask")
rules(cold=cold(share=0.2, warm_s=5, multiple=2.5, span_s=1, always_safe=10), key_rest_ms=0.01,
      budget=budget(span_ms=1000, free=3, share=0.1))
"""


@pytest.fixture
def written(tmp_path):
    def write(text, name="s.star"):
        (tmp_path / name).write_text(text)
        return tmp_path / name

    return write


def test_facts_come_from_the_script_and_round_against_ourselves(written):
    facts = facts_of(load(written(GOOD)), 1, 3)
    assert (facts.gateway_index, facts.gateways, facts.listing.must_poll) == (1, 3, True)
    assert [c.soft_limit for c in facts.categories] == [2500, 2500]
    assert facts.categories[1].repeat is RepeatSafety.DEDUPLICATED and facts.key_rest == 1
    assert facts.slow_start.span == 10_000 and facts.retry_budget.free == 3


TWO = 'peers(addresses = ["127.0.0.1:7001", "127.0.0.1:7002"])'


def test_without_peers_gateways_send_each_other_nothing_and_with_them_they_may(written):
    assert not facts_of(load(written(GOOD)), 1, 3).allowed.peers
    assert facts_of(load(written(GOOD + TWO)), 1, 2).allowed.peers


@pytest.mark.parametrize("tells, elsewhere", [("node", True), ("fleet", False)])
def test_what_stores_tell_of_a_volumes_use_comes_from_the_script(written, tells, elsewhere):
    made = load(written(GOOD.replace("rules(", f'rules(tells="{tells}", ')))
    assert facts_of(made, 0, 1).reports_use_elsewhere is elsewhere


def test_peers_name_each_gateway_once(written):
    with pytest.raises(ScriptError, match="2 for 3 gateways; legal: one for each"):
        facts_of(load(written(GOOD + TWO)), 0, 3)
    with pytest.raises(ScriptError, match="an address stands there twice"):
        load(written(GOOD + TWO.replace("7002", "7001")))
    with pytest.raises(ScriptError, match="is not legal"):
        load(written(GOOD + 'peers(addresses = ["127.0.0.1:7001"])'))


def test_a_written_script_reads_back_as_the_same_record(written):
    made = load(written(GOOD))
    assert load(written(text_of(made), "again.star")) == made


@pytest.mark.parametrize(
    "old, new, says",
    [
        (
            "soft_limit_ms=250,",
            "soft_limit_ms=-1,",
            r"s.star:4: category\('pay'\).soft_limit_ms: -1 is not legal; .*> 0",
        ),
        ("rate=10", "rote=10", r"s.star:5: plan\('basic'\): no field 'rote'; legal: name, rate"),
        ("rate=10,", "", "s.star:5: plan.*'rate' is missing"),
        ('plan="basic")', 'plan="gold")', r"volume\('v0'\).plan: 'gold' is no plan; legal: basic"),
        ("limit_depth=40", "limit_depth=4", r"limit_depth: 4 is not legal; legal: 16"),
        ("share=0.2", "share=2", r"cold.share: 2 is not legal"),
        ('"stamped"', '"twice"', r"category\('pay'\).repeat: 'twice' is not legal"),
        ("window_ms=5000", "window_ms=0", "window_ms: 0 is not legal for a stamped"),
        ('gateway("edge")', "", "gateway is missing; legal: one call"),
        ('gateway("edge")', 'gateway("edge")\ngateway("edge")', "s.star:3: gateway: given twice"),
        ('gateway("edge")', 'gateway("edge", "two")', "2 unnamed values"),
        ('gateway("edge")', 'gateway("edge"', r"s.star:3: Parse error"),
        ("cut_off_ms=1500)", "cut_off_ms=1)", r"category\('read'\).cut_off_ms: 1 is not legal; legal: 250.05"),
        ('listing(address="127.0.0.1:99", mode="ask")', "", "stores: none and no listing"),
        ('"v%d" % i', '"v"', r"volume\('v'\): given twice"),
        ('gateway("edge")', 'gateway("edge", largest_body=99000000)', "largest_body: 99000000 is not legal"),
    ],
)
def test_each_fault_says_where_what_and_what_is_legal(written, old, new, says):
    assert old in GOOD
    with pytest.raises(ScriptError, match=says):
        load(written(GOOD.replace(old, new, 1)))


def test_load_takes_files_beside_the_script_only(written):
    written('plan("basic", rate=10, limit=5, limit_depth=40)\nx = 1\n', "plans.star")
    text = GOOD.replace('plan("basic", rate=10, limit=5, limit_depth=40)', "")
    assert load(written('load("plans.star", "x")\n' + text)).plans[0].name == "basic"
    for name, says in [("../plans.star", "without a path"), ("none.star", "No such file"), ("s.star", "loads itself")]:
        with pytest.raises(ScriptError, match=says):
            load(written(f'load("{name}", "x")\n'))


def test_a_script_without_end_is_stopped(written, monkeypatch):
    monkeypatch.setattr("tansykeel.settings.script.RUN_SECONDS", 0.2)
    with pytest.raises(ScriptError, match="ran for more than 0.2 s"):
        run_text("def f():\n    for i in range(1000000000):\n        pass\nf()\n", written("", "x.star"), {})
    with pytest.raises(ScriptError, match="stack"):
        run_text("def f():\n    f()\nf()\n", written("", "x.star"), Script().verbs())


@pytest.mark.parametrize("number, count", [(-1, 2), (2, 2)])
def test_a_gateway_number_outside_the_count_is_refused(written, number, count):
    with pytest.raises(ScriptError, match=f"number {number} of {count}: legal: 0 to 1"):
        facts_of(load(written(GOOD)), number, count)
