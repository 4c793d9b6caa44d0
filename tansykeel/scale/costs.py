"""What control cost in processor time and memory: of gateways by slope and by comparison, of control nodes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import fmean, median

from msgspec import Struct

from tansykeel.scale.layout import Layout, NodePlace
from tansykeel.scale.observations import Observations, PhaseMark
from tansykeel.scale.statistics import Line, fit_line
from tansykeel.scale.usage import cores_used

MEBIBYTE = 1 << 20


class GatewayCosts(Struct, frozen=True, kw_only=True):
    """What control costs one gateway, in parts of a core and bytes.

    The slopes are over the number of hollow gateways a process. `real` and `plain` are real gateway processes without
    clients, with and without a control plane.
    """

    cores_line: Line | None
    memory_line: Line | None
    real_cores: float
    plain_cores: float
    busiest_real_cores: float
    real_memory: float
    plain_memory: float

    @property
    def real_control_cores(self) -> float:
        """Return what control adds to the busiest real gateway process, in parts of a core."""
        return max(self.busiest_real_cores - self.plain_cores, 0.0)

    @property
    def real_control_memory(self) -> float:
        """Return what control adds to a real gateway process, in bytes."""
        return max(self.real_memory - self.plain_memory, 0.0)


class NodeCosts(Struct, frozen=True, kw_only=True):
    """What control nodes and the proxy cost in a phase: cores on average, memory in MB."""

    leader_cores: float
    follower_cores: float
    busiest_cores: float
    leader_mb: float
    follower_mb: float
    proxy_cores: float


def gateway_costs(observations: Observations, layout: Layout, mark: PhaseMark) -> GatewayCosts:
    """Return what control cost gateways in a phase in which none of them was struck."""
    cores = cores_used(observations.usage, mark.begin, mark.end)
    memory = observations.proportional
    real = [place.name for place in layout.real]
    plain = [f"plain-{number}" for number in range(observations.plan.plain)]
    return GatewayCosts(
        cores_line=fit_line((p.gateways.count, cores[p.name]) for p in layout.hollow if p.name in cores),
        memory_line=fit_line((p.gateways.count, memory[p.name]) for p in layout.hollow if p.name in memory),
        real_cores=_median_of(cores, real),
        plain_cores=_median_of(cores, plain),
        busiest_real_cores=max((cores[name] for name in real if name in cores), default=0.0),
        real_memory=_median_of(memory, real),
        plain_memory=_median_of(memory, plain),
    )


def node_costs(observations: Observations, layout: Layout, mark: PhaseMark) -> NodeCosts:
    """Return what control nodes cost in a phase; a node counts as a leader if it led at all in it."""
    cores = cores_used(observations.usage, mark.begin, mark.end)
    leaders = leaders_in(observations, mark)
    led = [node for node in layout.nodes if node.name in leaders]
    followed = [node for node in layout.nodes if node.name not in leaders]
    memory = {name: size / MEBIBYTE for name, size in observations.proportional.items()}
    return NodeCosts(
        leader_cores=_mean_of(cores, led),
        follower_cores=_mean_of(cores, followed),
        busiest_cores=max((cores[node.name] for node in layout.nodes if node.name in cores), default=0.0),
        leader_mb=_mean_of(memory, led),
        follower_mb=_mean_of(memory, followed),
        proxy_cores=cores.get("proxy", 0.0),
    )


def leaders_in(observations: Observations, mark: PhaseMark) -> set[str]:
    """Return the nodes that said in a phase that they lead; for a phase without a look, as last seen before it."""
    within = {s.node for s in observations.statuses if mark.begin <= s.at <= mark.end and s.leads}
    if within:
        return within
    last: dict[str, bool] = {}
    for status in observations.statuses:
        if status.at < mark.begin:
            last[status.node] = status.leads
    return {node for node, leads in last.items() if leads}


def _median_of(values: Mapping[str, float], names: Iterable[str]) -> float:
    there = [values[name] for name in names if name in values]
    return float(median(there)) if there else 0.0


def _mean_of(values: Mapping[str, float], nodes: Iterable[NodePlace]) -> float:
    there = [values[node.name] for node in nodes if node.name in values]
    return float(fmean(there)) if there else 0.0
