"""Traffic of another process's TCP connections, by the kernel's own count (Linux: `sock_diag` over netlink).

A connection that ended takes its counts along, so only a process whose connections stay is measured well.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator

from tansykeel.capacity.errors import ExperimentError
from tansykeel.transport.traffic import Traffic, parse_tcp_info

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_FLAGS = 0x301  # NLM_F_REQUEST | NLM_F_DUMP
MESSAGE_ERROR, MESSAGE_DONE = 2, 3  # NLMSG_ERROR, NLMSG_DONE
INET_DIAG_INFO = 2  # the attribute that carries `struct tcp_info`
ESTABLISHED = 1 << 1  # of the states to tell of
RECEIVE_BYTES = 1 << 16
HEADER = struct.Struct("=IHHII")  # struct nlmsghdr: length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBxI48s")  # struct inet_diag_req_v2: family, protocol, extensions, states, any socket
ATTRIBUTE = struct.Struct("=HH")  # struct rtattr: length, type
INODE = struct.Struct("=I")
INODE_AT = 68  # of idiag_inode in struct inet_diag_msg
DIAG_MESSAGE_BYTES = 72


def traffic_of_process(pid: int) -> Traffic:
    """Return what went over the established IPv4 connections of a process so far. Raises ExperimentError."""
    sockets = set(_socket_inodes(pid))
    return sum((traffic for inode, traffic in _established() if inode in sockets), Traffic())


def _socket_inodes(pid: int) -> Iterator[int]:
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except FileNotFoundError:
            continue  # closed since the names were read
        if target.startswith("socket:["):
            yield int(target.removeprefix("socket:[").removesuffix("]"))


def _established() -> Iterator[tuple[int, Traffic]]:
    """Yield the inode and the traffic of each established IPv4 connection of the machine. Raises ExperimentError."""
    request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), ESTABLISHED, b"")
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, REQUEST_FLAGS, 1, 0) + request)
        while True:
            data = netlink.recv(RECEIVE_BYTES)
            at = 0
            while at < len(data):
                length, kind, *_ = HEADER.unpack_from(data, at)
                if kind == MESSAGE_DONE:
                    return
                if kind == MESSAGE_ERROR:
                    code = -struct.unpack_from("=i", data, at + HEADER.size)[0]
                    raise ExperimentError(f"the kernel does not tell of its sockets: {os.strerror(code)}")
                yield from _connection(data[at + HEADER.size : at + length])
                at += _aligned(length)


def _connection(message: bytes) -> Iterator[tuple[int, Traffic]]:
    at = DIAG_MESSAGE_BYTES
    while at < len(message):
        length, kind = ATTRIBUTE.unpack_from(message, at)
        if kind == INET_DIAG_INFO:
            yield INODE.unpack_from(message, INODE_AT)[0], parse_tcp_info(message[at + ATTRIBUTE.size : at + length])
        at += _aligned(length)


def _aligned(length: int) -> int:
    return (length + 3) & ~3
