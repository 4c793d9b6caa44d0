"""Fleets that watch, agree and divide, in simulated time: deaths, returns, loss and stalls."""

import os
import subprocess
import sys
from fractions import Fraction
from random import Random

import pytest

from tansykeel.cluster.failure_detector import SECOND, DetectorConfig, Ping
from tansykeel.cluster.gossip import GossipItem, MemberState
from tansykeel.cluster.member import ClusterMember, Placement
from tansykeel.cluster.membership import SAFE_FRACTION, Member, View, choose_voters
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.emulator.cluster_simulation import Trial, Watchers, watched


@pytest.mark.parametrize(
    "trial",
    [
        Trial(10, seconds=40),
        Trial(10, seconds=40, loss=0.05, back_s=4.0),
        Trial(12, seconds=40, stalled=0.25, dead=1),
        Trial(5, seconds=40, dead=1, back_s=0.3),
    ],
)
def test_parts_never_make_up_more_than_the_whole_and_are_nearly_all_used(trial):
    seen = watched(trial, 1)
    assert seen.most_of_whole <= 1
    assert seen.mean_of_whole > 0.6 and seen.views >= 2
    if trial.dead and not trial.back_s:
        assert 0 < seen.without_median_s < 20


def test_a_fleet_that_lost_most_at_once_keeps_to_its_safe_parts_until_they_are_back():
    world = Watchers(Trial(5, seconds=40, dead=0), 1, DetectorConfig(), LeaseTerms(lease=4 * SECOND))
    for name in ("edge-0", "edge-1", "edge-2"):
        world.engine.at(world.engine.now + 15 * 10**6, world._die, name)
        world.engine.at(world.engine.now + 30 * 10**6, world._back, name)
    parts = {}
    for at in (14, 29, 59):
        world.engine.at(
            world.engine.now + at * 10**6,
            lambda at=at: parts.update(
                {at: {one.part(world.now()) for name, one in world.all.items() if name not in world.died}}
            ),
        )
    seen = world.play()
    assert parts == {14: {Fraction(1, 5)}, 29: {SAFE_FRACTION / 5}, 59: {Fraction(1, 5)}} and seen.most_of_whole <= 1


def test_one_seed_plays_the_same_in_every_process():
    """Guards against an order that hangs on how a process hashes names."""
    program = (
        "from tansykeel.emulator.cluster_simulation import Trial, watched\n"
        "print(watched(Trial(7, seconds=12, loss=0.1, dead=2, back_s=3.0), 1))"
    )
    played = {
        subprocess.run(
            [sys.executable, "-c", program],
            env=os.environ | {"PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(played) == 1 and "views=" in played.pop()


def test_a_law_that_is_broken_is_seen(monkeypatch):
    """Gateways that count by a view as soon as they hear of it, whatever the leases on the one before."""
    monkeypatch.setattr(
        ViewAgreement,
        "part",
        lambda one, now: SAFE_FRACTION / len(one.names) + (one.view.part(one.me) if one.view else 0),
    )
    assert watched(Trial(10, seconds=40, dead=2, back_s=4.0), 1).most_of_whole > 1


def test_voters_stay_and_lie_over_the_zones():
    members = tuple(Member(f"g{n}", 1, n % 3) for n in range(30))
    first = choose_voters(members, 5)
    assert sorted(member.zone for member in first) in ([0, 0, 1, 1, 2], [0, 0, 1, 2, 2], [0, 1, 1, 2, 2])
    left = tuple(member for member in members if member != first[0])
    assert len(set(choose_voters(left, 5, first)) & set(first)) == 4
    assert choose_voters(members[:3], 5) == members[:3]


def test_only_voters_in_turn_propose_and_others_wait():
    names = {name: Placement() for name in "abc"}
    cluster_members = {
        name: ClusterMember(name, names, 1, DetectorConfig(stable_after=0), LeaseTerms(lease=300), Random(1), 0)
        for name in names
    }
    members = tuple(cluster_member.me for cluster_member in cluster_members.values())
    for name, cluster_member in cluster_members.items():
        one = cluster_member.agreement
        one.view, one.active = View(1, members, members), True
        one.grants = dict.fromkeys(members, 10**9)
        cluster_member.failure_detector.heard(
            0, "b" if name != "b" else "a", Ping(1, (GossipItem("c", MemberState.DEAD, 1, 0),))
        )
    assert cluster_members["a"]._change(0, 0) != [] and cluster_members["b"]._change(0, 0) == []
    assert cluster_members["b"]._change(299, 0) == [] and cluster_members["b"]._change(300, 0) != []
    assert cluster_members["c"]._change(300, 0) == []  # it believes nothing of its own death
