"""Clusters in simulated time, through deaths, returns, message loss and stalls: views, and parts by them."""

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
def test_the_parts_never_exceed_the_whole_and_most_of_it_is_used(trial):
    result = watched(trial, 1)
    assert result.most_of_whole <= 1
    assert result.mean_of_whole > 0.6 and result.views >= 2
    if trial.dead and not trial.back_s:
        assert 0 < result.without_median_s < 20


def test_a_cluster_that_lost_its_majority_uses_safe_parts_until_the_members_are_back():
    simulation = Watchers(Trial(5, seconds=40, dead=0), 1, DetectorConfig(), LeaseTerms(lease=4 * SECOND))
    for name in ("edge-0", "edge-1", "edge-2"):
        simulation.engine.at(simulation.engine.now + 15 * 10**6, simulation._die, name)
        simulation.engine.at(simulation.engine.now + 30 * 10**6, simulation._back, name)
    parts = {}
    for at in (14, 29, 59):
        simulation.engine.at(
            simulation.engine.now + at * 10**6,
            lambda at=at: parts.update(
                {
                    at: {
                        member.part(simulation.now())
                        for name, member in simulation.all.items()
                        if name not in simulation.died
                    }
                }
            ),
        )
    result = simulation.play()
    assert parts == {14: {Fraction(1, 5)}, 29: {SAFE_FRACTION / 5}, 59: {Fraction(1, 5)}} and result.most_of_whole <= 1


def test_a_seed_gives_the_same_run_in_every_process():
    """Guards against an order of events that depends on the process's hash seed."""
    program = (
        "from tansykeel.emulator.cluster_simulation import Trial, watched\n"
        "print(watched(Trial(7, seconds=12, loss=0.1, dead=2, back_s=3.0), 1))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", program],
            env=os.environ | {"PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(outputs) == 1 and "views=" in outputs.pop()


def test_parts_that_exceed_the_whole_are_detected(monkeypatch):
    """The members use their parts of a view at once, although leases on the previous one may still be held."""
    monkeypatch.setattr(
        ViewAgreement,
        "part",
        lambda agreement, now: (
            SAFE_FRACTION / len(agreement.names) + (agreement.view.part(agreement.me) if agreement.view else 0)
        ),
    )
    assert watched(Trial(10, seconds=40, dead=2, back_s=4.0), 1).most_of_whole > 1


def test_voters_are_kept_and_spread_over_the_zones():
    members = tuple(Member(f"g{n}", 1, n % 3) for n in range(30))
    first = choose_voters(members, 5)
    assert sorted(member.zone for member in first) in ([0, 0, 1, 1, 2], [0, 0, 1, 2, 2], [0, 1, 1, 2, 2])
    remaining = tuple(member for member in members if member != first[0])
    assert len(set(choose_voters(remaining, 5, first)) & set(first)) == 4
    assert choose_voters(members[:3], 5) == members[:3]


def test_voters_propose_in_turn_and_others_wait():
    placements = {name: Placement() for name in "abc"}
    cluster_members = {
        name: ClusterMember(name, placements, 1, DetectorConfig(stable_after=0), LeaseTerms(lease=300), Random(1), 0)
        for name in placements
    }
    members = tuple(cluster_member.me for cluster_member in cluster_members.values())
    for name, cluster_member in cluster_members.items():
        agreement = cluster_member.agreement
        agreement.view, agreement.active = View(1, members, members), True
        agreement.grants = dict.fromkeys(members, 10**9)
        cluster_member.failure_detector.handle_message(
            0, "b" if name != "b" else "a", Ping(1, (GossipItem("c", MemberState.DEAD, 1, 0),))
        )
    assert cluster_members["a"]._propose_change(0, 0) != [] and cluster_members["b"]._propose_change(0, 0) == []
    assert cluster_members["b"]._propose_change(299, 0) == [] and cluster_members["b"]._propose_change(300, 0) != []
    assert cluster_members["c"]._propose_change(300, 0) == []  # it ignores gossip of its own death
