"""The control plane's terms and parts as the settings give them, and what is no control plane."""

from __future__ import annotations

import pytest

from tansykeel.control.actions import WHOLE_UNITS, SessionTerms
from tansykeel.settings.build import load, text_of
from tansykeel.settings.control import (
    ControlSettingsError,
    control_node_record,
    gateways_of,
    places_of,
    region_units,
    session_terms_of,
)
from tansykeel.settings.records import UnknownGateway

PLAIN = """
gateway("edge")
category("read", soft_limit_ms = 250, cut_off_ms = 1500)
plan("basic", rate = 10)
volume("v", plan = "basic")
store("s", address = "127.0.0.1:99", shard = 0)
"""
CONTROL = """
control(cluster = "farm", lease_ms = 900, heartbeat_ms = 300, drift = 0.05, admissions_per_s = 7)
region("north", share = 0.7, gateways = 2)
region("south", share = 0.3, gateways = 3)
for n in range(3):
    control_node("n%d" % n, region = "north", address = "127.0.0.1:%d" % (7100 + n), zone = n)
control_node("s0", region = "south", address = "127.0.0.1:7200")
"""


@pytest.fixture
def settings(tmp_path):
    (tmp_path / "s.star").write_text(PLAIN + CONTROL)
    return load(tmp_path / "s.star")


def test_terms_are_tenths_of_a_millisecond(settings):
    assert session_terms_of(settings) == SessionTerms(9_000, 3_000, 0.05, 7)


def test_the_regions_units_never_make_up_more_than_the_whole(settings):
    units = [region_units(settings, name) for name in ("north", "south")]
    assert units == [700_000_000, 300_000_000] and sum(units) == WHOLE_UNITS


def test_gateways_are_numbered_region_by_region(settings):
    assert gateways_of(settings, "north") == ("edge-0", "edge-1")
    assert gateways_of(settings, "south") == ("edge-2", "edge-3", "edge-4")
    assert settings.region_of(2).name == "south"


@pytest.mark.parametrize("number", [-1, 5])
def test_a_gateway_beyond_the_regions_is_refused_with_the_legal_numbers(settings, number):
    with pytest.raises(UnknownGateway, match=f"gateway number {number}: the regions have 5 gateways; legal: 0 to 4"):
        settings.region_of(number)


def test_a_region_knows_its_own_nodes_alone(settings):
    assert {name: place.zone for name, place in places_of(settings, "north").items()} == {"n0": 0, "n1": 1, "n2": 2}
    assert control_node_record(settings, 3).name == "s0"


@pytest.mark.parametrize("number", [-1, 4])
def test_a_number_of_no_control_node_names_the_legal_ones(settings, number):
    with pytest.raises(ControlSettingsError, match=f"number {number} is none; legal: 0 to 3"):
        control_node_record(settings, number)


def test_settings_without_a_control_plane_are_refused_with_what_to_write(tmp_path):
    (tmp_path / "s.star").write_text(PLAIN)
    with pytest.raises(ControlSettingsError, match="no control plane; legal: settings with control"):
        session_terms_of(load(tmp_path / "s.star"))


def test_a_region_that_is_none_names_those_there_are(settings):
    with pytest.raises(ControlSettingsError, match="'east' is none; legal: north, south"):
        region_units(settings, "east")


def test_the_control_plane_is_part_of_the_settings_text(settings, tmp_path):
    (tmp_path / "again.star").write_text(text_of(settings))
    assert load(tmp_path / "again.star") == settings
