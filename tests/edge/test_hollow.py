"""Hollow gateways in a process of their own with control nodes on loopback: commands, reports, records, shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import msgspec
import pytest
from control_node_script import UNITS, ScriptedNode, control_settings
from stage import free_address, run_test, until

from tansykeel.audit.records import read
from tansykeel.control.actions import WHOLE_UNITS, EffectiveLease
from tansykeel.edge.hollow.lease_time import LeaseTime
from tansykeel.edge.hollow.report import HEADER_BYTES, FullReport
from tansykeel.protocol.frames import SessionClose, SessionOpen

GATEWAYS = 20
NAMES = {f"edge-{number}" for number in range(GATEWAYS)}


class HollowProcess:
    """A process of hollow gateways, its commands and its answers."""

    def __init__(self, process):
        self.process = process

    async def read_event(self):
        line = await self.process.stdout.readline()
        return json.loads(line)

    async def ask(self, **command):
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self.read_event()

    async def end(self):
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0


async def start_tansykeel(*arguments):
    """Start a process of the command line program with its standard streams as pipes."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tansykeel", *map(str, arguments), stdin=-1, stdout=-1, stderr=-1
    )


async def end_process(process):
    """Kill a process if it still runs, and wait until it has ended."""
    if process.returncode is None:
        process.kill()
    await process.communicate()


@asynccontextmanager
async def hollow_process(tmp_path, settings, *options):
    path = tmp_path / "settings.star"
    path.write_text(settings)
    arguments = ["--count", GATEWAYS, "--record", tmp_path / "claims", "--leashed", *options]
    process = await start_tansykeel("hollow", path, *arguments)
    try:
        hollow_gateways = HollowProcess(process)
        assert await hollow_gateways.read_event() == {"event": "ready", "gateways": GATEWAYS}
        yield hollow_gateways
    finally:
        await end_process(process)


@asynccontextmanager
async def hollow(tmp_path, *options):
    """Start three scripted control nodes and a process of hollow gateways, and wait until it is ready."""
    nodes = [await ScriptedNode(f"n{number}", free_address()).start() for number in range(3)]
    try:
        settings = control_settings([node.address for node in nodes], GATEWAYS)
        async with hollow_process(tmp_path, settings, *options) as process:
            yield process, nodes
    finally:
        for node in nodes:
            await node.stop()


def opened_sessions(nodes):
    """Name and incarnation of the gateway of each SESSION_OPEN that the nodes received."""
    return [(name, boot) for node in nodes for name, boot, record in node.received if isinstance(record, SessionOpen)]


def closed_sessions(nodes):
    """Name of the gateway of each SESSION_CLOSE that the nodes received."""
    return [name for node in nodes for name, _, record in node.received if isinstance(record, SessionClose)]


async def until_all_leased(process):
    while (await process.ask(do="report"))["leased"] < GATEWAYS:
        await asyncio.sleep(0.02)


def test_sessions_are_spread_over_the_nodes_and_closed_at_the_end_with_a_report(tmp_path):
    async def scenario():
        async with hollow(tmp_path, "--report", tmp_path / "report.json") as (process, nodes):
            await until_all_leased(process)
            assert {name for name, _ in opened_sessions(nodes)} == NAMES and len(opened_sessions(nodes)) == GATEWAYS
            assert all(len(node.gateways()) >= 2 for node in nodes)
            await asyncio.sleep(1.1)
            await process.end()
            await until(lambda: set(closed_sessions(nodes)) == NAMES)

    run_test(scenario())
    report = msgspec.json.decode((tmp_path / "report.json").read_bytes(), type=FullReport)
    totals = report.totals
    assert totals.sessions == totals.leased == totals.running == GATEWAYS
    assert totals.units == GATEWAYS * UNITS == report.series[-1].units
    assert totals.proportional_bytes <= totals.resident_bytes and totals.user_s + totals.system_s > 0
    assert sum(gateway.bytes_sent for gateway in report.gateways) <= totals.bytes_sent
    for gateway in report.gateways:
        # Sent: a hello, a SESSION_OPEN and heartbeats. Received: a renewal for each heartbeat.
        assert gateway.bytes_sent > 300 and gateway.bytes_received > 300 and gateway.starts == 1
        segments = gateway.segments_sent + gateway.segments_received
        assert gateway.bytes_with_headers == gateway.bytes_sent + gateway.bytes_received + HEADER_BYTES * segments
        assert 0 < gateway.first_lease_s == gateway.longest_without_lease_s == gateway.without_lease_s < 5
    assert report.series[-1].sessions == GATEWAYS
    claims = list(read(tmp_path / "claims"))
    assert {claim.gateway for claim in claims} == NAMES
    assert not any({claim.gateway: claim.node for claim in claims}.values()), (
        "the last claim of each gateway has no lease"
    )


def test_a_range_is_killed_without_closing_its_sessions_and_started_as_new_incarnations(tmp_path):
    async def scenario():
        async with hollow(tmp_path) as (process, nodes):
            await until_all_leased(process)
            assert (await process.ask(do="kill", first=4, count=10)) == {"event": "done", "do": "kill"}
            report = await process.ask(do="report", file=str(tmp_path / "half.json"))
            assert report["running"] == report["sessions"] == 10 and report["gateways"] == 20
            await until(lambda: sum(len(node.links) for node in nodes) == 10)
            assert not closed_sessions(nodes)
            assert (await process.ask(do="start", first=0, count=20)) == {"event": "done", "do": "start"}
            await until_all_leased(process)
            restarted = {f"edge-{number}" for number in range(4, 14)}
            incarnations = {
                name: {boot for gateway, boot in opened_sessions(nodes) if gateway == name} for name in NAMES
            }
            assert {name for name in NAMES if len(incarnations[name]) == 2} == restarted
            await process.ask(do="close", first=0, count=1)
            await until(lambda: closed_sessions(nodes) == ["edge-0"])

    run_test(scenario())
    half = msgspec.json.decode((tmp_path / "half.json").read_bytes(), type=FullReport)
    assert [gateway.number for gateway in half.gateways if not gateway.running] == list(range(4, 14))
    assert all(gateway.bytes_sent > 100 for gateway in half.gateways), "the traffic of ended connections still counts"


def largest_sum(claims):
    """Return the most units that all gateways together held leases on at any moment."""
    newest, largest = {}, 0
    for claim in sorted(claims, key=lambda claim: claim.at):
        newest[claim.gateway] = claim
        largest = max(largest, sum(other.units for other in newest.values() if other.until > claim.at))
    return largest


def test_leases_of_hollow_and_real_gateways_never_exceed_the_whole_when_a_real_control_node_dies(tmp_path):
    async def scenario():
        addresses = [free_address() for _ in range(3)]
        settings = control_settings(addresses, GATEWAYS + 1, lease_ms=1_500, heartbeat_ms=300)
        path = tmp_path / "settings.star"
        path.write_text(settings)
        nodes = [await start_tansykeel("control", path, "--leashed", "--number", number) for number in range(3)]
        edge = await start_tansykeel(
            *("edge", path, "--number", GATEWAYS, "--count", GATEWAYS + 1, "--record", tmp_path / "edge-claims")
        )
        try:
            async with hollow_process(tmp_path, settings) as process:
                await until_all_leased(process)
                nodes[0].kill()
                await process.ask(do="kill", first=0, count=10)
                await process.ask(do="start", first=0, count=10)
                await until_all_leased(process)
                await asyncio.sleep(1.5)  # the length of a lease: those of the dead node have expired
                await until_all_leased(process)
                await process.end()
                edge.terminate()
                assert await edge.wait() == 0
        finally:
            for one in (*nodes, edge):
                await end_process(one)

    run_test(scenario())
    claims = [*read(tmp_path / "claims"), *read(tmp_path / "edge-claims")]
    assert {claim.gateway for claim in claims if claim.units} == NAMES | {f"edge-{GATEWAYS}"}
    assert {claim.node for claim in claims} == {"n0", "n1", "n2", ""}
    assert WHOLE_UNITS / 3 < largest_sum(claims) <= WHOLE_UNITS


@pytest.mark.parametrize(
    "command, what",
    [
        ({"do": "dance"}, "'dance'"),
        ({"do": "kill", "first": 19, "count": 2}, "numbers from 0 to 19"),
        ({"do": "kill", "first": 0}, "count"),
        ({"do": "report", "file": "/nowhere/at/all"}, "No such file"),
    ],
)
def test_an_invalid_command_is_answered_with_an_error_and_changes_nothing(tmp_path, command, what):
    async def scenario():
        async with hollow(tmp_path) as (process, _):
            answer = await process.ask(**command)
            assert answer["event"] == "failed" and what in answer["what"] and answer["do"]
            assert (await process.ask(do="report"))["running"] == GATEWAYS

    run_test(scenario())


def test_the_process_ends_with_its_standard_input_and_after_the_given_time(tmp_path):
    async def scenario():
        async with hollow(tmp_path) as (process, _):
            process.process.stdin.close()
            assert await process.process.wait() == 0
        async with hollow(tmp_path, "--seconds", 0.3) as (process, nodes):
            await until_all_leased(process)
            assert await process.process.wait() == 0
            await until(lambda: set(closed_sessions(nodes)) == NAMES)

    run_test(scenario())


@pytest.mark.parametrize(
    "text, options, what",
    [
        (control_settings([free_address()]), ["--first", "10", "--count", "11"], "numbers from 0 to 19"),
        (control_settings([free_address()]).split("control(")[0], [], "no control plane"),
    ],
)
def test_settings_and_options_that_cannot_run_are_rejected_with_one_error(tmp_path, text, options, what):
    settings = tmp_path / "settings.star"
    settings.write_text(text)
    command = [sys.executable, "-m", "tansykeel", "hollow", str(settings), *options]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 2 and what in result.stderr and len(result.stderr.splitlines()) == 2


def test_time_without_a_lease_is_counted_while_a_gateway_runs():
    lease_time = LeaseTime()
    lease = EffectiveLease("n0", 1, 1, 5, 300)
    none = EffectiveLease("", 0, 0, 0, 0)
    lease_time.start(100)
    lease_time.claim(100, none)
    lease_time.claim(150, lease)  # the first lease after 50
    assert lease_time.first_lease == 50 and lease_time.leased(299) and not lease_time.leased(300)
    assert lease_time.without_until(320) == 70
    lease_time.claim(320, EffectiveLease("n0", 1, 2, 5, 420))  # a gap of 20 since the lease expired
    lease_time.claim(360, none)  # lost before it expired
    lease_time.stop(400)  # a gap of 40
    assert lease_time.without_until(900) == 110 and lease_time.longest_until(900) == 50
    lease_time.start(1_000)
    assert lease_time.first_lease is None and lease_time.without_until(1_010) == 120
