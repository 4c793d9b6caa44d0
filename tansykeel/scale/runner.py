"""Plays a scale test: starts all processes, waits until each gateway has a session, goes through the phases."""

from __future__ import annotations

import asyncio
import signal
import threading
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from tansykeel.audit.records import now_us
from tansykeel.scale.faults import FAULTS
from tansykeel.scale.layout import NodePlace
from tansykeel.scale.observations import HollowGatewaySample, HollowSample, Observations, PhaseMark, StatusSample
from tansykeel.scale.plan import Phase, ScalePlan
from tansykeel.scale.processes import ProcessGroup, ScaleError
from tansykeel.scale.stage import Stage
from tansykeel.scale.usage import UsageSample, machine_memory, proportional_bytes, read_sample

SAMPLE_EVERY = 1.0  # seconds between two samples of what processes use
STATUS_EVERY = 0.25  # seconds between two looks at all control nodes, while a fault is watched
SETTLE_WITHIN = 60.0  # seconds in which all gateways are expected to have a session
MOST_PROCESSES = 200
MOST_MEMORY_SHARE = 0.5  # of the machine's memory

Progress = Callable[[str, float], None]


class Runner:
    """One play of a plan. `progress` is called with the phase's name and the seconds of the play."""

    def __init__(self, plan: ScalePlan, seed: int, folder: Path, progress: Progress = lambda phase, at: None) -> None:
        self.plan, self.seed, self.folder, self.progress = plan, seed, folder, progress
        self.group = ProcessGroup(folder)
        self.usage: list[UsageSample] = []
        self.statuses: list[StatusSample] = []
        self.hollow: list[HollowSample] = []
        self.marks: list[PhaseMark] = []
        self.proportional: dict[str, int] = {}
        self.most_memory = 0
        self.most_processes = 0
        self.settled_s = 0.0

    async def play(self) -> Observations:
        """Play the plan to its end. Raises ScaleError; whatever happens, no process is left behind."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.stage = Stage(self.plan, self.seed, self.folder, self.group)
        played_on = datetime.now(UTC).date().isoformat()
        sampling: asyncio.Task[None] | None = None
        try:
            await self.stage.start()
            await self._settle()
            sampling = asyncio.create_task(self._sample_always())
            for border, phase in enumerate(self.plan.phases):
                await self._sample_border(border)
                await self._play_phase(phase, sampling)
            await self._sample_border(len(self.plan.phases))
        finally:
            if sampling:
                sampling.cancel()
            await self.group.end(last=self.stage.proxy)
            self.stage.close()
        observations = Observations(
            plan=self.plan,
            seed=self.seed,
            played_on=played_on,
            machine_memory=machine_memory(),
            most_memory=self.most_memory,
            most_processes=self.most_processes,
            settled_s=self.settled_s,
            phases=tuple(self.marks),
            usage=tuple(self.usage),
            statuses=tuple(self.statuses),
            hollow=tuple(self.hollow),
            proportional=self.proportional,
        )
        observations.write(self.folder)
        return observations

    async def _settle(self) -> None:
        """Wait until the control nodes hold a session of each gateway."""
        begin = now_us()
        while now_us() - begin < SETTLE_WITHIN * 1e6:
            before = len(self.statuses)
            await self._sample_statuses()
            if sum(status.sessions for status in self.statuses[before:]) >= self.plan.gateways:
                self.settled_s = (now_us() - begin) / 1e6
                await asyncio.sleep(self.plan.settle_s)
                return
            await asyncio.sleep(STATUS_EVERY)
        sessions = sum(status.sessions for status in self.statuses[before:])
        raise ScaleError(f"{sessions} of {self.plan.gateways} gateways had a session after {SETTLE_WITHIN:g} s")

    async def _play_phase(self, phase: Phase, sampling: asyncio.Task[None]) -> None:
        polling = None if phase.fault == "none" else asyncio.create_task(self._poll_statuses())
        begin = now_us()
        try:
            strike = await FAULTS[phase.fault](self.stage, phase)
            await self._watch(phase.name, begin, begin + int(phase.fault_s * 1e6), sampling)
            undo = now_us()
            await strike.undo()
            back = now_us()
            await self._watch(phase.name, begin, back + int(phase.observed_s * 1e6), sampling)
        finally:
            if polling:
                polling.cancel()
        self.marks.append(
            PhaseMark(
                name=phase.name,
                fault=phase.fault,
                begin=begin,
                undo=undo,
                back=back,
                end=now_us(),
                struck=strike.struck,
            )
        )

    async def _watch(self, phase: str, begin: int, until: int, sampling: asyncio.Task[None]) -> None:
        """Wait until a moment. Raises what ended the sampling, and ScaleError where a gateway process ended."""
        while (rest := until - now_us()) > 0:
            if sampling.done():
                sampling.result()
            for running in (*self.stage.hollow.values(), *self.stage.real.values(), *self.stage.plain.values()):
                if not running.runs:
                    raise ScaleError(f"ended with {running.process.returncode} in phase {phase}", running.name)
            self.progress(phase, (now_us() - begin) / 1e6)
            await asyncio.sleep(min(rest / 1e6, SAMPLE_EVERY))

    # Samples

    async def _sample_always(self) -> None:
        while True:
            self._sample_usage()
            await asyncio.sleep(SAMPLE_EVERY)

    async def _sample_border(self, border: int) -> None:
        """Sample before the phase of this index, or behind the last: control nodes, hollow gateways, memory."""
        await self._sample_statuses()
        await asyncio.gather(*(self._sample_hollow(border, name) for name in self.stage.hollow))
        for running in self.group.running:
            memory = proportional_bytes(running.pid)
            if memory is not None:
                self.proportional[running.name] = memory

    def _sample_usage(self) -> None:
        """Raises ScaleError where the processes take more of the machine than they may."""
        samples = [read_sample(running.name, running.pid) for running in self.group.running]
        there = [sample for sample in samples if sample is not None]
        self.usage += there
        memory = sum(sample.resident for sample in there)
        self.most_memory = max(self.most_memory, memory)
        self.most_processes = max(self.most_processes, len(there))
        if len(there) >= MOST_PROCESSES:
            raise ScaleError(f"{len(there)} processes; legal: under {MOST_PROCESSES}")
        if memory >= MOST_MEMORY_SHARE * machine_memory():
            raise ScaleError(f"{memory >> 20} MB in all; legal: under half of the machine's memory")

    async def _poll_statuses(self) -> None:
        while True:
            await self._sample_statuses()
            await asyncio.sleep(STATUS_EVERY)

    async def _sample_statuses(self) -> None:
        nodes = [node for node in self.stage.layout.nodes if self.stage.nodes[node.name].runs]
        samples = await asyncio.gather(*(self._status(node) for node in nodes))
        self.statuses += [sample for sample in samples if sample is not None]

    async def _status(self, node: NodePlace) -> StatusSample | None:
        status = await self.stage.status_of(node)
        if status is None:
            return None
        return StatusSample(
            at=now_us(),
            node=node.name,
            region=node.region,
            view=status.view,
            active=status.active,
            leads=status.leads,
            leader=status.leader,
            sessions=status.sessions,
            units_granted=status.units_granted,
            budget=status.budget,
            admitted=status.admitted,
            rejected=status.rejected,
        )

    async def _sample_hollow(self, border: int, process: str) -> None:
        report = await self.stage.hollow_report(process)
        gateways = tuple(
            HollowGatewaySample(
                gateway.name,
                gateway.bytes_received + gateway.bytes_sent,
                gateway.bytes_with_headers,
                gateway.without_lease_s,
            )
            for gateway in report.gateways
        )
        sample = HollowSample(border=border, process=process, seconds=report.totals.seconds, gateways=gateways)
        self.hollow.append(sample)


def play(plan: ScalePlan, seed: int, folder: Path, progress: Progress = lambda phase, at: None) -> Observations:
    """Play a plan in a folder that is new or empty. Raises ScaleError."""
    if folder.exists() and any(folder.iterdir()):
        raise ScaleError(f"{folder}: is not empty; legal: a new or empty folder", "--folder")
    return asyncio.run(_played(Runner(plan, seed, folder, progress)))


async def _played(runner: Runner) -> Observations:
    """Guards against processes left behind when this one is told to end while it plays."""
    playing = asyncio.ensure_future(runner.play())
    if threading.current_thread() is threading.main_thread():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        return await playing
    except asyncio.CancelledError:
        raise ScaleError("ended from outside before the play was over") from None
