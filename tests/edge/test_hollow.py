"""Hollow gateways in a process of their own, before control nodes on loopback: commands, report, records, the end."""

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
from tansykeel.control.actions import WHOLE_UNITS, CountedLease
from tansykeel.edge.hollow.lease_time import LeaseTime
from tansykeel.edge.hollow.report import HEADER_BYTES, FullReport
from tansykeel.protocol.frames import SessionClose, SessionOpen

GATEWAYS = 20
NAMES = {f"edge-{number}" for number in range(GATEWAYS)}


class HollowProcess:
    def __init__(self, process):
        self.process = process

    async def said(self):
        line = await self.process.stdout.readline()
        return json.loads(line)

    async def ask(self, **command):
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self.said()

    async def end(self):
        self.process.send_signal(signal.SIGTERM)
        assert await self.process.wait() == 0


async def tansykeel(*words):
    """A process of the program, its standard streams as pipes."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tansykeel", *map(str, words), stdin=-1, stdout=-1, stderr=-1
    )


async def ended(process):
    if process.returncode is None:
        process.kill()
    await process.communicate()


@asynccontextmanager
async def hollow_process(tmp_path, settings, *options):
    path = tmp_path / "settings.star"
    path.write_text(settings)
    words = ["--count", GATEWAYS, "--record", tmp_path / "claims", "--leashed", *options]
    process = await tansykeel("hollow", path, *words)
    try:
        made = HollowProcess(process)
        assert await made.said() == {"event": "ready", "gateways": GATEWAYS}
        yield made
    finally:
        await ended(process)


@asynccontextmanager
async def hollow(tmp_path, *options):
    """Three scripted nodes and a process of hollow gateways that is ready."""
    nodes = [await ScriptedNode(f"n{number}", free_address()).start() for number in range(3)]
    try:
        settings = control_settings([node.address for node in nodes], GATEWAYS)
        async with hollow_process(tmp_path, settings, *options) as process:
            yield process, nodes
    finally:
        for node in nodes:
            await node.stop()


def opens(nodes):
    return [(name, boot) for node in nodes for name, boot, record in node.received if isinstance(record, SessionOpen)]


def closes(nodes):
    return [name for node in nodes for name, _, record in node.received if isinstance(record, SessionClose)]


async def until_all_leased(process):
    while (await process.ask(do="report"))["leased"] < GATEWAYS:
        await asyncio.sleep(0.02)


def test_all_open_a_session_spread_over_the_nodes_and_close_them_at_the_end_with_a_report(tmp_path):
    async def go():
        async with hollow(tmp_path, "--report", tmp_path / "report.json") as (process, nodes):
            await until_all_leased(process)
            assert {name for name, _ in opens(nodes)} == NAMES and len(opens(nodes)) == GATEWAYS
            assert all(len(node.gateways()) >= 2 for node in nodes)
            await asyncio.sleep(1.1)
            await process.end()
            await until(lambda: set(closes(nodes)) == NAMES)

    run_test(go())
    report = msgspec.json.decode((tmp_path / "report.json").read_bytes(), type=FullReport)
    totals = report.totals
    assert totals.sessions == totals.leased == totals.running == GATEWAYS
    assert totals.units == GATEWAYS * UNITS == report.series[-1].units
    assert totals.proportional_bytes <= totals.resident_bytes and totals.user_s + totals.system_s > 0
    assert sum(gateway.bytes_sent for gateway in report.gateways) <= totals.bytes_sent
    for gateway in report.gateways:
        # a hello, a SESSION_OPEN and heartbeats out; as many renewals in
        assert gateway.bytes_sent > 300 and gateway.bytes_received > 300 and gateway.starts == 1
        segments = gateway.segments_sent + gateway.segments_received
        assert gateway.bytes_with_headers == gateway.bytes_sent + gateway.bytes_received + HEADER_BYTES * segments
        assert 0 < gateway.first_lease_s == gateway.longest_without_lease_s == gateway.without_lease_s < 5
    assert report.series[-1].sessions == GATEWAYS
    claims = list(read(tmp_path / "claims"))
    assert {claim.gateway for claim in claims} == NAMES
    assert not any({claim.gateway: claim.node for claim in claims}.values()), "the last claim of each is the safe part"


def test_a_range_is_killed_without_a_word_and_started_as_new_incarnations(tmp_path):
    async def go():
        async with hollow(tmp_path) as (process, nodes):
            await until_all_leased(process)
            assert (await process.ask(do="kill", first=4, count=10)) == {"event": "done", "do": "kill"}
            report = await process.ask(do="report", file=str(tmp_path / "half.json"))
            assert report["running"] == report["sessions"] == 10 and report["gateways"] == 20
            await until(lambda: sum(len(node.links) for node in nodes) == 10)
            assert not closes(nodes)
            assert (await process.ask(do="start", first=0, count=20)) == {"event": "done", "do": "start"}
            await until_all_leased(process)
            again = {f"edge-{number}" for number in range(4, 14)}
            incarnations = {name: {boot for one, boot in opens(nodes) if one == name} for name in NAMES}
            assert {name for name in NAMES if len(incarnations[name]) == 2} == again
            await process.ask(do="close", first=0, count=1)
            await until(lambda: closes(nodes) == ["edge-0"])

    run_test(go())
    half = msgspec.json.decode((tmp_path / "half.json").read_bytes(), type=FullReport)
    assert [gateway.number for gateway in half.gateways if not gateway.running] == list(range(4, 14))
    assert all(gateway.bytes_sent > 100 for gateway in half.gateways), "what ended connections carried still counts"


def largest_sum(claims):
    """The most units that all gateways together counted at any moment."""
    held, largest = {}, 0
    for claim in sorted(claims, key=lambda claim: claim.at):
        held[claim.gateway] = claim
        largest = max(largest, sum(one.units for one in held.values() if one.until > claim.at))
    return largest


def test_real_control_nodes_lease_to_hollow_and_real_gateways_through_the_death_of_a_node(tmp_path):
    async def go():
        addresses = [free_address() for _ in range(3)]
        settings = control_settings(addresses, GATEWAYS + 1, lease_ms=1_500, heartbeat_ms=300)
        path = tmp_path / "settings.star"
        path.write_text(settings)
        nodes = [await tansykeel("control", path, "--leashed", "--number", number) for number in range(3)]
        edge = await tansykeel(
            *("edge", path, "--number", GATEWAYS, "--count", GATEWAYS + 1, "--record", tmp_path / "edge-claims")
        )
        try:
            async with hollow_process(tmp_path, settings) as process:
                await until_all_leased(process)
                nodes[0].kill()
                await process.ask(do="kill", first=0, count=10)
                await process.ask(do="start", first=0, count=10)
                await until_all_leased(process)
                await asyncio.sleep(1.5)  # a lease: none of the dead node counts any more
                await until_all_leased(process)
                await process.end()
                edge.terminate()
                assert await edge.wait() == 0
        finally:
            for one in (*nodes, edge):
                await ended(one)

    run_test(go())
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
def test_a_wrong_command_is_answered_and_changes_nothing(tmp_path, command, what):
    async def go():
        async with hollow(tmp_path) as (process, _):
            answer = await process.ask(**command)
            assert answer["event"] == "failed" and what in answer["what"] and answer["do"]
            assert (await process.ask(do="report"))["running"] == GATEWAYS

    run_test(go())


def test_it_ends_with_its_standard_input_and_after_its_time(tmp_path):
    async def go():
        async with hollow(tmp_path) as (process, _):
            process.process.stdin.close()
            assert await process.process.wait() == 0
        async with hollow(tmp_path, "--seconds", 0.3) as (process, nodes):
            await until_all_leased(process)
            assert await process.process.wait() == 0
            await until(lambda: set(closes(nodes)) == NAMES)

    run_test(go())


@pytest.mark.parametrize(
    "text, options, what",
    [
        (control_settings([free_address()]), ["--first", "10", "--count", "11"], "numbers from 0 to 19"),
        (control_settings([free_address()]).split("control(")[0], [], "no control plane"),
    ],
)
def test_what_cannot_run_is_one_clear_error(tmp_path, text, options, what):
    settings = tmp_path / "settings.star"
    settings.write_text(text)
    words = [sys.executable, "-m", "tansykeel", "hollow", str(settings), *options]
    ended = subprocess.run(words, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 2 and what in ended.stderr and len(ended.stderr.splitlines()) == 2


def test_time_without_a_lease_is_counted_while_a_gateway_runs():
    time = LeaseTime()
    lease = CountedLease("n0", 1, 1, 5, 300)
    none = CountedLease("", 0, 0, 0, 0)
    time.start(100)
    time.claim(100, none)
    time.claim(150, lease)  # 50 until the first lease
    assert time.first_lease == 50 and time.leased(299) and not time.leased(300)
    assert time.without_until(320) == 70
    time.claim(320, CountedLease("n0", 1, 2, 5, 420))  # 20 more since the lease ended
    time.claim(360, none)  # dropped before it ended
    time.stop(400)  # 40 more
    assert time.without_until(900) == 110 and time.longest_until(900) == 50
    time.start(1_000)
    assert time.first_lease is None and time.without_until(1_010) == 120
