"""Drawn days: the same for a seed, within their bounds; twenty of them keep the rules; a bad one is cut down."""

from pathlib import Path

import msgspec
import pytest

from tansykeel.cluster.view_agreement import ViewAgreement
from tansykeel.emulator.gateway import ClusterMemberHost
from tansykeel.emulator.hunt import play_on
from tansykeel.emulator.world import World
from tansykeel.rehearse.chaos import cut_down, drawn, script_of
from tansykeel.rehearse.day import load_day
from tansykeel.rehearse.play import day_of
from tansykeel.settings.script import ScriptError


def test_a_seed_draws_one_day_that_a_script_can_say_again(tmp_path):
    base = day_of("chaos", None, {})
    assert drawn(base, 3) == drawn(base, 3) != drawn(base, 4)
    verbs = set()
    for seed in range(60):
        day = drawn(base, seed)
        verbs |= {trouble.verb for trouble in day.troubles}
        assert len(day.troubles) <= base.chaos.most
        assert all(base.chaos.after_s <= trouble.at <= base.chaos.until_s for trouble in day.troubles)
        gone = [n for t in day.troubles if t.verb in ("leave_edge", "late_edge") for n in t.detail["edges"]]
        assert len(gone) == len(set(gone)) <= base.fleet.edges - 2
    assert {"kill_edge", "stall", "link_cut", "link_half_open", "late_edge", "restart"} <= verbs
    day = drawn(base, 5)
    script = tmp_path / "again.star"
    (tmp_path / "_fellows.star").write_text((Path("examples/rehearsals") / "_fellows.star").read_text())
    script.write_text(
        'load("_fellows.star", "fellows")\nday("chaos", seconds = 14)\nfellows()\n' + "\n".join(script_of(day.troubles))
    )
    assert load_day(script).troubles == day.troubles
    assert drawn(load_day(script), 9).troubles == day.troubles  # nothing more is drawn


@pytest.mark.parametrize("seeds", [range(1, 11), range(11, 21)])
def test_twenty_drawn_days_keep_all_rules(seeds):
    base = day_of("chaos", None, {"part": 0.12})
    for seed in seeds:
        judged = play_on(drawn(base, seed), seed, "emulator")
        assert judged.broken == (), (seed, judged.what)
        assert judged.tasks > 500 and 0.1 < judged.counted_mean <= 1


def test_one_seed_has_one_outcome():
    base = day_of("chaos", 8, {"part": 0.1})
    worlds = [World(drawn(base, seed), seed) for seed in (2, 2, 3)]
    for world in worlds:
        world.play()
    digests = [world.digest() for world in worlds]
    assert digests[0] == digests[1] != digests[2]


def test_a_day_that_breaks_a_rule_is_cut_down_to_what_shows_it(monkeypatch):
    """Planted: a gateway goes on to count by a view that it follows, lease or none, and others take over its part."""
    monkeypatch.setattr(
        ViewAgreement, "lease_expires_at", lambda one: 10**15 if one.view and one.me in one.view.members else -1
    )
    base = day_of("chaos", None, {"part": 0.05})
    for seed in range(1, 30):
        day = drawn(base, seed)
        if "parts" in play_on(day, seed, "emulator").broken and len(day.troubles) > 3:
            break
    least = cut_down(day, lambda less: "parts" in play_on(less, seed, "emulator").broken, 30)
    assert "parts" in play_on(least, seed, "emulator").broken
    assert len(least.troubles) < len(day.troubles)


def test_cutting_down_stops_at_its_bound_and_keeps_what_is_needed():
    day = drawn(day_of("chaos", None, {}), 8)
    needed, played = day.troubles[0], []

    def fails(less):
        played.append(less)
        return any(t.verb == needed.verb and t.at == needed.at for t in less.troubles)

    assert [t.at for t in cut_down(day, fails, 40).troubles] == [needed.at]
    assert cut_down(day, fails, 0) == day
    played.clear()
    cut_down(day, fails, 3)
    assert len(played) == 3


@pytest.mark.parametrize("line", ["chaos(least = 4, most = 3)", "chaos(until_s = 30)", "chaos(most = 99)"])
def test_chaos_that_cannot_be_is_refused(tmp_path, line):
    script = tmp_path / "d.star"
    script.write_text(
        'day("d", seconds = 14)\nfleet(edges = 3, agree = True)\ncategory("r", soft_limit_ms = 9, '
        f'cut_off_ms = 9)\nvolumes("b", count = 1)\ntraffic()\n{line}\n'
    )
    with pytest.raises(ScriptError, match="chaos"):
        load_day(script)


def test_a_simulated_gateway_that_is_gone_has_no_fellow():
    world = World(msgspec.structs.replace(day_of("threegone", 6, {"part": 0.05})), 1)
    seen = []
    real = ClusterMemberHost.heard
    world.engine.at(world.engine.now + 3_500_000, lambda: seen.append([g.fellow is None for g in world.gateways]))
    world.play()
    assert ClusterMemberHost.heard is real and seen == [[True, True, True, False, False]]
