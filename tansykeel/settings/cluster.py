"""Makes what a gateway's fleet is agreed by from the settings: for the gateway, the emulator and the audit alike."""

from __future__ import annotations

from random import Random

from tansykeel.cluster.failure_detector import DetectorConfig
from tansykeel.cluster.member import ClusterMember, Placement
from tansykeel.cluster.replicated_log import StateMachine
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.maintenance.canary_analysis import Terms as Comparing
from tansykeel.maintenance.controller import Pace as Leaving
from tansykeel.maintenance.disruption_budget import Bounds
from tansykeel.settings.records import AccordOf, PeersOf

MS = 10  # tenths


def terms_of(settings: PeersOf) -> LeaseTerms:
    return LeaseTerms(int(settings.lease_ms * MS), settings.drift)


def bounds_of(settings: AccordOf) -> Bounds:
    return Bounds(settings.share, settings.zone, settings.shard, settings.volume, settings.spare, settings.alone)


def pace_of(settings: AccordOf) -> Leaving:
    second = 1000 * MS
    return Leaving(int(settings.patience_ms * MS), int(settings.back_s * second), int(settings.settles_s * second))


def comparing_of(settings: AccordOf) -> Comparing:
    return Comparing(settings.allowed, settings.alpha, settings.harm)


def cluster_member_of(
    settings: PeersOf,
    names: list[str],
    me: int,
    life: int,
    chance: Random,
    now: int,
    machine: StateMachine | None = None,
) -> ClusterMember:
    """The cluster member that the settings ask for, with times in tenths of a millisecond."""
    places = {
        name: Placement(settings.zones[n] if settings.zones else 0, settings.weights[n] if settings.weights else 1)
        for n, name in enumerate(names)
    }
    ping = int(settings.ping_ms * MS)
    pace = DetectorConfig(period=ping, ack_timeout=max(ping * 3 // 10, 1), stable_after=2 * ping, flap_window=60 * ping)
    return ClusterMember(names[me], places, life, pace, terms_of(settings), chance, now, machine)
