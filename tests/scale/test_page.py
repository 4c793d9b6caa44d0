"""Reports as files, as tables, and in their place on a page."""

from __future__ import annotations

import msgspec
import pytest

from tansykeel.scale.costs import GatewayCosts, NodeCosts
from tansykeel.scale.page import HEADING, PageError, put_into, section_of
from tansykeel.scale.phase_report import Admissions, PhaseReport
from tansykeel.scale.report import (
    MOST_BYTES_A_SECOND,
    MOST_CORES,
    Bound,
    ScaleReport,
    SummaryError,
    cost_bounds,
    leader_bounds,
    read_report,
    real_bounds,
    slope_bounds,
    traffic_bounds,
)
from tansykeel.scale.statistics import fit_line, spread_of

NOTHING = spread_of([])
PHASE = PhaseReport(
    name="killed",
    fault="leader_killed",
    seconds=20.0,
    struck=1,
    proxy_late=0,
    bytes_a_second=spread_of([100.0, 200.0]),
    frames_a_second=spread_of([2.0]),
    stream_bytes_a_second=NOTHING,
    wire_bytes_a_second=NOTHING,
    without_lease_s=spread_of([0.0, 1.25]),
    gateways_without_lease=1,
    under_half_s=spread_of([0.0, 2.5]),
    without_lease_own_s=NOTHING,
    leader_change_s=2.0,
    units_restored_s=5.0,
    admissions=Admissions(accepted=3, rejected={"busy": 2}, most_a_second=2, retry_after_s=NOTHING),
    sessions={"control-east-0": 2},
)
COSTS = GatewayCosts(
    cores_line=fit_line([(25, 0.05), (50, 0.075), (100, 0.125), (125, 0.16)]),
    memory_line=fit_line([(25, 3e6), (50, 4e6), (100, 6e6)]),
    real_cores=0.02,
    plain_cores=0.01,
    busiest_real_cores=0.03,
    real_memory=60e6,
    plain_memory=50e6,
)
NODES = NodeCosts(
    leader_cores=0.1, follower_cores=0.05, busiest_cores=0.12, leader_mb=40, follower_mb=39, proxy_cores=0.3
)


def replaced(record, **fields):
    return msgspec.structs.replace(record, **fields)


def report(**fields):
    whole = dict(
        plan="test",
        seed=1,
        played_on="2026-01-01",
        gateways=2,
        hollow=2,
        control_nodes=3,
        most_processes=9,
        most_memory_share=0.1,
        settled_s=1.0,
        records=5,
        complete=True,
        rules={"sums": 0},
        findings=(),
        phases=(PHASE,),
        gateway_costs=COSTS,
        cores_lines={"killed": COSTS.cores_line},
        node_costs={"killed": NODES},
        bounds=tuple(traffic_bounds((PHASE,))),
    )
    return ScaleReport(**(whole | fields))


def test_traffic_is_held_against_its_bound_with_headers_where_they_are_known():
    heavy = replaced(PHASE, wire_bytes_a_second=spread_of([2_000.0, MOST_BYTES_A_SECOND + 1]))
    assert [bound.kept for bound in traffic_bounds((PHASE, heavy))] == [True, True, True, False]


def test_leases_that_never_moved_again_count_with_the_whole_phase():
    lost = replaced(PHASE, leader_change_s=None, units_restored_s=None)
    assert [bound.measured for bound in leader_bounds((PHASE, lost))] == [2.0, 5.0, 20.0, 20.0]
    assert [bound.kept for bound in leader_bounds((lost,))] == [False, False]
    assert leader_bounds((replaced(PHASE, fault="none"),)) == []


def test_costs_of_a_gateway_are_the_slopes_and_what_control_adds_to_a_real_one():
    measured = [bound.measured for bound in cost_bounds(COSTS, "quiet")]
    assert measured == pytest.approx([40_000, 10e6])
    assert [bound.measured for bound in slope_bounds({"killed": COSTS.cores_line})] == pytest.approx([0.001])
    dear = replaced(COSTS, busiest_real_cores=0.011 + MOST_CORES)
    assert [(bound.phase, bound.kept) for bound in real_bounds({"quiet": COSTS, "killed": dear})] == [
        ("quiet", True),
        ("killed", False),
    ]


def test_a_play_is_kept_only_without_broken_rules_and_within_all_bounds():
    over = Bound(what="it", phase="killed", measured=2.0, bound=1.0, unit="s")
    assert report().kept
    assert not report(rules={"sums": 1}).kept
    assert not report(complete=False).kept
    assert not report(bounds=(over,)).kept


def test_a_report_is_read_again_as_it_was_written(tmp_path):
    path = tmp_path / "report.json"
    report().write(path)
    assert read_report(path) == report()
    path.write_text("{}")
    with pytest.raises(SummaryError, match=r"report\.json"):
        read_report(path)


def test_tables_show_the_worst_of_all_plays_and_mark_what_is_over():
    slow = replaced(PHASE, leader_change_s=13.0, units_restored_s=None)
    section = section_of([report(), report(seed=2, phases=(slow,), bounds=tuple(leader_bounds((slow,))))])
    assert "| killed | 13.0 | not by the end |" in section
    assert "| 2: busy |" in section
    assert "| another leader | killed | 13.0 s | 12.0 s | **over** |" in section
    assert "25, 50, 100, 125 a process" in section
    assert "| 0.100% of a core; -6.3%; 0.200% | 0.100% of a core; -6.3%; 0.200% |" in section


def test_reports_of_two_plans_are_not_shown_together():
    with pytest.raises(PageError, match="one plan"):
        section_of([report(), report(plan="other")])


def test_a_section_takes_the_place_of_the_one_before_and_leaves_the_rest():
    page = f"# Page\n\ntext\n\n{HEADING}full\n\nold\n\n## Next\n\nmore\n"
    assert put_into(page, f"{HEADING}full\n\nnew\n") == page.replace("old", "new")
    assert put_into(page, f"{HEADING}herd\n") == f"{page}\n{HEADING}herd\n"
