"""Reads the settings file of a target: the deployment that a plan is made for, its bounds and its bad hours."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from tansykeel.capacity.errors import TargetError
from tansykeel.capacity.records import Name, Record, Role, Text

Count = Annotated[int, Meta(ge=1)]
Least0 = Annotated[float, Meta(ge=0)]
Above0 = Annotated[float, Meta(gt=0)]


class Deployment(Record):
    """The size: counts over all regions, rates over all gateways."""

    gateways: Count
    stores: Count
    client_connections: Count
    tasks_per_second: Above0
    regions: Count
    zones: Count
    zones_of_larger_region: Count
    control_machines: Count
    volumes: Count
    task_bytes: Least0


class Bound(Record):
    """A limit on a sum of figures; `source` says who set it, or that it is assumed."""

    name: Name
    role: Role
    quantity: Text
    unit: Text
    limit: Above0
    source: Text


class BadHour(Record):
    """Gateways and stores that are gone at once, or control nodes that all start again."""

    name: Name
    title: Text
    source: Text
    gateways_lost: Annotated[int, Meta(ge=0)] = 0
    stores_lost: Annotated[int, Meta(ge=0)] = 0
    control_nodes_restarted: Annotated[int, Meta(ge=0)] = 0


class Operations(Record):
    """What happens on the days of such a deployment."""

    restarts_per_day: Least0
    failures_per_day: Least0
    configuration_changes_per_day: Least0
    primary_changes_per_day: Least0


class Target(Record):
    """A deployment with its bounds and bad hours; `drivers` are further numbers that slopes may grow by."""

    title: Text
    deployment: Deployment
    operations: Operations
    bounds: Annotated[tuple[Bound, ...], Meta(min_length=1)]
    bad_hours: tuple[BadHour, ...] = ()
    drivers: dict[Name, float] = {}


def parsed(text: str, where: str) -> Target:
    """The target that a text describes. Raises TargetError for anything else."""
    try:
        target = msgspec.convert(tomllib.loads(text), Target)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise TargetError(str(error), where) from None
    names = [bound.name for bound in target.bounds]
    for name in names:
        if names.count(name) > 1:
            raise TargetError(f"bound {name!r} is there twice; legal: each name once", where)
    deployment = target.deployment
    if deployment.zones_of_larger_region > deployment.zones:
        raise TargetError(
            f"zones_of_larger_region {deployment.zones_of_larger_region}; legal: {deployment.zones} zones at most",
            where,
        )
    for hour in target.bad_hours:
        if hour.gateways_lost >= deployment.gateways or hour.stores_lost >= deployment.stores:
            raise TargetError(
                f"bad hour {hour.name!r} leaves no gateway or no store; legal: one of each at least", where
            )
    return target


def load(path: Path) -> Target:
    """The target of a file. Raises TargetError."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise TargetError(f"cannot be read: {error}", str(path)) from None
    return parsed(text, str(path))
