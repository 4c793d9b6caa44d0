"""The processes of a scale test as its faults see them: started from a plan, each with its settings file."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from tansykeel.audit.records import Killed, Recorder, Stood, Trouble, now_us
from tansykeel.edge.ask import NotTold, request
from tansykeel.edge.hollow.report import FullReport
from tansykeel.protocol.frames import ControlStatus, ControlStatusRequest
from tansykeel.rehearse.connection_faults import ConnectionFault, Ends, FaultKind, loss
from tansykeel.rehearse.gateway_processes import free_ports
from tansykeel.rehearse.proxy_plan import GatewayPlace, NodeTarget, ProxyPlan
from tansykeel.scale.layout import GatewayRange, HollowPlace, Layout, NodePlace, RealPlace, layout_of
from tansykeel.scale.observations import PROXY_RECORD, RECORDS
from tansykeel.scale.plan import ScalePlan
from tansykeel.scale.processes import ProcessGroup, Running, ScaleError
from tansykeel.scale.settings_files import gateway_settings, node_settings, plain_settings
from tansykeel.settings.build import text_of
from tansykeel.settings.records import Settings

STATUS_WITHIN = 2.0  # seconds for the answer of a control node to a question for its status
LEADER_WITHIN = 15.0  # seconds in which a region is expected to have a leader
LEADER_EVERY = 0.2  # seconds between two looks for one


class Stage:
    """All processes of one play."""

    def __init__(self, plan: ScalePlan, seed: int, folder: Path, group: ProcessGroup) -> None:
        self.plan, self.seed, self.folder, self.group = plan, seed, folder, group
        self.layout: Layout = layout_of(plan)
        self.first_region = plan.regions[0].name
        ports = free_ports(len(self.layout.nodes))
        self.node_addresses = {
            node.name: f"127.0.0.1:{port}" for node, port in zip(self.layout.nodes, ports, strict=True)
        }
        self.proxy_addresses: dict[str, str] = {}  # by node
        self.proxy: Running | None = None
        self.nodes: dict[str, Running] = {}
        self.hollow: dict[str, Running] = {}
        self.real: dict[str, Running] = {}
        self.plain: dict[str, Running] = {}
        self.stopped: dict[str, int] = {}  # nodes that a signal stopped, and since when
        self.records = folder / RECORDS
        self.records.mkdir(exist_ok=True)
        self.recorder = Recorder(self.records / "play.rec")

    # Start

    async def start(self) -> None:
        """Start everything in order: the proxy, control nodes, gateways. Raises ScaleError."""
        await self._start_proxy()
        await self.start_nodes(self.layout.nodes)
        shared = self._write("gateways", gateway_settings(self.plan, self.layout, self.proxy_addresses))
        plain = self._write("plain", plain_settings())
        await asyncio.gather(
            *(self._start_hollow(place, shared) for place in self.layout.hollow),
            *(self._start_real(place, shared) for place in self.layout.real),
            *(self._start_plain(number, plain) for number in range(self.plan.plain)),
        )

    async def start_nodes(self, nodes: Sequence[NodePlace]) -> None:
        """Start control nodes, also ones that ran before, and wait until they are ready. Raises ScaleError."""
        await asyncio.gather(*(self._start_node(node) for node in nodes))

    async def _start_proxy(self) -> None:
        path = self.folder / "proxy.json"
        path.write_bytes(msgspec.json.encode(self._proxy_plan()))
        record = self.records / PROXY_RECORD
        self.proxy, told = await self.group.start("proxy", "control-proxy", path, "--record", record)
        self.proxy_addresses = {node: f"127.0.0.1:{port}" for node, port in told["ports"].items()}

    def _proxy_plan(self) -> ProxyPlan:
        return ProxyPlan(
            nodes=tuple(
                NodeTarget(node.name, self.node_addresses[node.name], node.region) for node in self.layout.nodes
            ),
            gateways=tuple(
                GatewayPlace(gateway, region) for gateway, region in self.layout.region_of_gateways().items()
            ),
            seed=self.seed,
        )

    async def _start_node(self, node: NodePlace) -> None:
        settings = node_settings(
            self.plan,
            self.layout,
            node,
            self.node_addresses[node.name],
            self.proxy_addresses,
        )
        path = self._write(node.name, settings)
        running, _ = await self.group.start(
            node.name, "control", path, "--number", node.number, "--seed", self.seed, "--leashed"
        )
        self.nodes[node.name] = running

    async def _start_hollow(self, place: HollowPlace, settings: Path) -> None:
        gateways = place.gateways
        arguments = ("--first", gateways.first, "--count", gateways.count, "--seed", self.seed, "--leashed")
        record = self.records / f"{place.name}.rec"
        running, _ = await self.group.start(place.name, "hollow", settings, *arguments, "--record", record)
        self.hollow[place.name] = running

    async def _start_real(self, place: RealPlace, settings: Path) -> None:
        arguments = ("--number", place.number, "--count", self.plan.gateways, "--seed", place.number, "--leashed")
        record = self.records / f"{place.name}.rec"
        running, _ = await self.group.start(place.name, "edge", settings, *arguments, "--record", record)
        self.real[place.name] = running

    async def _start_plain(self, number: int, settings: Path) -> None:
        name = f"plain-{number}"
        self.plain[name], _ = await self.group.start(name, "edge", settings, "--leashed")

    def _write(self, name: str, settings: Settings) -> Path:
        path = self.folder / f"{name}.star"
        path.write_text(text_of(settings))
        return path

    # Control nodes

    async def status_of(self, node: NodePlace) -> ControlStatus | None:
        """Return what a control node says of itself, asked directly; None where it does not answer."""
        try:
            return await request(self.node_addresses[node.name], ControlStatusRequest(), ControlStatus, STATUS_WITHIN)
        except NotTold:
            return None

    async def leader_of(self, region: str) -> NodePlace:
        """Return the control node that leads a region's log. Raises ScaleError where none does for long."""
        deadline = asyncio.get_running_loop().time() + LEADER_WITHIN
        while asyncio.get_running_loop().time() < deadline:
            for node in self.layout.nodes_of(region):
                status = await self.status_of(node)
                if status is not None and status.leads:
                    return node
            await asyncio.sleep(LEADER_EVERY)
        raise ScaleError(f"no control node leads within {LEADER_WITHIN:g} s", region)

    async def follower_of(self, region: str) -> NodePlace:
        """Return a control node that runs and does not lead its region's log. Raises ScaleError."""
        leader = await self.leader_of(region)
        for node in self.layout.nodes_of(region):
            if node != leader and self.nodes[node.name].runs:
                return node
        raise ScaleError("no control node but its leader runs", region)

    async def kill_node(self, node: NodePlace) -> None:
        """Kill a control node's process."""
        self.recorder.add(Killed(now_us(), node.name))
        self.recorder.flush()
        await self.group.kill(self.nodes[node.name])

    def signal_node(self, node: NodePlace, number: signal.Signals) -> None:
        """Stop a control node's process, or let it go on."""
        self.nodes[node.name].send_signal(number)
        if number is signal.SIGSTOP:
            self.stopped[node.name] = now_us()
        elif node.name in self.stopped:
            self.recorder.add(Stood(self.stopped.pop(node.name), node.name, now_us()))

    # Hollow gateways and links

    async def command_hollow(self, process: str, command: str, gateways: GatewayRange) -> None:
        """Tell a process of hollow gateways to kill or start some of them. Raises ScaleError."""
        await self._told_hollow(process, do=command, first=gateways.first, count=gateways.count)

    async def hollow_report(self, process: str) -> FullReport:
        """Return what a process of hollow gateways says of itself now. Raises ScaleError."""
        path = self.folder / f"{process}-report.json"
        await self._told_hollow(process, do="report", file=str(path))
        return msgspec.json.decode(path.read_bytes(), type=FullReport)

    async def _told_hollow(self, process: str, **command: Any) -> None:
        running = self.hollow[process]
        running.tell(**command)
        answer = await self.group.next_line(running)
        if answer["event"] != "done":
            raise ScaleError(f"{answer}", process)

    def lose_packets(self, seconds: float, share: float) -> None:
        """Lose a share of all packets for some seconds."""
        self._link_fault(loss(share, seconds))

    def cut_regions(self, seconds: float) -> None:
        """Let nothing pass between the first region and the others for some seconds."""
        for region in self.plan.regions[1:]:
            ends = Ends(region=self.first_region), Ends(region=region.name)
            self._link_fault(ConnectionFault(FaultKind.SILENCE, seconds, *ends))

    def _link_fault(self, fault: ConnectionFault) -> None:
        fields = msgspec.to_builtins(fault)
        self.recorder.add(Trouble(now_us(), fault.kind, fields))
        assert self.proxy is not None
        self.proxy.tell(verb="fault", fault=fields)

    def close(self) -> None:
        """Close the record of what was done."""
        self.recorder.close()
