"""The deployment that a soak test plays: settings in the operators' form, names, addresses, what stores can do."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.errors import NOT_PLAYED, Problem

SECOND = 1e9  # nanoseconds, the operators' unit
CAPACITY = 120.0  # requests of mean work a second that a warm store does
UNITS = 2.0  # of a request of mean work
COLD_SHARE, WARM_AFTER, FALL_MULTIPLE, OVERLOAD_FOR = 0.19, 12.0, 2.5, 2.0
DRAIN_GRACE = 0.5  # seconds
IDLE_CLOSE = 4.0  # seconds after which stores close an idle connection
SOCKETS, MEMORY_MB = 320, 96
VOLUMES = 20
PORTS_OF_A_PLAY = 400
FIRST_PORT, LAST_PORT = 20_000, 32_000  # under those that the system gives to connections


class NoFreePorts(Problem):
    """No range of ports is free for a soak test."""

    advice = "end what listens there, or give another one with --base-port"
    code = NOT_PLAYED


class NotStarted(Problem):
    """A process of a soak test did not start."""

    advice = "look at what it wrote; where a port is taken, give another one with --base-port"
    code = NOT_PLAYED


@dataclass(frozen=True)
class RequestClass:
    """A class of requests; times in seconds."""

    name: str
    repeat: str
    deadline: float
    write: bool
    window: float = 0.0


CLASSES = (
    RequestClass("read", "idempotent", 2.0, False),
    RequestClass("write", "deduplicated", 2.5, True, window=2.0),
    RequestClass("once", "at_most_once", 1.5, True),
)


LONGEST_DEADLINE = max(one.deadline for one in CLASSES)  # seconds
KILL_AFTER = min(LONGEST_DEADLINE, 3.0) + 0.7  # seconds after SIGTERM at which the platform kills at the earliest


def key_of(one: RequestClass, number: int) -> str:
    """Return a piece of data's name, which tells its request's class: stores are told nothing else of it."""
    return f"{CLASSES.index(one):x}{number:015x}"


def class_of(key: bytes) -> RequestClass:
    """Return the class of a request by the name of its piece of data."""
    return CLASSES[int(key[:1], 16)]


def free_base_port() -> int:
    """Return the first port of a range that nobody listens in. Raises NoFreePorts.

    Plays that run side by side begin to look at different places.
    """
    bases = range(FIRST_PORT, LAST_PORT - PORTS_OF_A_PLAY, PORTS_OF_A_PLAY)
    for turn in range(len(bases)):
        base = bases[(os.getpid() + turn) % len(bases)]
        if all(_is_free(port) for port in range(base, base + PORTS_OF_A_PLAY)):
            return base
    raise NoFreePorts(f"{FIRST_PORT} to {LAST_PORT}: no {PORTS_OF_A_PLAY} free ports in a row")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass(frozen=True)
class Deployment:
    """Names and ports of one play. `base_port`: the first of a range that it uses alone."""

    gateways: int
    stores: int
    base_port: int
    folder: Path

    def gateway_port(self, number: int) -> int:
        """Return the port where clients connect to a gateway."""
        return self.base_port + number

    def store_port(self, number: int) -> int:
        """Return a store's port."""
        return self.base_port + 100 + number

    def discovery_port(self, which: int, gateway: int) -> int:
        """Return the port at which one of the two discoveries speaks to a gateway."""
        return self.base_port + 200 + 100 * which + gateway

    def configuration_path(self, gateway: int) -> Path:
        """Return the path of a gateway's configuration."""
        return self.folder / f"g{gateway}.json"

    def shim_path(self, gateway: int) -> Path:
        """Return the path of the file that steers a gateway's system calls."""
        return self.folder / f"g{gateway}.shim"

    def write_configuration(self, gateway: int, discovery: int, cancel: bool) -> None:
        """Write a gateway's configuration file, whole or not at all."""
        address = "127.0.0.1"
        file = {
            "name": f"g{gateway}",
            "listen": f"{address}:{self.gateway_port(gateway)}",
            "discovery": f"{address}:{self.discovery_port(discovery, gateway)}",
            "seed": f"{self.base_port * 1000 + gateway:x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"revision": 1, "complete": True, "members": []},
            "settings": settings(self.gateways, gateway, self.stores, cancel),
        }
        path = self.configuration_path(gateway)
        new = path.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(file))
        new.replace(path)


def settings(gateways: int, me: int, shards: int, cancel: bool) -> dict[str, Any]:
    """Return the settings object of a gateway, in the operators' form."""
    always_safe = FALL_MULTIPLE * COLD_SHARE * CAPACITY * UNITS * OVERLOAD_FOR * 0.7
    return {
        "Classes": [
            {
                "Name": one.name,
                "Deadline": one.deadline * SECOND,
                "Objective": 0.6 * SECOND,
                "Repeat": one.repeat,
                "Value": 2.0,
                "KeyScope": "cell",
                "Window": one.window * SECOND,
            }
            for one in CLASSES
        ],
        "Limits": {"MostTries": 3, "Cancel": cancel, "DialTimeout": 0.25 * SECOND, "IdleClose": IDLE_CLOSE * SECOND},
        "Rules": {
            "Cold": WARM_AFTER * SECOND,
            "ColdShare": COLD_SHARE,
            "FallMultiple": FALL_MULTIPLE,
            "OverloadFor": OVERLOAD_FOR * SECOND,
            "StopSendingWithin": DRAIN_GRACE * SECOND,
        },
        "Siblings": gateways,
        "Me": me,
        "Zone": 0,
        "MembershipMode": "push",
        "Dcs": ["a"],
        "Plans": [{"Name": "basic", "Rate": CAPACITY * UNITS * shards * 0.7 / VOLUMES}],
        "Specifics": {
            "Largest": 8,
            "UsualUnits": UNITS,
            "ChangesData": [one.write for one in CLASSES],
            "YoungLimit": always_safe,
            "Shards": shards,
        },
    }


def power_of(age: float) -> float:
    """Return the part of its capacity that a store has so many seconds after its start."""
    if age >= WARM_AFTER:
        return 1.0
    return COLD_SHARE + (1 - COLD_SHARE) * max(age, 0.0) / WARM_AFTER
