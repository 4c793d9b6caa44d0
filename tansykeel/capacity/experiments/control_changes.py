"""A control node that leads dies: how long until all of the region's part is leased again, on sockets."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator

from tansykeel.capacity.control_plane import (
    ControlPlane,
    HollowGateways,
    control_plane,
    hollow_gateways,
    wait_until,
)
from tansykeel.capacity.records import Aspect, Role, SeriesSpec
from tansykeel.capacity.registry import Sample, Scale, experiment

GATEWAYS = (60, 120, 180, 240, 372)
REPETITIONS = 2
SETTLE_S = 3.0
LOOK_PAUSE_S = 0.02  # the least time that is told apart

LEADER_DEATH = SeriesSpec(
    name="control-leader-death",
    role=Role.CONTROL_LEADER,
    aspect=Aspect.STATE,
    quantity="from the leader's death (SIGKILL) until each gateway is leased and all units of the region are",
    unit="s",
    grows_by="gateways_of_larger_region",
    mechanism="sessions with control nodes",
    figure="leader of control dies",
    figure_unit="s",
    bound="primary-change",
    how="3 control node processes before hollow gateways on loopback, leases of 3 s, pings of 300 ms",
)


@experiment("control-leader-death", LEADER_DEATH)
def leader_death(scale: Scale) -> Iterator[Sample]:
    """Kill the leader once all gateways are leased."""
    for _ in scale.repetitions(REPETITIONS):
        for size in scale.sizes(GATEWAYS, least=1):
            with control_plane(size) as plane, hollow_gateways(plane) as gateways:
                time.sleep(scale.seconds(SETTLE_S))
                yield Sample(LEADER_DEATH.name, size, seconds_of_change(plane, gateways))


def seconds_of_change(plane: ControlPlane, gateways: HollowGateways) -> float:
    """Kill the leader, wait until leases of it have ended and all units are leased again, and return how long it took.

    Sessions are open at other nodes long before: those have not got the units yet. Raises ExperimentError where it does
    not come to that, as where no gateway had a session at the leader.
    """
    os.kill(plane.nodes[plane.leader()].pid, signal.SIGKILL)
    died = time.monotonic()
    wait_until(lambda: not gateways.all_units_counted(), "no lease of the dead node ended", LOOK_PAUSE_S)
    wait_until(gateways.all_leased, "not all of the region's part was leased again", LOOK_PAUSE_S)
    return time.monotonic() - died
