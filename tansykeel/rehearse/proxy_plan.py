"""What a proxy between gateways and control nodes is told beforehand: a file of JSON that a harness writes."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from tansykeel.errors import Problem
from tansykeel.rehearse.frame_recorder import MOST_BYTES


class ProxyPlanError(Problem, ValueError):
    """The proxy's plan can't be used."""

    advice = "give the file that the harness wrote: nodes with name, address, region and zone, and gateways"


class NodeTarget(Struct, frozen=True):
    """A control node, and the address at which it really listens."""

    name: str
    address: str
    region: str
    zone: int = 0


class GatewayPlace(Struct, frozen=True):
    """Where a gateway lies."""

    name: str
    region: str
    zone: int = 0


class ProxyPlan(Struct, frozen=True):
    """All that the proxy is told beforehand."""

    nodes: tuple[NodeTarget, ...]
    gateways: tuple[GatewayPlace, ...] = ()
    seed: int = 1
    most_record_bytes: int = MOST_BYTES


def read_plan(path: Path) -> ProxyPlan:
    """Read a plan from JSON. Raises ProxyPlanError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=ProxyPlan)
    except (OSError, msgspec.DecodeError) as error:
        raise ProxyPlanError(f"{error}", str(path)) from None
