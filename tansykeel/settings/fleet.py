"""Makes what a gateway's fleet is agreed by from the settings: for the gateway, the emulator and the audit alike."""

from __future__ import annotations

from random import Random

from tansykeel.fleet.keeper import Keeper, Place
from tansykeel.fleet.liveness import Pace
from tansykeel.fleet.views import Terms
from tansykeel.settings.records import PeersOf

MS = 10  # tenths


def terms_of(settings: PeersOf) -> Terms:
    return Terms(int(settings.lease_ms * MS), settings.drift)


def keeper_of(settings: PeersOf, names: list[str], me: int, life: int, chance: Random, now: int) -> Keeper:
    """The keeper that the settings ask for; times in tenths. Pings are answered within a third of their pace."""
    places = {name: Place(settings.zones[n] if settings.zones else 0, settings.weights[n] if settings.weights else 1)
              for n, name in enumerate(names)}
    ping = int(settings.ping_ms * MS)
    pace = Pace(period=ping, answer=max(ping * 3 // 10, 1), steady=2 * ping, forgives=60 * ping)
    return Keeper(names[me], places, life, pace, terms_of(settings), chance, now)
