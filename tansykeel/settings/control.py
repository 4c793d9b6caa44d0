"""Makes the cores of the control plane from the settings: for control nodes, gateways, simulations and checkers alike.

Times of the cores are tenths of a millisecond; the settings have milliseconds.
"""

from __future__ import annotations

import math
from random import Random

from tansykeel.cluster.failure_detector import DetectorConfig
from tansykeel.cluster.member import Placement
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.control.actions import WHOLE_UNITS, SessionTerms
from tansykeel.control.node import ControlNode
from tansykeel.control.session_client import SessionClient
from tansykeel.errors import Problem
from tansykeel.settings.records import ControlNodeOf, ControlOf, Settings

TENTHS_IN_MS = 10
ANSWER_PART = 2  # an answer to a ping is due within this part of a ping period: longer than most stalls of a process
STEADY_PERIODS = 2  # ping periods for which a node has to be there before it is taken into a view
FORGIVEN_PERIODS = 60  # ping periods after which a failure no longer makes a node wait longer


class ControlSettingsError(Problem, ValueError):
    """The settings have no control plane, or none such node, region or gateway in it."""

    advice = "look at control(...), region(...) and control_node(...) in the settings; numbers begin with 0"


def control_of(settings: Settings) -> ControlOf:
    """Return what the settings say of the control plane. Raises ControlSettingsError where they have none."""
    if settings.control is None:
        raise ControlSettingsError("no control plane; legal: settings with control(cluster = ...)", "control")
    return settings.control


def control_node_record(settings: Settings, number: int) -> ControlNodeOf:
    """Return the control node of this number, in the order of the settings. Raises ControlSettingsError."""
    control_of(settings)
    if not 0 <= number < len(settings.control_nodes):
        most = len(settings.control_nodes) - 1
        raise ControlSettingsError(f"number {number} is none; legal: 0 to {most}", "control_node")
    return settings.control_nodes[number]


def session_terms_of(settings: Settings) -> SessionTerms:
    """Return what control nodes and gateways agree on beforehand. Raises ControlSettingsError."""
    control = control_of(settings)
    return SessionTerms(
        lease=int(control.lease_ms * TENTHS_IN_MS),
        heartbeat=int(control.heartbeat_ms * TENTHS_IN_MS),
        drift=control.drift,
        admissions_per_second=control.admissions_per_s,
    )


def lease_terms_of(settings: Settings) -> LeaseTerms:
    """Return the terms of the leases that a region's control nodes grant each other. Raises ControlSettingsError."""
    control = control_of(settings)
    return LeaseTerms(int(control.lease_ms * TENTHS_IN_MS), control.drift)


def pace_of(settings: Settings) -> DetectorConfig:
    """Return how the control nodes of a region look at each other. Raises ControlSettingsError."""
    period = int(control_of(settings).ping_ms * TENTHS_IN_MS)
    answer = max(period // ANSWER_PART, 1)
    return DetectorConfig(
        period=period, ack_timeout=answer, stable_after=STEADY_PERIODS * period, flap_window=FORGIVEN_PERIODS * period
    )


def region_units(settings: Settings, region: str) -> int:
    """Return the region's fixed part of every whole beside the safe part, in units. Raises ControlSettingsError."""
    for record in settings.regions:
        if record.name == region:
            return math.floor(record.share * WHOLE_UNITS)
    names = ", ".join(record.name for record in settings.regions)
    raise ControlSettingsError(f"{region!r} is none; legal: {names or 'none, for the settings have none'}", "region")


def gateways_of(settings: Settings, region: str) -> tuple[str, ...]:
    """Return the names of the gateways of a region: gateways are numbered region by region."""
    first = 0
    for record in settings.regions:
        if record.name == region:
            return tuple(settings.gateway.named(number) for number in range(first, first + record.gateways))
        first += record.gateways
    return ()


def places_of(settings: Settings, region: str) -> dict[str, Placement]:
    """Return the control nodes of a region with their zones, by name."""
    return {node.name: Placement(node.zone) for node in settings.nodes_of(region)}


def control_node_of(settings: Settings, number: int, incarnation: int, chance: Random, now: int) -> ControlNode:
    """Return the core of the control node of this number. Raises ControlSettingsError."""
    record = control_node_record(settings, number)
    return ControlNode(
        cluster=control_of(settings).cluster,
        region=record.region,
        region_units=region_units(settings, record.region),
        name=record.name,
        incarnation=incarnation,
        placements=places_of(settings, record.region),
        gateways=frozenset(gateways_of(settings, record.region)),
        detector_config=pace_of(settings),
        terms=lease_terms_of(settings),
        session_terms=session_terms_of(settings),
        rng=chance,
        now=now,
    )


def session_client_of(settings: Settings, gateway_number: int, chance: Random, now: int) -> SessionClient:
    """Return the session core of the gateway of this number. Raises ControlSettingsError and UnknownGateway."""
    control = control_of(settings)
    region = settings.region_of(gateway_number).name
    return SessionClient(
        cluster=control.cluster,
        region=region,
        gateway=settings.gateway.named(gateway_number),
        gateways=sum(record.gateways for record in settings.regions),
        nodes=tuple(node.name for node in settings.nodes_of(region)),
        terms=session_terms_of(settings),
        rng=chance,
        now=now,
    )
