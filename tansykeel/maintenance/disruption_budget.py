"""How many may be out at once, by several bounds, each of which holds: fleet, zone, shard, volume, spare power.

Without I/O. What died unasked, drains by itself or is away by a timetable takes room like what was given leave.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct


class Place(Struct, frozen=True, array_like=True):
    """A gateway or a store as leave is given for it. `power`: units a second that it can do, 0 where it is not told."""

    name: str
    kind: str  # gateway or store
    zone: int = 0
    shard: int = -1
    volumes: tuple[str, ...] = ()  # that have it among their gateways; none: all volumes have
    power: float = 0.0


class Bounds(Struct, frozen=True, array_like=True):
    """Parts of all of a kind; where that is under one, one may go, but not the last of a shard or of a volume.

    `spare`: part of the power that is left which what is asked must not take.
    """

    share: float = 0.2
    zone: float = 0.34
    shard: float = 0.5
    volume: float = 0.5
    spare: float = 0.1
    alone: bool = False  # whether a store that alone holds a shard may go


def max_unavailable(part: float, of: int) -> int:
    return max(int(part * of + 1e-9), 1)


def violated_bounds(
    place: Place, places: Mapping[str, Place], out: Collection[str], bounds: Bounds, asked: float
) -> list[str]:
    """What speaks against its going now, each bound with its figures; nothing: it may. `asked`: units a second."""
    alike = [other for other in places.values() if other.kind == place.kind]
    against = list(_bound(f"the {place.kind}s of the fleet", alike, out, bounds.share))
    against += _bound(
        f"the {place.kind}s of zone {place.zone}",
        [other for other in alike if other.zone == place.zone],
        out,
        bounds.zone,
    )
    if place.kind == "store":
        holders = [other for other in alike if other.shard == place.shard]
        if len(holders) > 1 or not bounds.alone:
            against += _bound(f"the stores of shard {place.shard}", holders, out, bounds.shard, bare=False)
    for volume in place.volumes if place.kind == "gateway" else ():
        holders = [other for other in alike if volume in other.volumes or not other.volumes]
        against += _bound(f"the gateways of volume {volume}", holders, out, bounds.volume, bare=False)
    left = sum(other.power for other in alike if other.name not in out and other.name != place.name)
    if place.power and asked > (bears := left * (1 - bounds.spare)):
        against.append(f"spare power: {asked:.0f} units a second are asked, what is left should bear {bears:.0f}")
    return against


def _bound(what: str, places: Iterable[Place], out: Collection[str], part: float, bare: bool = True) -> Iterable[str]:
    """`bare`: whether the last one may go."""
    among = list(places)
    gone, allowed = sum(other.name in out for other in among), max_unavailable(part, len(among))
    if not bare:
        allowed = min(allowed, len(among) - 1)
    if gone + 1 > allowed:
        yield f"{what}: {gone} of {len(among)} are out, {allowed} at most"
