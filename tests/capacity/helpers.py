"""Slopes and targets for the tests of capacity planning."""

from tansykeel.capacity.fit import fit_of, runs_of
from tansykeel.capacity.records import SLOPE_FILE_FORMAT, Aspect, Role, SeriesSpec, Slope, SlopeFile

TARGET = """
title = "a small deployment"
[deployment]
gateways = 10
stores = 20
client_connections = 5_000
tasks_per_second = 2_000
regions = 2
zones = 5
zones_of_larger_region = 3
control_machines = 6
volumes = 100
task_bytes = 4096
[operations]
restarts_per_day = 8
failures_per_day = 1
configuration_changes_per_day = 10
primary_changes_per_day = 2
[[bounds]]
name = "memory"
role = "gateway-data-path"
quantity = "memory of a gateway"
unit = "bytes"
limit = 2000
source = "given"
[[bad_hours]]
name = "zone"
title = "a zone lost"
gateways_lost = 2
stores_lost = 4
source = "given"
"""
SIZES = (0, 100, 200, 400, 800)


def slope(values, sizes=SIZES, name="memory-connections", experiment="trial", **fields):
    """A slope of these values at these sizes, one repetition each."""
    given = dict(
        name=name,
        role=Role.GATEWAY_DATA,
        aspect=Aspect.MEMORY,
        quantity="memory",
        unit="bytes",
        grows_by="connections_per_gateway",
        mechanism="one process",
        figure="connections",
        figure_unit="bytes",
        bound="memory",
    )
    runs = runs_of(zip(sizes, values, strict=True))
    return Slope(
        experiment=experiment,
        measured="2026-12-02",
        series=SeriesSpec(**(given | fields)),
        fit=fit_of(runs, name),
        runs=runs,
    )


def straight(fixed, each, sizes=SIZES, **fields):
    """A slope through points of one line."""
    return slope([fixed + each * size for size in sizes], sizes, **fields)


def kept(*slopes):
    """A file of slopes."""
    return SlopeFile(format=SLOPE_FILE_FORMAT, slopes=slopes)
