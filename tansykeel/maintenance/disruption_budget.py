"""Disruption budget: how many gateways and stores may be out of service at once.

There are separate bounds for the fleet, a zone, a shard, a volume and spare power; all of them have to hold. Unplanned
outages count like planned ones: what died, drains by itself or is absent by a timetable. Without I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct


class Place(Struct, frozen=True, array_like=True):
    """A gateway or store that may go out of service. `power`: units a second that it can serve, 0 if not known."""

    name: str
    kind: str  # gateway or store
    zone: int = 0
    shard: int = -1
    volumes: tuple[str, ...] = ()  # the volumes that a gateway serves; empty: all volumes
    power: float = 0.0


class Bounds(Struct, frozen=True, array_like=True):
    """Limits of the budget, as fractions of the gateways or of the stores in a group.

    Where a fraction comes to less than one, one may be out, but never the last gateway of a volume or the last of
    several stores of a shard. `spare`: fraction of the remaining power that the load must leave free.
    """

    share: float = 0.2
    zone: float = 0.34
    shard: float = 0.5
    volume: float = 0.5
    spare: float = 0.1
    alone: bool = False  # whether a store may go out that is the only one to hold its shard


def max_unavailable(fraction: float, size: int) -> int:
    """Return how many of a group may be out of service at once: the fraction of its size rounded down, at least one."""
    return max(int(fraction * size + 1e-9), 1)  # 1e-9: floating-point errors must not round a whole number down


def violated_bounds(
    place: Place, places: Mapping[str, Place], out: Collection[str], bounds: Bounds, asked: float
) -> list[str]:
    """Return the bounds that a planned outage of `place` would violate now, with their figures; empty if it may go.

    `out`: names of what is out of service. `asked`: the load on all places of this kind, in units a second.
    """
    same_kind = [other for other in places.values() if other.kind == place.kind]
    violated = list(_check_bound(f"the {place.kind}s of the fleet", same_kind, out, bounds.share))
    violated += _check_bound(
        f"the {place.kind}s of zone {place.zone}",
        [other for other in same_kind if other.zone == place.zone],
        out,
        bounds.zone,
    )
    if place.kind == "store":
        holders = [other for other in same_kind if other.shard == place.shard]
        if len(holders) > 1 or not bounds.alone:
            violated += _check_bound(
                f"the stores of shard {place.shard}", holders, out, bounds.shard, last_may_go=False
            )
    for volume in place.volumes if place.kind == "gateway" else ():
        holders = [other for other in same_kind if volume in other.volumes or not other.volumes]
        violated += _check_bound(f"the gateways of volume {volume}", holders, out, bounds.volume, last_may_go=False)
    remaining = sum(other.power for other in same_kind if other.name not in out and other.name != place.name)
    if place.power and asked > (capacity := remaining * (1 - bounds.spare)):
        violated.append(f"spare power: {asked:.0f} units a second are asked, what is left should bear {capacity:.0f}")
    return violated


def _check_bound(
    what: str, places: Iterable[Place], out: Collection[str], fraction: float, last_may_go: bool = True
) -> Iterable[str]:
    """Yield a message if one more outage among `places` exceeds the fraction. `last_may_go`: whether all may be out."""
    group = list(places)
    gone, allowed = sum(other.name in out for other in group), max_unavailable(fraction, len(group))
    if not last_may_go:
        allowed = min(allowed, len(group) - 1)
    if gone + 1 > allowed:
        yield f"{what}: {gone} of {len(group)} are out, {allowed} at most"
