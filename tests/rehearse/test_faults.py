"""Faults between gateways, as the relay and the emulator both cause them."""

from random import Random

import pytest

from tansykeel.rehearse.day import VERBS, load_day
from tansykeel.rehearse.faults import SECOND, Faults, ways_of
from tansykeel.settings.script import ScriptError

ZONES = [0, 1, 0, 1]


def detail(verb, **given):
    return VERBS[verb][1] | given


def caused(verb, for_s=1.0, **given):
    faults, told = Faults(Random(1)), detail(verb, **given)
    faults.cause(0, verb, int(for_s * SECOND), told, ways_of(told, ZONES))
    return faults


@pytest.mark.parametrize(
    "given, found",
    [
        ({"pairs": [[0, 1]], "both": False}, {(0, 1)}),
        ({"pairs": [[0, 1]]}, {(0, 1), (1, 0)}),
        ({"zone": 0}, {(a, b) for a in (0, 2) for b in (1, 3)} | {(b, a) for a in (0, 2) for b in (1, 3)}),
        ({"to_zone": 1, "both": False}, {(0, 1), (0, 3), (2, 1), (2, 3)}),
        ({}, {(a, b) for a in range(4) for b in range(4) if a != b}),
    ],
)
def test_which_ways_a_trouble_strikes(given, found):
    assert ways_of(detail("link_cut", **given), ZONES) == found


def test_a_cut_keeps_words_back_or_loses_them_one_way_and_ends():
    kept = caused("link_cut", pairs=[[0, 1]], both=False)
    assert kept.passes(5, (0, 1), 10) == [SECOND] and kept.passes(6, (0, 1), 10) == [SECOND + 1]
    assert kept.passes(7, (1, 0), 10) == [7] and kept.passes(2 * SECOND, (0, 1), 10) == [2 * SECOND]
    lost = caused("link_cut", pairs=[[0, 1]], both=False, keeps=False)
    assert lost.passes(5, (0, 1), 10) == [] and lost.passes(SECOND, (0, 1), 10) == [SECOND]
    assert lost.passes(6, (0, 1), 10, whole=False) == [SECOND + 1]  # a connection's own bytes are never lost


def test_a_part_of_the_words_is_lost_told_twice_or_overtaken():
    for verb, sizes in (("link_drop", {0, 1}), ("link_repeat", {1, 2}), ("link_reorder", {1})):
        faults = caused(verb, share=0.5, for_s=100)
        out = [faults.passes(1000 * n, (0, 1), 10) for n in range(200)]
        assert {len(copies) for copies in out} == sizes, verb
        first = [copies[0] for copies in out if copies]
        assert (first == sorted(first)) is (verb != "link_reorder")
        assert all(len(faults.passes(0, (0, 1), 1, whole=False)) == 1 for _ in range(20))


def test_delays_and_trickles_keep_the_order():
    delayed = caused("link_delay", ms=100.0, spread=0.9)
    out = [delayed.passes(1000 * n, (0, 1), 10, takes=50)[0] for n in range(50)]
    assert out == sorted(out) and 10_000 < out[0] < 190_100
    slow = caused("link_trickle", bytes_s=1000.0)
    assert [slow.passes(0, (0, 1), 100)[0] for _ in range(3)] == [100_000, 200_000, 300_000]
    assert slow.passes(0, (1, 0), 100) == [100_000]


def test_a_half_open_link_loses_what_is_told_on_it():
    half = caused("link_half_open", pairs=[[0, 1]], both=False)
    assert half.passes(1, (0, 1), 10) == [] and half.passes(1, (1, 0), 10) == [1]


HEAD = (
    'day("d", seconds = 9)\nfleet(edges = 3, zones = 2, agree = {agree})\ncategory("r", soft_limit_ms = 9, '
    'cut_off_ms = 9)\nvolumes("b", count = 1)\ntraffic()\n'
)


@pytest.mark.parametrize(
    "line, says",
    [
        ("link_cut(at = 1, pairs = [[0, 3]])", "two of 0 to 2"),
        ("link_cut(at = 1, pairs = [[1, 1]])", "is no pair"),
        ("link_cut(at = 1, zone = 2)", "0 to 1"),
        ("link_cut(at = 1, zone = 1, to_zone = 0)", "one of them"),
        ("link_drop(at = 1, share = 1.5)", "share of 1 at most"),
        ("link_trickle(at = 1, bytes_s = 0)", "bytes_s above 0"),
        ("link_cut(at = 1, both = 3)", "link_cut.both"),
        ("link_cut(at = 1, edges = [0])", "no field 'edges'"),
    ],
)
def test_a_fault_that_cannot_be_is_refused(tmp_path, line, says):
    script = tmp_path / "d.star"
    script.write_text(HEAD.format(agree="True") + line + "\n")
    with pytest.raises(ScriptError, match=says):
        load_day(script)
    script.write_text(HEAD.format(agree="False") + "link_cut(at = 1)\n")
    with pytest.raises(ScriptError, match=r"fleet\(agree = True\)"):
        load_day(script)
