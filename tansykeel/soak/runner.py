"""Plays one soak test: starts all processes, lets faults begin, ends everything, and has the records checked."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tansykeel.soak.checker import ANSWER_GRACE, Breach, Checker, Report
from tansykeel.soak.deployment import KILL_AFTER, LONGEST_DEADLINE, Deployment
from tansykeel.soak.faults import Kind, PlannedFault, draw_crowd, draw_faults
from tansykeel.soak.processes import GatewayProcess, StandIn
from tansykeel.soak.records import CROWD, Fault, Process, Recorder, now, read_records

STILL_IN_USE = 0.3  # seconds after its end was announced for which new connections still come to a gateway
DRAINS_FOR = 3.0  # seconds for which a store that is replaced still runs
DOWN_FOR = 0.5  # seconds for which a store that restarts is away
BETWEEN_SIGNALS = (0.0, 0.02, 0.1, 0.25)  # seconds between those of a series, in turn
LATE_ANSWERS = 1.0  # seconds beside the longest deadline and its grace for which the last answers are waited for
CLOCK_WRONG_FOR = 8.0  # seconds until a stepped clock is set right again
SUSPECT_LINES = (b'"failed"', b'"invariant violated"')


@dataclass(frozen=True)
class Plan:
    """How large a play is, and which version of the gateway it runs."""

    seed: int
    seconds: float
    gateways: int
    stores: int
    clients: int
    base_port: int
    folder: Path
    root: Path  # of the tree whose gateway is run
    cancel: bool = True
    only: tuple[Kind, ...] = ()  # faults of other kinds are left out


class SimulatedShard:
    """The store that holds a shard now."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port = number, port
        self.generation = 0
        self.name = f"s{number}"
        self.process: StandIn | None = None
        self.since = 0.0  # Unix milliseconds; 0: long ago
        self.busy = asyncio.Lock()

    def member(self, phase: str = "Ready") -> dict[str, Any]:
        """Return discovery's entry."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": self.number,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.since,
        }


class SoakTest:
    """One play."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.deployment = Deployment(plan.gateways, plan.stores, plan.base_port, plan.folder)
        self.recorder = Recorder(plan.folder / "runner.jsonl")
        self.gateways = [
            GatewayProcess(number, self.deployment, self.recorder, plan.root) for number in range(plan.gateways)
        ]
        self.shards = [SimulatedShard(number, self.deployment.store_port(number)) for number in range(plan.stores)]
        self.next_port = self.deployment.store_port(plan.stores)
        self.clients: list[StandIn] = []
        self.crowds: list[StandIn] = []
        self.which_discovery = [0] * plan.gateways
        self.in_use: dict[str, int] = {}

    async def play(self) -> Report:
        """Play it and return what the checker found."""
        await self._start()
        await self._faults()
        await self._end()
        report = Checker(read_records(self.plan.folder.glob("*.jsonl"))).report()
        report.breaches.extend(self._suspect_lines())
        return report

    async def _start(self) -> None:
        plan, folder = self.plan, self.plan.folder
        ports = [str(self.deployment.discovery_port(which, 0)) for which in (0, 1)]
        self.discovery = StandIn("discovery_process", str(folder / "discovery.jsonl"), str(plan.gateways), *ports)
        await self.discovery.ready()
        await asyncio.gather(*(self._start_store(shard, cold=False) for shard in self.shards))
        for gateway in self.gateways:
            self.deployment.write_configuration(gateway.number, 0, plan.cancel)
            gateway.start()
        await asyncio.gather(*(self._use_once_ready(gateway) for gateway in self.gateways))
        for number in range(plan.clients):
            path = folder / f"c{number}.jsonl"
            seed = plan.seed * 1000 + number
            self.clients.append(StandIn("client_process", str(number), str(seed), str(path), str(plan.stores)))
        self._start_crowd()
        await asyncio.gather(*(client.ready() for client in self.clients))
        self._tell_use()

    async def _faults(self) -> None:
        plan, begun = self.plan, now()
        running: set[asyncio.Task[None]] = set()
        for fault in draw_faults(plan.seed, plan.seconds, plan.gateways, plan.stores):
            if plan.only and fault.kind not in plan.only:
                continue
            await asyncio.sleep(max(begun + fault.at - now(), 0))
            target = f"{'s' if fault.kind.value.startswith('store') else 'g'}{fault.target}"
            self.recorder.write(Fault(now(), fault.kind.name, target, f"{fault.figure:g} {fault.seconds:.1f} s"))
            running.add(asyncio.create_task(self._begin(fault)))
        await asyncio.sleep(max(begun + plan.seconds - now(), 0))
        await asyncio.gather(*running)

    def _start_crowd(self) -> None:
        for number in draw_crowd(self.plan.seed, self.plan.gateways):
            port = self.deployment.gateway_port(number)
            self.crowds.append(StandIn("crowd_process", str(port), str(self.plan.seed)))
            self.recorder.write(Fault(now(), CROWD, f"g{number}"))

    async def _end(self) -> None:
        """End all gateways under load: clients go on with the connections that they hold, until the kill."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGTERM, "terminate")
        await asyncio.sleep(STILL_IN_USE)
        self.in_use.clear()
        self._tell_use()
        await asyncio.gather(*(gateway.until_ended(KILL_AFTER - STILL_IN_USE) for gateway in self.gateways))
        await asyncio.sleep(LONGEST_DEADLINE + ANSWER_GRACE + LATE_ANSWERS)
        for client in self.clients:
            client.tell({"stop": True})
        while any(client.child.poll() is None for client in self.clients):
            await asyncio.sleep(0.05)
        self.recorder.write(Process(now(), "", "end of the play"))
        for crowd in self.crowds:
            await crowd.end()
        for client in self.clients:
            await client.end()
        await asyncio.gather(*(shard.process.end() for shard in self.shards if shard.process))
        await self.discovery.end()
        self.recorder.flush()

    # Faults

    async def _begin(self, fault: PlannedFault) -> None:
        gateway, shard = self.gateways[fault.target % len(self.gateways)], self.shards[fault.target % len(self.shards)]
        match fault.kind:
            case Kind.STOP:
                await self._stop(gateway, fault.seconds)
            case Kind.RESTART:
                await self._restart(gateway, "")
            case Kind.RESTART_UNREAD_LOG:
                await self._restart(gateway, "stalled" if fault.figure else "gone")
            case Kind.KILL:
                await self._kill(gateway, None)
            case Kind.EARLY_RELOAD:
                await self._kill(gateway, fault.figure)
            case Kind.RELOAD:
                self._move_discovery(gateway)
            case Kind.RELOAD_SERIES:
                await self._move_discovery_often(gateway, int(fault.figure))
            case Kind.SIGNAL_SERIES:
                await self._restart_by_series(gateway)
            case Kind.CLOCK_STEP:
                await self._step_clocks(fault)
            case Kind.ACCEPT_FAILS:
                await self._steer_for(gateway, fault.seconds, accept_error=int(fault.figure))
            case Kind.CONNECT_FAILS:
                await self._steer_for(gateway, fault.seconds, connect_error=int(fault.figure))
            case Kind.OPTIONS_FAIL:
                await self._steer_for(gateway, fault.seconds, option_error=int(fault.figure))
            case Kind.EPOLL_FAILS:
                await self._steer_for(gateway, fault.seconds, epoll_error=int(fault.figure))
            case Kind.SURGE:
                for client in self.clients:
                    client.tell({"surge": fault.seconds})
            case Kind.SHORT_CALLS:
                most = int(fault.figure)
                await self._steer_for(gateway, fault.seconds, most_sent=most, most_received=max(most, 20))
            case Kind.STORE_RESTART:
                await self._restart_store(shard)
            case Kind.STORE_REPLACED:
                await self._replace_store(shard, eager=bool(fault.figure))
            case Kind.STORE_HANGS:
                await self._store_mode(shard, "hang", fault.seconds)
            case Kind.STORE_RESETS:
                await self._store_mode(shard, "reset", fault.seconds)
            case Kind.STORE_BREAKS:
                if shard.process:
                    shard.process.tell("break")
            case Kind.DISCOVERY_SILENT:
                self.discovery.tell({"silent": fault.seconds})
            case Kind.WATCHES_BREAK:
                self.discovery.tell({"break": True})

    async def _stop(self, gateway: GatewayProcess, seconds: float) -> None:
        if gateway.busy.locked():
            return
        async with gateway.busy:
            gateway.signal(signal.SIGSTOP, "stop")
            await asyncio.sleep(seconds)
            gateway.signal(signal.SIGCONT, "continue")

    async def _restart(self, gateway: GatewayProcess, unread_log: str) -> None:
        if gateway.busy.locked():
            return
        async with gateway.busy:
            gateway.signal(signal.SIGTERM, "terminate")
            await self._start_after_end(gateway, now() + KILL_AFTER, unread_log)

    async def _start_after_end(self, gateway: GatewayProcess, killed_at: float, unread_log: str = "") -> None:
        """Wait for a gateway that was told to end, kill it when the platform does, and start it anew."""
        asyncio.get_running_loop().call_later(STILL_IN_USE, self._out_of_use, gateway)
        await gateway.until_ended(killed_at - now())
        gateway.start(unread_log)
        await self._use_once_ready(gateway)

    async def _restart_by_series(self, gateway: GatewayProcess) -> None:
        """Discovery moves, the gateway is told to end twice, and signals come until it has."""
        if gateway.busy.locked():
            return
        async with gateway.busy:
            self._move_discovery(gateway)
            await asyncio.sleep(BETWEEN_SIGNALS[1])
            gateway.signal(signal.SIGTERM, "terminate")
            killed_at = now() + KILL_AFTER
            for pause in BETWEEN_SIGNALS:
                await asyncio.sleep(pause)
                self._move_discovery(gateway)
                gateway.signal(signal.SIGTERM, "")
            await self._start_after_end(gateway, killed_at)

    async def _move_discovery_often(self, gateway: GatewayProcess, times: int) -> None:
        for pause in BETWEEN_SIGNALS[:times]:
            self._move_discovery(gateway)
            await asyncio.sleep(pause)

    async def _kill(self, gateway: GatewayProcess, reload_after: float | None) -> None:
        if gateway.busy.locked():
            return
        async with gateway.busy:
            gateway.signal(signal.SIGKILL, "kill")
            await gateway.until_ended(1.0)
            self._out_of_use(gateway)
            await asyncio.sleep(0.3)
            gateway.start()
            if reload_after is not None:
                await asyncio.sleep(reload_after)
                self._move_discovery(gateway)
            await self._use_once_ready(gateway)

    def _move_discovery(self, gateway: GatewayProcess) -> None:
        which = self.which_discovery[gateway.number] = 1 - self.which_discovery[gateway.number]
        self.deployment.write_configuration(gateway.number, which, self.plan.cancel)
        gateway.signal(signal.SIGHUP, "")

    async def _step_clocks(self, fault: PlannedFault) -> None:
        """All machines' clocks are stepped, and a store that starts just then is told by the right time. One that is
        replaced shows more than one that restarts, which its failed connections tell of too."""
        for gateway in self.gateways:
            gateway.steer(wall_offset=fault.figure)
        await self._replace_store(self.shards[fault.target % len(self.shards)], eager=True)
        await asyncio.sleep(CLOCK_WRONG_FOR)
        for gateway in self.gateways:
            gateway.steer(wall_offset=0.0)

    async def _steer_for(self, gateway: GatewayProcess, seconds: float, **changes: int) -> None:
        gateway.steer(**changes)
        await asyncio.sleep(seconds)
        gateway.steer(**dict.fromkeys(changes, 0))

    async def _restart_store(self, shard: SimulatedShard) -> None:
        if shard.busy.locked() or not shard.process:
            return
        async with shard.busy:
            self._kill_store(shard)
            await asyncio.sleep(DOWN_FOR)
            await self._start_store(shard, cold=True)

    async def _replace_store(self, shard: SimulatedShard, eager: bool = False) -> None:
        if shard.busy.locked() or not shard.process:
            return
        async with shard.busy:
            self.discovery.tell({"member": shard.member("Terminating")})
            await asyncio.sleep(0.2)
            shard.process.tell("drain")
            await asyncio.sleep(DRAINS_FOR)
            self.discovery.tell({"member": shard.member("Gone")})
            self._kill_store(shard)
            shard.generation += 1
            shard.name = f"s{shard.number}-{shard.generation}"
            shard.port = self.next_port
            self.next_port += 1
            await self._start_store(shard, cold=True, eager=eager)

    def _kill_store(self, shard: SimulatedShard) -> None:
        if shard.process:
            shard.process.kill()
            self.recorder.write(Process(now(), shard.name, "store killed"))

    async def _store_mode(self, shard: SimulatedShard, mode: str, seconds: float) -> None:
        if shard.busy.locked() or not shard.process:
            return
        async with shard.busy:
            shard.process.tell(mode)
            await asyncio.sleep(seconds)
            shard.process.tell("serve")

    async def _start_store(self, shard: SimulatedShard, cold: bool, eager: bool = False) -> None:
        path = self.plan.folder / f"{shard.name}.jsonl"
        temperature = "cold" if cold else "warm"
        shard.process = StandIn("store_process", shard.name, str(shard.port), str(path), temperature)
        await shard.process.ready()
        if eager:
            shard.process.tell("eager")
        shard.since = time.time() * 1000 if cold else 0.0  # wall clock: the runner's, never stepped
        self.discovery.tell({"member": shard.member()})

    # Who is in use

    async def _use_once_ready(self, gateway: GatewayProcess) -> None:
        await gateway.until_ready()
        if gateway.is_ready:
            self.in_use[gateway.name] = self.deployment.gateway_port(gateway.number)
            self._tell_use()

    def _out_of_use(self, gateway: GatewayProcess) -> None:
        if self.in_use.pop(gateway.name, None):
            self._tell_use()

    def _tell_use(self) -> None:
        for client in self.clients:
            client.tell({"use": self.in_use})

    def _suspect_lines(self) -> list[Breach]:
        """Return the lines of gateways' logs that tell of a fault of the program."""
        found = []
        for path in sorted(self.plan.folder.glob("g*.log")):
            for line in path.read_bytes().splitlines():
                if any(suspect in line for suspect in SUSPECT_LINES):
                    found.append(Breach(0.0, "log", path.name, line.decode()[:300]))
        return found
