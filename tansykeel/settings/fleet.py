"""Makes what a gateway's fleet is agreed by from the settings: for the gateway, the emulator and the audit alike."""

from __future__ import annotations

from random import Random

from tansykeel.accord.comparing import Terms as Comparing
from tansykeel.accord.room import Bounds
from tansykeel.accord.steward import Pace as Leaving
from tansykeel.fleet.keeper import Keeper, Place
from tansykeel.fleet.ledger import Machine
from tansykeel.fleet.liveness import Pace
from tansykeel.fleet.views import Terms
from tansykeel.settings.records import AccordOf, PeersOf

MS = 10  # tenths


def terms_of(settings: PeersOf) -> Terms:
    return Terms(int(settings.lease_ms * MS), settings.drift)


def bounds_of(settings: AccordOf) -> Bounds:
    return Bounds(settings.share, settings.zone, settings.shard, settings.volume, settings.spare, settings.alone)


def pace_of(settings: AccordOf) -> Leaving:
    second = 1000 * MS
    return Leaving(int(settings.patience_ms * MS), int(settings.back_s * second), int(settings.settles_s * second))


def comparing_of(settings: AccordOf) -> Comparing:
    return Comparing(settings.allowed, settings.alpha, settings.harm)


def keeper_of(
    settings: PeersOf, names: list[str], me: int, life: int, chance: Random, now: int, machine: Machine | None = None
) -> Keeper:
    """The keeper that the settings ask for; times in tenths. Pings are answered within a third of their pace."""
    places = {
        name: Place(settings.zones[n] if settings.zones else 0, settings.weights[n] if settings.weights else 1)
        for n, name in enumerate(names)
    }
    ping = int(settings.ping_ms * MS)
    pace = Pace(period=ping, answer=max(ping * 3 // 10, 1), steady=2 * ping, forgives=60 * ping)
    return Keeper(names[me], places, life, pace, terms_of(settings), chance, now, machine)
