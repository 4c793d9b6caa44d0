"""What one phase of a play showed, worked out from the proxy's record and what the play sampled."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from msgspec import Struct

from tansykeel.control.actions import WHOLE_UNITS
from tansykeel.scale.frames_seen import LeaseSpan, Observed
from tansykeel.scale.layout import Layout
from tansykeel.scale.observations import Observations, PhaseMark
from tansykeel.scale.statistics import Interval, Spread, quantile, spread_of, uncovered
from tansykeel.scale.units_series import units_series

# Of the units that a region's gateways counted before; over it leases have moved. Below that it is gateways that move
# back to their first node: what one of them frees is granted to another with the next heartbeat.
RESTORED_SHARE = 0.95
BEFORE = 2_000_000  # microseconds before a fault in which that is measured
ZONE_KILLED, NODES_KILLED, LEADER_KILLED = "zone_killed", "nodes_killed", "leader_killed"


class Admissions(Struct, frozen=True, kw_only=True):
    """Sessions that nodes accepted and rejected, from when the fault was undone on (from its begin without an end)."""

    accepted: int
    rejected: dict[str, int]  # by the reason
    most_a_second: int  # that one node accepted within one second
    retry_after_s: Spread


class PhaseReport(Struct, frozen=True, kw_only=True):
    """One phase. Bytes are of frames, without TCP/IP headers but where a field says so; rates are a second."""

    name: str
    fault: str
    seconds: float
    struck: int
    proxy_late: int  # times that the proxy let frames wait for more than 50 ms
    bytes_a_second: Spread  # in and out of a gateway, by the proxy's record
    frames_a_second: Spread
    stream_bytes_a_second: Spread  # the same by the hollow gateways' own count
    wire_bytes_a_second: Spread  # with TCP/IP headers, by the same
    without_lease_s: Spread  # of all gateways while they ran
    gateways_without_lease: int
    under_half_s: Spread  # of all gateways while they ran: with a lease of less than half an even part, or none
    without_lease_own_s: Spread  # by the hollow gateways' own account
    leader_change_s: float | None = None  # from the fault until another node led; none: no leader was struck
    units_restored_s: float | None = None  # until the region's gateways counted as much as before; none: not by the end
    first_lease_s: Spread | None = None  # from the return of what was struck until each gateway's first lease
    admissions: Admissions
    sessions: dict[str, int]  # by node, at the phase's end


def phase_report(observations: Observations, layout: Layout, observed: Observed, border: int) -> PhaseReport:
    """Return what the phase of this index showed."""
    mark = observations.phases[border]
    bounds = (mark.begin, mark.end)
    regions = layout.region_of_gateways()
    bytes_by_gateway, frames_by_gateway = _traffic(observed, regions, bounds)
    seconds = (mark.end - mark.begin) / 1e6
    without = _without_units(observed, dict.fromkeys(regions, 1), mark)
    halves = {region.name: region.share * WHOLE_UNITS / region.gateways / 2 for region in observations.plan.regions}
    under_half = _without_units(observed, {gateway: halves[region] for gateway, region in regions.items()}, mark)
    stream, wire, own_without = _hollow_rates(observations, border)
    return PhaseReport(
        name=mark.name,
        fault=mark.fault,
        seconds=round(seconds, 1),
        struck=len(mark.struck),
        proxy_late=sum(mark.begin <= moment < mark.end for moment in observed.late),
        bytes_a_second=spread_of((size / seconds for size in bytes_by_gateway.values()), 0),
        frames_a_second=spread_of((count / seconds for count in frames_by_gateway.values()), 2),
        stream_bytes_a_second=spread_of(stream, 0),
        wire_bytes_a_second=spread_of(wire, 0),
        without_lease_s=spread_of(without.values()),
        gateways_without_lease=sum(value > 0 for value in without.values()),
        under_half_s=spread_of(under_half.values()),
        without_lease_own_s=spread_of(own_without),
        leader_change_s=leader_change(observations, mark),
        units_restored_s=units_restored(observed, regions, mark, observations.plan.regions[0].name),
        first_lease_s=first_leases(observed, regions, mark),
        admissions=admissions_of(observed, mark),
        sessions=sessions_at(observed, layout, mark.end),
    )


def _traffic(observed: Observed, gateways: Iterable[str], bounds: Interval) -> tuple[dict[str, int], dict[str, int]]:
    """Return bytes and frames of each gateway between two moments."""
    sizes = dict.fromkeys(gateways, 0)
    counts = dict.fromkeys(sizes, 0)
    for frame in observed.frames:
        if bounds[0] <= frame.at < bounds[1] and frame.gateway in sizes:
            sizes[frame.gateway] += frame.size
            counts[frame.gateway] += 1
    return sizes, counts


def _without_units(observed: Observed, least: Mapping[str, float], mark: PhaseMark) -> dict[str, float]:
    """Return the seconds that each gateway ran without a lease of its least units or more."""
    killed = set(mark.struck) if mark.fault == ZONE_KILLED else set()
    without = {}
    for gateway, units in least.items():
        begin = mark.undo if gateway in killed else mark.begin
        covered = [(span.begin, span.end) for span in observed.leases.get(gateway, ()) if span.units >= units]
        without[gateway] = uncovered([(begin, mark.end)], covered) / 1e6
    return without


def _hollow_rates(observations: Observations, border: int) -> tuple[list[float], list[float], list[float]]:
    """Return by hollow gateway its bytes a second without and with headers, and its seconds without a lease."""
    before = {sample.process: sample for sample in observations.hollow if sample.border == border}
    after = {sample.process: sample for sample in observations.hollow if sample.border == border + 1}
    stream, wire, without = [], [], []
    for process in before.keys() & after.keys():
        seconds = after[process].seconds - before[process].seconds
        for old, new in zip(before[process].gateways, after[process].gateways, strict=True):
            stream.append((new.stream_bytes - old.stream_bytes) / seconds)
            wire.append((new.bytes_with_headers - old.bytes_with_headers) / seconds)
            without.append(new.without_lease_s - old.without_lease_s)
    return stream, wire, without


def leader_change(observations: Observations, mark: PhaseMark) -> float | None:
    """Return the seconds from a leader's death until another node of its region said that it leads, None else."""
    if mark.fault != LEADER_KILLED:
        return None
    region = observations.plan.regions[0].name
    for status in sorted(observations.statuses, key=lambda status: status.at):
        led = status.leads and status.region == region and status.node not in mark.struck
        if led and mark.begin <= status.at <= mark.end:
            return round((status.at - mark.begin) / 1e6, 2)
    return None


def units_restored(observed: Observed, regions: dict[str, str], mark: PhaseMark, region: str) -> float | None:
    """Return the seconds from the fault until the region's gateways count as many units as before, and go on to.

    Watched until the fault is undone, or to the phase's end where gateways were struck: 0.0 where they never counted
    less, None where they did to the end.
    """
    end = mark.end if mark.fault in (ZONE_KILLED, NODES_KILLED) else mark.undo
    leases = {gateway: spans for gateway, spans in observed.leases.items() if regions.get(gateway) == region}
    moments, sums = units_series(leases, (mark.begin - BEFORE, end))
    before = [units for at, units in zip(moments, sums, strict=True) if at < mark.begin]
    if not before:
        return None
    least = RESTORED_SHARE * quantile(sorted(before), 0.5)
    under = [at for at, units in zip(moments, sums, strict=True) if at >= mark.begin and units < least]
    if not under:
        return 0.0
    return None if under[-1] == moments[-1] else round((under[-1] - mark.begin) / 1e6, 2)


def first_leases(observed: Observed, gateways: Iterable[str], mark: PhaseMark) -> Spread | None:
    """Return how long gateways waited for their first lease after the return of what was struck.

    After a zone's return that is the zone's gateways, after the control nodes' all. None for other faults. A gateway
    without a lease by the phase's end counts with the whole time.
    """
    if mark.fault not in (ZONE_KILLED, NODES_KILLED):
        return None
    waits = []
    for gateway in mark.struck if mark.fault == ZONE_KILLED else gateways:
        spans = [span for span in observed.leases.get(gateway, ()) if span.units and span.begin >= mark.undo]
        waits.append(((spans[0].begin if spans else mark.end) - mark.undo) / 1e6)
    return spread_of(waits)


def admissions_of(observed: Observed, mark: PhaseMark) -> Admissions:
    """Return what nodes accepted and rejected once the fault was undone, or since its begin."""
    begin = mark.undo if mark.fault in (ZONE_KILLED, NODES_KILLED) else mark.begin
    here = [admission for admission in observed.admissions if begin <= admission.at < mark.end]
    by_second = Counter((a.node, (a.at - begin) // 1_000_000) for a in here if a.accepted)
    rejected = [admission for admission in here if not admission.accepted]
    return Admissions(
        accepted=sum(admission.accepted for admission in here),
        rejected=dict(Counter(admission.reason for admission in rejected)),
        most_a_second=max(by_second.values(), default=0),
        retry_after_s=spread_of(admission.retry_after / 1e6 for admission in rejected),
    )


def sessions_at(observed: Observed, layout: Layout, moment: int) -> dict[str, int]:
    """Return how many gateways each control node had granted their lease at a moment."""
    counts: dict[str, int] = defaultdict(int, {node.name: 0 for node in layout.nodes})
    for spans in observed.leases.values():
        span = _span_at(spans, moment)
        if span is not None:
            counts[span.node] += 1
    return dict(counts)


def _span_at(spans: list[LeaseSpan], moment: int) -> LeaseSpan | None:
    for span in reversed(spans):
        if span.begin <= moment < span.end and span.units:
            return span
    return None
