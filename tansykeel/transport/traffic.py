"""Bytes and segments of a TCP connection, as the kernel counts them (Linux 4.19 or newer: `TCP_INFO`)."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

TCP_INFO_BYTES = 216  # of `struct tcp_info` in linux/tcp.h, up to and with tcpi_bytes_retrans
RECEIVED_AND_SEGMENTS = struct.Struct("=QII")  # tcpi_bytes_received, tcpi_segs_out, tcpi_segs_in
RECEIVED_AT = 128
SENT_AND_REPEATED = struct.Struct("=QQ")  # tcpi_bytes_sent, tcpi_bytes_retrans
SENT_AT = 200


@dataclass(frozen=True, slots=True)
class Traffic:
    """What went over connections: bytes of the streams without TCP/IP headers, segments also where they are empty."""

    bytes_received: int = 0
    bytes_sent: int = 0
    segments_received: int = 0
    segments_sent: int = 0

    def __sub__(self, other: Traffic) -> Traffic:
        return Traffic(
            self.bytes_received - other.bytes_received,
            self.bytes_sent - other.bytes_sent,
            self.segments_received - other.segments_received,
            self.segments_sent - other.segments_sent,
        )

    def __add__(self, other: Traffic) -> Traffic:
        return Traffic(
            self.bytes_received + other.bytes_received,
            self.bytes_sent + other.bytes_sent,
            self.segments_received + other.segments_received,
            self.segments_sent + other.segments_sent,
        )

    @property
    def bytes_both_ways(self) -> int:
        """Bytes in and out together."""
        return self.bytes_received + self.bytes_sent

    @property
    def segments_both_ways(self) -> int:
        """Segments in and out together."""
        return self.segments_received + self.segments_sent


def parse_tcp_info(info: bytes) -> Traffic:
    """Return the traffic that a `struct tcp_info` tells of."""
    received, segments_sent, segments_received = RECEIVED_AND_SEGMENTS.unpack_from(info, RECEIVED_AT)
    sent, repeated = SENT_AND_REPEATED.unpack_from(info, SENT_AT)
    return Traffic(received, sent - repeated, segments_received, segments_sent)


def traffic_of(sock: socket.socket) -> Traffic:
    """Return what went over a connected socket so far. Raises OSError for one that is closed or no TCP socket."""
    return parse_tcp_info(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES))
