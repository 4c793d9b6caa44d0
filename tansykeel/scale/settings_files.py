"""The settings files of a scale test's processes: each reaches the others through the fault proxy alone."""

from __future__ import annotations

from collections.abc import Mapping

from tansykeel.scale.layout import GATEWAY_NAME, Layout, NodePlace
from tansykeel.scale.plan import ScalePlan
from tansykeel.settings.records import (
    CategoryOf,
    ControlNodeOf,
    ControlOf,
    Gateway,
    PlanOf,
    RegionOf,
    Settings,
    StoreOf,
    VolumeOf,
)

CLUSTER = "scale"
NO_STORE = "127.0.0.1:9"  # no task comes, so that no gateway connects to its store


def gateway_settings(plan: ScalePlan, layout: Layout, proxy_addresses: Mapping[str, str]) -> Settings:
    """Return the settings of all gateways. `proxy_addresses`: by node, where the proxy takes connections to it."""
    return _settings(plan, layout, proxy_addresses)


def node_settings(
    plan: ScalePlan,
    layout: Layout,
    node: NodePlace,
    own_address: str,
    proxy_addresses: Mapping[str, str],
) -> Settings:
    """Return the settings of one control node: its own address, and the proxy's for each other node."""
    return _settings(plan, layout, {**proxy_addresses, node.name: own_address})


def plain_settings() -> Settings:
    """Return the settings of a gateway without a control plane, otherwise like those with one."""
    return Settings(
        gateway=Gateway(name=GATEWAY_NAME),
        categories=(CategoryOf(name="read", soft_limit_ms=300, cut_off_ms=2_000),),
        plans=(PlanOf(name="basic", rate=50),),
        volumes=(VolumeOf(name="documents", plan="basic"),),
        stores=(StoreOf(name="store-0", address=NO_STORE, shard=0),),
    )


def _settings(plan: ScalePlan, layout: Layout, addresses: Mapping[str, str]) -> Settings:
    plain = plain_settings()
    return Settings(
        gateway=plain.gateway,
        categories=plain.categories,
        plans=plain.plans,
        volumes=plain.volumes,
        stores=plain.stores,
        control=ControlOf(
            cluster=CLUSTER,
            lease_ms=plan.lease_ms,
            heartbeat_ms=plan.heartbeat_ms,
            ping_ms=plan.ping_ms,
            admissions_per_s=plan.admissions_per_s,
        ),
        regions=tuple(
            RegionOf(name=region.name, share=region.share, gateways=region.gateways) for region in plan.regions
        ),
        control_nodes=tuple(
            ControlNodeOf(name=node.name, region=node.region, address=addresses[node.name]) for node in layout.nodes
        ),
    )
