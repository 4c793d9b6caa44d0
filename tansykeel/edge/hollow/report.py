"""What a process of hollow gateways spent, as a JSON report.

Bytes are those of the TCP streams as the kernel counts them, without TCP/IP headers; `bytes_with_headers` adds 40 bytes
for each segment, also for the empty ones that only acknowledge. All figures are totals since the process was ready: who
wants a rate takes two reports and divides by the difference of their `seconds`.
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
TENTHS_IN_SECOND = 10_000
KIB = 1024
MOST_SAMPLES = 3_600  # an hour of the series


class GatewayReport(Struct, frozen=True, kw_only=True):
    """What one gateway's control spent on the network, and how it was leased."""

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
    first_lease_s: float | None  # from its newest start; none: no lease since


class Sample(Struct, frozen=True, kw_only=True):
    """One second of the series; bytes and processor time are totals up to it."""

    seconds: float
    running: int
    sessions: int
    leased: int
    units: int  # that all of them counted
    bytes_received: int
    bytes_sent: int
    processor_s: float


class HollowReport(Struct, frozen=True, kw_only=True):
    """What the process spent since it was ready. Memory is that of now."""

    seconds: float
    gateways: int
    running: int
    sessions: int
    leased: int
    units: int  # that all of them count now
    user_s: float
    system_s: float
    resident_bytes: int
    proportional_bytes: int
    bytes_received: int
    bytes_sent: int
    bytes_with_headers: int
    note: str = "bytes of TCP streams without TCP/IP headers; bytes_with_headers: 40 bytes more a segment"


class FullReport(Struct, frozen=True, kw_only=True):
    """The report with each gateway and the series."""

    totals: HollowReport
    gateways: tuple[GatewayReport, ...]
    series: tuple[Sample, ...]


class Meter:
    """Measures a process of hollow gateways from its creation on."""

    def __init__(self, gateways: HollowGateways) -> None:
        self.gateways = gateways
        self.samples: deque[Sample] = deque(maxlen=MOST_SAMPLES)
        self._begun = time.monotonic()
        self._times = os.times()

    def sample(self) -> None:
        """Add one sample to the series."""
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
        """Return what was spent up to now."""
        now, times = clock(), os.times()
        traffic = sum((gateway.traffic for gateway in self.gateways), Traffic())
        resident, proportional = memory_bytes()
        return HollowReport(
            seconds=time.monotonic() - self._begun,
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
        """Return the report with each gateway and the series."""
        gateways = tuple(_gateway_report(gateway) for gateway in self.gateways)
        return FullReport(totals=self.totals(), gateways=gateways, series=tuple(self.samples))

    def write(self, path: Path) -> None:
        """Write the full report. Raises OSError."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self.full())) + b"\n")


def memory_bytes() -> tuple[int, int]:
    """Return this process's resident memory, and the same with shared pages divided among those that share them."""
    found = {}
    for line in Path("/proc/self/smaps_rollup").read_text().splitlines()[1:]:
        name, value = line.split()[:2]
        found[name] = int(value) * KIB
    return found["Rss:"], found["Pss:"]


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
        without_lease_s=lease_time.without_until(now) / TENTHS_IN_SECOND,
        longest_without_lease_s=lease_time.longest_until(now) / TENTHS_IN_SECOND,
        first_lease_s=None if first is None else first / TENTHS_IN_SECOND,
    )


def _with_headers(traffic: Traffic) -> int:
    return traffic.bytes_both_ways + HEADER_BYTES * traffic.segments_both_ways
