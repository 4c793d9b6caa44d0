"""What a phase shows, from frames that a proxy would have seen and from samples that were made up."""

from __future__ import annotations

import msgspec
import pytest

from tansykeel.audit.records import FrameSeen
from tansykeel.protocol.frames import HEAD_BYTES, Heartbeat, LeaseRenewal, SessionAccepted, SessionRejected
from tansykeel.scale.frames_seen import observe
from tansykeel.scale.layout import layout_of
from tansykeel.scale.observations import HollowGatewaySample, HollowSample, Observations, PhaseMark, StatusSample
from tansykeel.scale.phase_report import phase_report
from tansykeel.scale.plan import Phase, RegionPlan, ScalePlan

SECOND = 1_000_000
NODE, OTHER = "control-east-0", "control-east-1"
REGION = RegionPlan(name="east", share=1.0, control_nodes=3, real=0, hollow=(2,))


def frame(at, gateway, record, node=NODE, passed=None):
    """A frame of a gateway to a node, or of the node where the record is one that nodes send."""
    to_node = isinstance(record, Heartbeat)
    ends = (gateway, 1, node, 1) if to_node else (node, 1, gateway, 1)
    direction = "to-node" if to_node else "to-gateway"
    fields = msgspec.msgpack.encode(record)
    return FrameSeen(at, at if passed is None else passed, *ends, direction, type(record).__name__, fields)


def renewed(at, gateway, lease, units=500, node=NODE, seconds=3.0):
    """A heartbeat, and 2 ms later the renewal that answers it."""
    heartbeat = Heartbeat(session=1, asked_at=at, lease=lease - 1)
    renewal = LeaseRenewal(session=1, asked_at=at, lease=lease, units=units, valid_for=int(seconds * SECOND))
    return [frame(at, gateway, heartbeat, node), frame(at + 2_000, gateway, renewal, node)]


def report(fault, frames, begin, undo, end, struck=(), statuses=(), hollow=()):
    phase = Phase(name="it", fault=fault, fault_s=1, gateways=1)
    plan = ScalePlan(name="test", regions=(REGION,), phases=(phase,))
    mark = PhaseMark(name="it", fault=fault, begin=begin, undo=undo, back=undo, end=end, struck=struck)
    observations = Observations(
        plan=plan,
        seed=1,
        played_on="2026-01-01",
        machine_memory=1,
        most_memory=0,
        most_processes=0,
        settled_s=0.0,
        phases=(mark,),
        usage=(),
        statuses=tuple(statuses),
        hollow=tuple(hollow),
        proportional={},
    )
    return phase_report(observations, layout_of(plan), observe(frames), 0)


def test_bytes_of_both_directions_are_counted_within_the_phase():
    frames = [*renewed(0, "gateway-0", 1), *renewed(SECOND, "gateway-0", 2), *renewed(5 * SECOND, "gateway-0", 3)]
    sizes = sum(HEAD_BYTES + len(seen.fields) for seen in frames[2:4])
    found = report("none", frames, SECOND, 3 * SECOND, 3 * SECOND)
    assert found.bytes_a_second.most == pytest.approx(sizes / 2, abs=0.5)
    assert found.bytes_a_second.p50 == 0 and found.frames_a_second.most == 1.0


def test_a_lease_counts_from_when_it_reached_the_gateway_to_when_it_was_asked_for_and_its_length():
    frames = [*renewed(0, "gateway-0", 1), *renewed(0, "gateway-1", 1, seconds=1.0)]
    found = report("none", frames, 0, 4 * SECOND, 4 * SECOND)
    assert found.without_lease_s.most == pytest.approx(3.002)
    assert found.without_lease_s.p50 == pytest.approx(1.002)


def test_a_lease_without_units_or_that_was_lost_is_none():
    heartbeat, renewal = renewed(0, "gateway-0", 1)
    lost = msgspec.structs.replace(renewal, passed=0)
    frames = [heartbeat, lost, *renewed(10, "gateway-1", 1, units=0)]
    assert report("none", frames, 0, SECOND, SECOND).without_lease_s.p50 == pytest.approx(1.0)


def test_a_lease_without_units_takes_the_place_of_its_own_nodes_alone():
    beside = renewed(SECOND, "gateway-0", 1, units=0, node=OTHER)
    assert report("none", [*renewed(0, "gateway-0", 1), *beside], 0, 2 * SECOND, 2 * SECOND).gateways_without_lease == 2
    same = renewed(SECOND, "gateway-0", 2, units=0)
    found = report("none", [*renewed(0, "gateway-0", 1), *same], 0, 2 * SECOND, 2 * SECOND)
    assert found.without_lease_s.p50 == pytest.approx(1.0)


def test_a_lease_of_less_than_half_an_even_part_is_counted_apart():
    half = 10**9 // 2 // 2
    frames = [*renewed(0, "gateway-0", 1, units=half), *renewed(0, "gateway-1", 1, units=half - 1)]
    found = report("none", frames, 2_000, SECOND, 1_002_000)
    assert (found.gateways_without_lease, found.under_half_s.p50, found.under_half_s.most) == (0, 0.0, 1.0)


def test_a_zone_that_was_killed_is_without_a_lease_only_once_it_is_back():
    frames = [
        *renewed(0, "gateway-0", 1, seconds=9.0),
        *renewed(5 * SECOND, "gateway-1", 1, seconds=4.0),
    ]
    found = report("zone_killed", frames, SECOND, 4 * SECOND, 8 * SECOND, struck=("gateway-1",))
    assert found.without_lease_s.most == pytest.approx(1.002) and found.gateways_without_lease == 1
    assert found.first_lease_s is not None and found.first_lease_s.most == pytest.approx(1.002)


def test_a_gateway_without_a_lease_to_the_end_waited_for_all_of_it():
    frames = renewed(0, "gateway-0", 1)
    found = report("nodes_killed", frames, 2 * SECOND, 4 * SECOND, 8 * SECOND)
    assert found.first_lease_s is not None and found.first_lease_s.most == 4.0
    assert found.units_restored_s is None


def test_leases_moved_when_the_region_counts_as_much_as_before():
    frames = [
        *renewed(0, "gateway-0", 1),
        *renewed(0, "gateway-1", 1, node=OTHER),
        *renewed(2 * SECOND, "gateway-1", 2, node=OTHER, seconds=9.0),
        *renewed(5 * SECOND, "gateway-0", 1, node=OTHER, seconds=9.0),
    ]
    found = report("leader_killed", sorted(frames, key=lambda seen: seen.at), 2 * SECOND, 8 * SECOND, 9 * SECOND)
    assert found.units_restored_s == pytest.approx(3.0, abs=0.1)
    assert found.sessions == {NODE: 0, OTHER: 2, "control-east-2": 0}


def test_another_leader_is_the_first_node_that_says_so_and_was_not_struck():
    def status(at, node, leads):
        numbers = dict(view=1, sessions=1, units_granted=1, budget=1, admitted=1, rejected=0)
        return StatusSample(at=at * SECOND, node=node, region="east", active=True, leads=leads, leader="", **numbers)

    statuses = [status(1, NODE, True), status(2, OTHER, False), status(3, OTHER, True), status(4, OTHER, True)]
    found = report("leader_killed", [], SECOND, 5 * SECOND, 6 * SECOND, struck=(NODE,), statuses=statuses)
    assert found.leader_change_s == 2.0


def test_admissions_are_counted_by_second_and_node_after_the_return():
    accepted = SessionAccepted(cluster="scale", node=NODE, session=1, heartbeat_every=1)
    rejected = SessionRejected(cluster="scale", node=NODE, reason=f"{NODE} is busy", retry_after=250_000)
    frames = [frame(at, "gateway-0", accepted) for at in (500_000, 1_100_000, 1_200_000, 1_900_000, 2_500_000)]
    frames.append(frame(2_600_000, "gateway-1", rejected))
    admissions = report("zone_killed", frames, 0, SECOND, 3 * SECOND, struck=("gateway-1",)).admissions
    assert (admissions.accepted, admissions.most_a_second, admissions.rejected) == (4, 3, {"the node is busy": 1})
    assert admissions.retry_after_s.most == 0.25


def test_hollow_gateways_own_counts_are_taken_between_the_phases_borders():
    def sample(border, seconds, stream, wire, without):
        gateways = (HollowGatewaySample("gateway-0", stream, wire, without),)
        return HollowSample(border=border, process="hollow-east-0", seconds=seconds, gateways=gateways)

    hollow = [sample(0, 10.0, 1_000, 2_000, 0.5), sample(1, 12.0, 1_500, 3_000, 0.75)]
    found = report("none", [], 0, SECOND, SECOND, hollow=hollow)
    assert (found.stream_bytes_a_second.p50, found.wire_bytes_a_second.p50) == (250, 500)
    assert found.without_lease_own_s.p50 == 0.25
