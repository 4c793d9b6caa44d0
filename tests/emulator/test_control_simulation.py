"""A whole control plane in simulated time: what it keeps through faults, and that a fault of its own is found."""

from dataclasses import replace
from random import Random

import pytest
from typer.testing import CliRunner

from tansykeel.cli.main import app
from tansykeel.control.session_client import SessionState
from tansykeel.control.session_table import SessionTable
from tansykeel.emulator.control_network import Connection, ControlNetwork
from tansykeel.emulator.control_simulation import ControlSimulation
from tansykeel.emulator.control_trial import ControlTrial, FaultKind, drawn_faults, every_fault
from tansykeel.emulator.drifting_clock import DriftingClock
from tansykeel.emulator.engine import Engine

SMALL = ControlTrial(gateways=24, seconds=180, settle_s=10, restarts=20, stalls=4, loss=0.01, faults=every_fault(180))
HARSH = replace(SMALL, restarts=0, stalls=0, loss=0.03, lost_between_nodes=0.03)
QUIET = ControlTrial(gateways=20, seconds=20)


def test_no_rule_is_broken_through_every_fault():
    simulation = ControlSimulation(SMALL)
    seen = simulation.play()
    assert seen.findings == () and seen.over == 0
    assert seen.kept and seen.late_leader_changes == []
    assert [felt.alone for felt in seen.faults if felt.kind is FaultKind.LEADER_KILLED] == [True, True]
    assert [felt.kind for felt in seen.faults] == [fault.kind for fault in SMALL.faults]
    assert {felt.kind for felt in seen.faults} == set(FaultKind)
    assert seen.restarts == SMALL.restarts
    assert seen.mean_of_whole > 0.8 and seen.most_of_region > 0.99
    # The last fault is 27 s ago: every gateway has a session that did not restart just now.
    ran = [gateway for gateway in simulation.gateways.values() if gateway.up]
    settled = [gateway for gateway in ran if simulation.engine.now / 1_000 - gateway.incarnation > 10_000]
    assert len(settled) >= SMALL.gateways - 3
    assert [gateway.client.state for gateway in settled] == [SessionState.OPEN] * len(settled)
    assert len(settled) <= sum(sum(held) for held in seen.sessions.values()) <= SMALL.gateways


@pytest.mark.parametrize("seed", [19, 23])
def test_faults_within_faults_break_no_rule_and_leave_nothing_that_stays_broken(seed):
    faults = drawn_faults(120, Random(seed))
    simulation = ControlSimulation(replace(HARSH, seed=seed, seconds=150, faults=faults))
    seen = simulation.play()
    assert seen.findings == () and seen.over == 0 and len(seen.faults) > 5
    for region, units in simulation.counted.region_units.items():  # faults ended a minute ago
        assert simulation.counted.by_region[region] > 0.8 * units


def test_log_sealed_for_a_view_that_is_never_formed_gets_a_leader_again():
    simulation = ControlSimulation(replace(QUIET, seconds=60, settle_s=15))
    struck = simulation.nodes["control-0-0"]
    simulation.engine.after(20_000_000, lambda: struck.node.member.replicated_log.seal(simulation.engine.now // 1_000))
    seen = simulation.play()
    assert seen.findings == () and seen.over == 0
    assert not struck.node.member.replicated_log.sealed
    assert any(node.leads for node in simulation.nodes.values() if node.region == struck.region)
    assert simulation.counted.by_region[struck.region] > 0.8 * simulation.counted.region_units[struck.region]


def test_leases_end_while_no_majority_lives_and_come_again():
    fault = next(fault for fault in every_fault(180) if fault.kind is FaultKind.ALL_NODES_KILLED)
    trial = replace(QUIET, seconds=40, faults=(replace(fault, at_s=5.0, lasts_s=6.0),))
    (felt,) = ControlSimulation(trial).play().faults
    assert felt.most_without_lease == len(felt.gateways) == trial.gateways // 2
    assert 6.0 < felt.without_lease_s < 20.0


def test_a_control_node_that_grants_what_it_has_not_is_found(monkeypatch):
    """It takes nothing of what it granted for outstanding."""
    monkeypatch.setattr(SessionTable, "outstanding", lambda self, now: 0)
    seen = ControlSimulation(replace(SMALL, gateways=12)).play()
    assert not seen.kept and seen.over > 0 and seen.most_of_region > 1
    assert any(finding.startswith("sums") for finding in seen.findings)


def test_what_a_gateway_spends_does_not_grow_with_the_number_of_gateways():
    few = ControlSimulation(QUIET).play()
    many = ControlSimulation(replace(QUIET, gateways=100)).play()
    assert many.bytes_median == pytest.approx(few.bytes_median, rel=0.1)
    assert many.bytes_busiest < 1_000


def test_a_trial_is_the_same_each_time():
    first, second = (ControlSimulation(replace(SMALL, seconds=60, faults=every_fault(60))).play() for _ in range(2))
    assert (first.events, first.bytes_median, first.faults) == (second.events, second.bytes_median, second.faults)
    other = ControlSimulation(replace(SMALL, seed=2, seconds=60, faults=every_fault(60))).play()
    assert other.events != first.events


def test_a_connection_keeps_its_order_and_waits_for_the_end_of_a_cut():
    engine = Engine()
    network = ControlNetwork(engine, SMALL.chance("test"), way_ms=1.0, loss=0.3)
    connection = Connection(1, "edge-0", "control-0-0", (1, 1))
    arrivals = [network.arrival(connection, to_node=True) for _ in range(200)]
    assert arrivals == sorted(set(arrivals)) and arrivals[-1] - engine.now > 200_000
    network.cut(engine.now + 10**6, lambda one, other: "control-0-0" in (one, other))
    assert network.arrival(connection, to_node=False) > engine.now + 10**6
    between = [network.arrival_between_nodes("control-0-1", "control-0-2") for _ in range(200)]
    assert between == sorted(set(between)) and between[-1] - engine.now > 200_000
    assert network.arrival_between_nodes("control-0-0", "control-0-1") is None


def test_a_clock_shows_a_tick_at_its_moment_and_not_before():
    clock = DriftingClock(rate=0.99, start=12_345)
    for tick in range(12_346, 12_446):
        moment = clock.moment_of(tick)
        assert clock.at(moment) == tick and clock.at(moment - 2) < tick


def test_the_command_says_what_came_out_and_exits_1_where_a_rule_is_broken(monkeypatch):
    arguments = ["control-sim", "--gateways", "12", "--seconds", "20", "--settle", "10"]
    good = CliRunner().invoke(app, arguments)
    assert good.exit_code == 0 and "0 findings" in good.output
    monkeypatch.setattr(SessionTable, "outstanding", lambda self, now: 0)
    unknown = CliRunner().invoke(app, [*arguments, "--faults", "some"])
    assert unknown.exit_code == 2 and "legal: none, each, drawn" in unknown.output
    broken = CliRunner().invoke(app, [*arguments, "--restarts", "5"])
    assert broken.exit_code == 1 and "broken: sums" in broken.output
