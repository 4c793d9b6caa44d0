"""Resource use of a process of hollow gateways, as a JSON report.

Bytes are those of the TCP streams as the kernel counts them, without TCP/IP headers; `bytes_with_headers` adds 40 bytes
for each segment, including segments without data that only acknowledge. Bytes and processor time are totals since the
process was ready; for a rate, take two reports and divide by the difference of their `seconds`.
"""

from __future__ import annotations

import os
import time
from collections import deque
from pathlib import Path

import msgspec
from msgspec import Struct

from tansykeel.edge.clock import clock
from tansykeel.edge.hollow.gateways import HollowGateway, HollowGateways
from tansykeel.transport.traffic import Traffic

HEADER_BYTES = 40  # of IPv4 and TCP in a segment without options
TICKS_PER_SECOND = 10_000  # a tick of the clock is a tenth of a millisecond
KIB = 1024
MAX_SAMPLES = 3_600  # an hour of the time series


class GatewayReport(Struct, frozen=True, kw_only=True):
    """Network traffic of one gateway's control session, and how long the gateway was without a lease."""

    name: str
    number: int
    starts: int
    running: bool
    session_open: bool
    bytes_received: int
    bytes_sent: int
    segments_received: int
    segments_sent: int
    bytes_with_headers: int
    without_lease_s: float
    longest_without_lease_s: float
    first_lease_s: float | None  # from its last start; None: no lease since


class Sample(Struct, frozen=True, kw_only=True):
    """One sample of the time series; bytes and processor time are totals up to it."""

    seconds: float
    running: int
    sessions: int
    leased: int
    units: int  # sum of the leases that the gateways used
    bytes_received: int
    bytes_sent: int
    processor_s: float


class HollowReport(Struct, frozen=True, kw_only=True):
    """Resource use of the process since it was ready; memory, sessions, leases and units are those of the moment."""

    seconds: float
    gateways: int
    running: int
    sessions: int
    leased: int
    units: int  # sum of the leases that the gateways use
    user_s: float
    system_s: float
    resident_bytes: int
    proportional_bytes: int
    bytes_received: int
    bytes_sent: int
    bytes_with_headers: int
    note: str = "bytes of TCP streams without TCP/IP headers; bytes_with_headers: 40 bytes more a segment"


class FullReport(Struct, frozen=True, kw_only=True):
    """The totals, the report of each gateway and the time series."""

    totals: HollowReport
    gateways: tuple[GatewayReport, ...]
    series: tuple[Sample, ...]


class Meter:
    """Measures the resource use of a process of hollow gateways from the creation of the meter on."""

    def __init__(self, gateways: HollowGateways) -> None:
        self.gateways = gateways
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self._started = time.monotonic()
        self._times = os.times()  # at the start

    def sample(self) -> None:
        """Add one sample to the time series."""
        totals = self.totals()
        self.samples.append(
            Sample(
                seconds=totals.seconds,
                running=totals.running,
                sessions=totals.sessions,
                leased=totals.leased,
                units=totals.units,
                bytes_received=totals.bytes_received,
                bytes_sent=totals.bytes_sent,
                processor_s=totals.user_s + totals.system_s,
            )
        )

    def totals(self) -> HollowReport:
        """Return the totals up to now."""
        now, times = clock(), os.times()
        traffic = sum((gateway.traffic for gateway in self.gateways), Traffic())
        resident, proportional = memory_bytes()
        return HollowReport(
            seconds=time.monotonic() - self._started,
            gateways=len(self.gateways.by_number),
            running=sum(gateway.running for gateway in self.gateways),
            sessions=sum(gateway.session_open for gateway in self.gateways),
            leased=sum(gateway.lease_time.leased(now) for gateway in self.gateways),
            units=sum(gateway.units(now) for gateway in self.gateways),
            user_s=times.user - self._times.user,
            system_s=times.system - self._times.system,
            resident_bytes=resident,
            proportional_bytes=proportional,
            bytes_received=traffic.bytes_received,
            bytes_sent=traffic.bytes_sent,
            bytes_with_headers=_with_headers(traffic),
        )

    def full(self) -> FullReport:
        """Return the totals, the report of each gateway and the time series."""
        gateways = tuple(_gateway_report(gateway) for gateway in self.gateways)
        return FullReport(totals=self.totals(), gateways=gateways, series=tuple(self.samples))

    def write(self, path: Path) -> None:
        """Write the full report. Raises OSError."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self.full())) + b"\n")


def memory_bytes() -> tuple[int, int]:
    """Return this process's resident set size, and its proportional set size, which divides shared pages."""
    sizes = {}
    for line in Path("/proc/self/smaps_rollup").read_text().splitlines()[1:]:
        name, value = line.split()[:2]
        sizes[name] = int(value) * KIB
    return sizes["Rss:"], sizes["Pss:"]


def _gateway_report(gateway: HollowGateway) -> GatewayReport:
    now, traffic, lease_time = clock(), gateway.traffic, gateway.lease_time
    first = lease_time.first_lease
    return GatewayReport(
        name=gateway.name,
        number=gateway.number,
        starts=gateway.starts,
        running=gateway.running,
        session_open=gateway.session_open,
        bytes_received=traffic.bytes_received,
        bytes_sent=traffic.bytes_sent,
        segments_received=traffic.segments_received,
        segments_sent=traffic.segments_sent,
        bytes_with_headers=_with_headers(traffic),
        without_lease_s=lease_time.without_until(now) / TICKS_PER_SECOND,
        longest_without_lease_s=lease_time.longest_until(now) / TICKS_PER_SECOND,
        first_lease_s=None if first is None else first / TICKS_PER_SECOND,
    )


def _with_headers(traffic: Traffic) -> int:
    return traffic.bytes_both_ways + HEADER_BYTES * traffic.segments_both_ways
