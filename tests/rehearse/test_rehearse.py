"""Days on real sockets with real processes: a short bad day keeps the rules, a broken gateway is caught and named."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from tansykeel.rehearse.child_processes import RehearsalError
from tansykeel.rehearse.day import load_day
from tansykeel.rehearse.play import day_of, play

BROKEN = Path(__file__).parents[1] / "broken_edge.py"
HEAD = """
day("d", seconds = 4)
gateway("edge")
fleet(edges = 2, stores = 2, cores = 4, unit_ms = 4, cold_s = 20, cold_share = 0.02, fall_multiple = 1.0)
category("read", soft_limit_ms = 800, cut_off_ms = 2500)
category("post", soft_limit_ms = 800, cut_off_ms = 2500, repeat = "one-shot", ordered = True, writes = True)
rules(answer_grace_ms = 200, key_rest_ms = 200, budget = budget(span_ms = 1000, free = 1, share = 0.01))
clients(retries = 0)
traffic(part = 0.4, surges = 0, mix = {"read": 0.5, "post": 0.5}, run = 8)
"""
PLAIN = 'volumes("basic", count = 4)\n'


def played(tmp_path, text, *edge):
    script = tmp_path / "day.star"
    script.write_text(text)
    day = load_day(script)
    return (
        play(day, 5, tmp_path / "run", edge=(sys.executable, str(BROKEN), *edge))
        if edge
        else play(day, 5, tmp_path / "run")
    )


@pytest.mark.parametrize(
    "rule, fault, text",
    [
        ("one_answer", "answers_twice", HEAD + PLAIN),
        (
            "no_effect_twice",
            "sends_one_shots_again",
            HEAD + PLAIN + "fast_errors(at = 1, for_s = 3, stores = [0, 1], share = 0.5)\n",
        ),
        ("drains", "hears_of_no_drain", HEAD + PLAIN + "drain(at = 1, stores = [0])\n"),
        ("cold_stores", "knows_no_cold_store", HEAD + PLAIN + "restart(at = 1, stores = [0, 1], down_s = 0.2)\n"),
        ("order", "keeps_no_order", HEAD + PLAIN),
        ("budget", "has_no_budget", HEAD + PLAIN + "fast_errors(at = 1, for_s = 3, stores = [0, 1], share = 0.5)\n"),
        ("limits", "knows_no_limit", HEAD + 'volumes("basic", count = 4, limit = 0.3, limit_burst_s = 0.5)\n'),
    ],
)
def test_a_gateway_broken_on_purpose_is_caught_and_its_rule_named(tmp_path, rule, fault, text):
    verdict = played(tmp_path, text, fault)
    assert verdict.rules[rule] > 0 and not verdict.kept
    assert any(fault["rule"] == rule and fault["what"] for fault in verdict.breaks)
    for other in ("one_answer", "drains", "limits"):  # what it keeps is not taken for broken
        assert other == rule or not verdict.rules[other]


def test_a_short_bad_day_keeps_all_rules():
    verdict = play(day_of("badday", 13, {"part": 0.3}), 7, None)
    assert verdict.rules == dict.fromkeys(verdict.rules, 0), verdict.breaks
    assert len(verdict.rules) == 7 and sum(verdict.answers.values()) == verdict.tasks > 1000
    assert verdict.answers["delivered"] > 500 and verdict.answers["edge_killed"] > 0


def test_a_day_that_cannot_be_played_says_so_and_leaves_no_process(tmp_path):
    with pytest.raises(RehearsalError, match="(?s)edge-. ended before it was ready: .*no_such_fault"):
        played(tmp_path, HEAD + PLAIN, "no_such_fault")


FELLOWS = HEAD.replace("edges = 2", "edges = 5, zones = 2, agree = True, lease_ms = 500.0, ping_ms = 150.0")


@pytest.mark.parametrize("faults, broken", [((), False), (("counts_without_leases",), True)])
def test_five_gateways_with_faults_between_them_keep_their_parts_and_one_that_does_not_is_found(
    tmp_path, faults, broken
):
    """Cut off, a gateway that counts on its part for good is held against the grants that the relay saw."""
    text = (
        FELLOWS + PLAIN + "link_cut(at = 1, for_s = 2, pairs = [[0, 1], [0, 2], [0, 3], [0, 4]])\n"
        "kill_edge(at = 1.5, edges = [3], back_s = 0.5)\n"
    )
    verdict = played(tmp_path, text, *faults)
    assert bool(verdict.rules["parts"]) is broken, verdict.breaks
    if not broken:
        assert verdict.kept and 0.2 < verdict.counted_mean <= 1, verdict.breaks
