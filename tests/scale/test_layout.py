"""Plans of scale tests, who is who in them, and the settings files of their processes."""

from __future__ import annotations

import pytest

from tansykeel.scale.layout import gateway_name, layout_of, zone_of
from tansykeel.scale.plan import FULL, PLANS, Phase, PlanError, RegionPlan, ScalePlan, plan_named
from tansykeel.scale.settings_files import gateway_settings, node_settings
from tansykeel.settings.build import facts_of, load, text_of

REGIONS = (
    RegionPlan(name="east", share=0.5, control_nodes=3, real=2, hollow=(4, 3)),
    RegionPlan(name="west", share=0.5, control_nodes=3, real=1, hollow=(2,)),
)
PLAN = ScalePlan(name="test", regions=REGIONS, phases=(Phase(name="quiet", fault="none", fault_s=1),))
LAYOUT = layout_of(PLAN)
TO_NODES = {node.name: f"127.0.0.1:{2000 + node.number}" for node in LAYOUT.nodes}


def test_the_full_plan_has_the_size_that_is_asked_for():
    assert (FULL.gateways, FULL.hollow, len(layout_of(FULL).nodes)) == (612, 600, 6)
    assert len(layout_of(FULL).hollow) <= 8 and len(layout_of(FULL).real) == 12


@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS)
def test_plans_fit_together(plan):
    assert plan_named(plan.name) is plan
    numbers = [place.number for place in layout_of(plan).real]
    numbers += [number for process in layout_of(plan).hollow for number in process.gateways.numbers]
    assert sorted(numbers) == list(range(plan.gateways))


def test_regions_of_gateways_are_those_of_the_settings():
    settings = gateway_settings(PLAN, LAYOUT, TO_NODES)
    regions = LAYOUT.region_of_gateways()
    assert {gateway_name(n): settings.region_of(n).name for n in range(PLAN.gateways)} == regions
    assert {settings.gateway.named(number) for number in range(PLAN.gateways)} == set(regions)


def test_a_zone_is_the_last_gateways_of_a_region_over_its_processes():
    struck = zone_of(LAYOUT, "east", 5)
    assert {process: list(gateways.numbers) for process, gateways in struck.items()} == {
        "hollow-east-1": [6, 7, 8],
        "hollow-east-0": [4, 5],
    }


@pytest.mark.parametrize(
    "phase, named",
    [
        (Phase(name="zone", fault="zone_killed", fault_s=1, gateways=8), "7 at most"),
        (Phase(name="zone", fault="zone_killed", fault_s=1), "1 at least"),
        (Phase(name="quiet", fault="none", fault_s=1), "each name once"),
    ],
)
def test_a_plan_that_does_not_fit_is_refused(phase, named):
    plan = ScalePlan(name="test", regions=REGIONS, phases=(*PLAN.phases, phase))
    with pytest.raises(PlanError, match=named):
        plan.check()


def test_a_cut_needs_two_regions():
    phases = (Phase(name="cut", fault="regions_cut", fault_s=1),)
    with pytest.raises(PlanError, match="two regions"):
        ScalePlan(name="test", regions=REGIONS[:1], phases=phases).check()


def test_an_unknown_plan_is_refused_with_those_there_are():
    with pytest.raises(PlanError, match="full, herd, small"):
        plan_named("vast")


def test_a_gateways_settings_file_has_the_proxys_addresses(tmp_path):
    path = tmp_path / "gateways.star"
    path.write_text(text_of(gateway_settings(PLAN, LAYOUT, TO_NODES)))
    settings = load(path)
    facts_of(settings, 0, PLAN.gateways)
    assert {node.name: node.address for node in settings.control_nodes} == TO_NODES
    assert settings.control and settings.control.lease_ms == PLAN.lease_ms


def test_a_nodes_settings_file_has_its_own_address_and_the_proxys_for_the_others(tmp_path):
    path = tmp_path / "node.star"
    node = LAYOUT.nodes[1]
    path.write_text(text_of(node_settings(PLAN, LAYOUT, node, "127.0.0.1:1001", TO_NODES)))
    addresses = {other.name: other.address for other in load(path).control_nodes}
    assert addresses[node.name] == "127.0.0.1:1001"
    assert {name: address for name, address in addresses.items() if name != node.name} == {
        other.name: TO_NODES[other.name] for other in LAYOUT.nodes if other != node
    }
