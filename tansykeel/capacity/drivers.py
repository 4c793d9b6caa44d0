"""The numbers that slopes grow by, worked out from a deployment.

A driver has a name as `connections_per_gateway`. Most follow from the deployment's size; a target file adds others
under `[drivers]`. In a bad hour the same numbers are worked out for those that are left.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from tansykeel.capacity.target import BadHour, Deployment, Target

Drivers = Mapping[str, float]
SECONDS_A_DAY = 86_400
QUEUE_KEPT_S = 600  # a volume's queue at a store is kept this long after its last task (FORGET of the scheduler)
STEADY = BadHour(name="steady", title="the quiet hour", source="the deployment as it is")


def volume_queues(stores: float, volumes: float, tasks_per_second: float) -> float:
    """How many pairs of a store and a volume a gateway sees within `QUEUE_KEPT_S`, drawn evenly: an upper estimate."""
    pairs = stores * volumes
    return pairs * -math.expm1(-tasks_per_second * QUEUE_KEPT_S / pairs)


def drivers_of(target: Target, hour: BadHour = STEADY) -> Drivers:
    """All drivers of a target, in a bad hour of those that are left."""
    size, day = target.deployment, target.operations
    gateways = size.gateways - hour.gateways_lost
    stores = size.stores - hour.stores_lost
    tasks = size.tasks_per_second / gateways
    connections = size.client_connections / gateways
    worked_out = {
        "gateways": float(gateways),
        "stores": float(stores),
        "stores_known": float(stores),
        "volumes": float(size.volumes),
        "connections_per_gateway": connections,
        "connections_per_store": float(gateways),
        "store_connections_per_gateway": float(stores),
        "store_connections_of_all": float(gateways * stores),
        "tasks_per_second_per_gateway": tasks,
        "tasks_per_second_per_store": size.tasks_per_second / stores,
        "tasks_per_second_per_client": size.tasks_per_second / size.client_connections,
        "volume_queues_per_gateway": volume_queues(stores, size.volumes, tasks),
        "task_bytes": size.task_bytes,
        "gateways_of_larger_region": math.ceil(gateways * size.zones_of_larger_region / size.zones),
        "gateways_per_control_node": gateways / size.control_machines,
        "control_nodes": float(size.control_machines),
        "control_nodes_per_region": size.control_machines / size.regions,
        "arriving_connections_per_gateway": _arriving(size, hour, gateways),
        "arriving_sessions_per_control_node": gateways / size.control_machines if hour.control_nodes_restarted else 0.0,
        "list_changes_at_once": float(max(hour.stores_lost, 1)),
        "list_changes_per_second": day.restarts_per_day / SECONDS_A_DAY,
        "configuration_changes_per_second": day.configuration_changes_per_day / SECONDS_A_DAY,
        "one": 1.0,
    }
    return worked_out | dict(target.drivers)


def _arriving(size: Deployment, hour: BadHour, left: int) -> float:
    """Client connections that each gateway that is left takes over from the lost ones."""
    return size.client_connections / size.gateways * hour.gateways_lost / left
