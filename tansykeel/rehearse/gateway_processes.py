"""The gateways of a scenario on sockets: started in a version, stopped, killed, ended; and the relay between them."""

from __future__ import annotations

import json
import os
import signal
import sys
from typing import Any

from tansykeel.audit.records import Killed, Recorder, Stood, now_us
from tansykeel.rehearse.child_processes import PROGRAM, Child, ChildProcesses, RehearsalError
from tansykeel.settings.build import text_of
from tansykeel.settings.day import Day, settings_of
from tansykeel.transport.sockets import listening

PORTS = (18_000, 32_000)  # for gateways whose ports are chosen before they start
EDGE = (*PROGRAM, "edge")
# Versions of a rehearsed release, beside the one that the day begins with: one worse, one that ends as it starts.
VERSIONS = {"at-once": (*EDGE, "--send-at-once"), "crashes": (sys.executable, "-c", "raise SystemExit(3)")}
FIRST_VERSION = "old"


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on now. Raises RehearsalError.

    They are under those that connections are given by the machine: guards against one that is taken by a connection
    before its gateway, killed meanwhile, is back.
    """
    ports: list[int] = []
    first = PORTS[0] + os.getpid() * count % (PORTS[1] - PORTS[0])
    for port in [*range(first, PORTS[1]), *range(PORTS[0], first)]:
        try:
            listening(f"127.0.0.1:{port}").close()
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RehearsalError(f"no {count} free ports from {PORTS[0]} to {PORTS[1]}")


class GatewayProcesses:
    """Gateways by index. `edge` are the words that start one, before its settings and options."""

    def __init__(
        self, day: Day, seed: int, processes: ChildProcesses, record: Recorder, edge: tuple[str, ...] = EDGE
    ) -> None:
        self.day = day
        self.seed = seed
        self.processes = processes
        self.record = record
        self.edge = edge
        self.list_port = 0
        self.ports = [0] * day.fleet.edges
        self._gateways: dict[int, Child] = {}
        self._versions: dict[int, str] = {}
        self._stopped: dict[int, tuple[int, Child]] = {}  # since when, and which process
        self._starting: set[int] = set()
        self._relay: Child | None = None
        self._relay_ports: dict[str, int] = {}  # for each pair, as from-to

    async def open_relay(self) -> None:
        """Choose the gateways' ports and start the relay, through which each finds the others. Raises RehearsalError.

        It is started before the gateways, whose ports it has to know.
        """
        fleet = self.day.fleet
        self.ports = free_ports(fleet.edges)
        path = self.processes.folder / "relay.json"
        plan = {
            "targets": [f"127.0.0.1:{port}" for port in self.ports],
            "names": [self.day.gateway.named(number) for number in range(fleet.edges)],
            "zones": fleet.edge_zones(),
            "seed": self.seed,
        }
        path.write_text(json.dumps(plan))
        record_path = self.processes.record_path("relay")
        self._relay = await self.processes.spawn("relay", *PROGRAM, "relay", path, "--record", record_path)
        self._relay_ports = (await self.processes.ready(self._relay))["ports"]

    def tell_relay(self, verb: str, for_s: float, detail: dict[str, Any]) -> None:
        """Have a fault strike connections between gateways."""
        if self._relay:
            self._relay.tell(verb=verb, for_s=for_s, detail=detail)

    def starts(self, index: int) -> int:
        """Return how often a gateway was started."""
        return self.processes.started(f"edge-{index}")

    def runs(self, index: int) -> bool:
        """Return whether a gateway was started and has not ended."""
        gateway = self._gateways.get(index)
        return gateway is not None and gateway.runs

    async def start(self, index: int) -> None:
        """Start a gateway unless it runs. Raises RehearsalError."""
        if self.runs(index) or index in self._starting:
            return  # guards against two faults that start it at once
        self._starting.add(index)
        try:
            self._gateways[index] = await self._spawn(index)
        finally:
            self._starting.discard(index)

    async def start_version(self, index: int, version: str) -> None:
        """Start a gateway in a version; an empty one is the first."""
        self._versions[index] = version or FIRST_VERSION
        await self.start(index)

    def stop(self, index: int) -> bool:
        """Have a gateway's process stand still; False where it can't be done."""
        if not self.runs(index) or index in self._stopped:
            return False
        gateway = self._gateways[index]
        self._stopped[index] = (now_us(), gateway)
        os.kill(gateway.process.pid, signal.SIGSTOP)
        return True

    def resume(self, index: int) -> None:
        """Have a gateway that stands still go on."""
        at, gateway = self._stopped.pop(index)
        if gateway.runs:
            os.kill(gateway.process.pid, signal.SIGCONT)
        self.record.add(Stood(at, f"edge-{index}", now_us()))

    async def kill(self, index: int) -> None:
        """Kill a gateway and wait until it is gone."""
        if not self.runs(index):
            return
        gateway = self._gateways[index]
        self.record.add(Killed(now_us(), f"edge-{index}"))
        self.record.flush()
        gateway.process.kill()
        await gateway.process.wait()

    async def end(self, index: int) -> None:
        """Tell a gateway to end and wait until it has; one that stands still goes on later, and ends then."""
        if self.runs(index):
            gateway = self._gateways[index]
            gateway.process.terminate()
            await self.processes.wait([gateway])

    def all_started(self) -> list[Child]:
        """Return all processes of gateways there were."""
        return [child for child in self.processes.children if child.name.startswith("edge")]

    async def _spawn(self, index: int) -> Child:
        name = f"edge-{index}"
        words = VERSIONS.get(self._versions.get(index, FIRST_VERSION), self.edge)
        record_path = self.processes.record_path(f"{name}-{self.starts(index)}")
        child = await self.processes.spawn(
            name,
            *words,
            self._write_settings(index),
            "--number",
            index,
            "--count",
            self.day.fleet.edges,
            "--seed",
            self.seed * 1000 + index,
            "--leashed",
            *(("--record", record_path) if self.day.fleet.agree else ()),
        )
        self.ports[index] = (await self.processes.ready(child))["port"]
        return child

    def _write_settings(self, index: int) -> Any:
        path = self.processes.folder / f"edge-{index}.star"
        own = f"127.0.0.1:{self.ports[index]}"
        path.write_text(text_of(settings_of(self.day, f"127.0.0.1:{self.list_port}", own, self._peers(index))))
        return path

    def _peers(self, index: int) -> tuple[str, ...]:
        """The addresses at which a gateway finds the others: the relay's ports."""
        if self._relay is None:
            return ()
        ports = [
            self.ports[other] if other == index else self._relay_ports[f"{index}-{other}"]
            for other in range(self.day.fleet.edges)
        ]
        return tuple(f"127.0.0.1:{port}" for port in ports)
