"""A control node on sockets: a protocol error closes its own connection with one error; all others are still served."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest
from control_stage import REGION_UNITS, Connection, Gateway, run_first_node, wait_until, write_settings
from stage import run_test
from typer.testing import CliRunner

from tansykeel.cli.main import app
from tansykeel.cluster.failure_detector import Ping
from tansykeel.cluster.messages import CODEC
from tansykeel.control.node import ControlNode
from tansykeel.control_plane import program as control_program
from tansykeel.control_plane.program import EXIT_FAILED, ControlProgram
from tansykeel.edge.ask import NotTold, declare_gone, query_fleet
from tansykeel.protocol.frames import (
    CHECK,
    HEADER,
    MOST_FIELDS,
    ControlStatusRequest,
    Goodbye,
    Heartbeat,
    Hello,
    Kind,
    NodeOpen,
    SessionAccepted,
    SessionClose,
    SessionOpen,
    SessionRejected,
    TaskOf,
    Watch,
    pack,
)
from tansykeel.settings.build import load
from tansykeel.transport.sockets import address_of

TASK = TaskOf("v", "read", 1, 1, 0, 10**6, 1)
TOO_LONG = HEADER.pack(Kind.HEARTBEAT, 0, 0, MOST_FIELDS + 1, 0) + CHECK.pack(0)
PING = Watch(*CODEC.encode(Ping(1)))


async def gateway_with_all_units(address):
    """Return a gateway whose session is the only one of its region's only node, and whose lease has all units."""
    gateway = Gateway("edge-0", [address])
    while not isinstance(await gateway.open(address), SessionAccepted):
        await asyncio.sleep(0.1)
    while gateway.counted() < REGION_UNITS:
        assert await gateway.renew()
        await asyncio.sleep(0.1)
    return gateway


@pytest.mark.parametrize(
    "role, name, sent, expected",
    [
        ("gateway", "edge-9", SessionOpen("farm", "edge-9", "north"), "gateway 'edge-9': not among the gateways"),
        ("gateway", "edge-1", SessionOpen("other", "edge-1", "north"), "cluster 'other'; this control node is of"),
        ("gateway", "edge-1", SessionOpen("farm", "edge-1", "south"), "region 'south'; this control node is of"),
        ("gateway", "edge-1", Heartbeat(5, 1, 0), "a heartbeat of session 5, which this connection has not"),
        ("gateway", "edge-1", SessionClose(5), "a close of session 5, which this connection has not"),
        ("gateway", "edge-1", TASK, "TASK on stream 0: not legal from a peer of role 'gateway'"),
        ("gateway", "edge-1", TOO_LONG, "HEARTBEAT on stream 0: 65537 bytes; legal: 65536 at most"),
        ("client", "shell", TASK, "TaskOf: a control node has no tasks"),
        (
            "control",
            "n9",
            NodeOpen("farm", "north"),
            "control node 'n9' is no other one of region 'north'",
        ),
        ("store", "s", None, "role 'store'; expected: gateway or control or client"),
    ],
)
def test_protocol_error_closes_only_its_connection_with_one_error(tmp_path, role, name, sent, expected):
    async def go():
        async with run_first_node(tmp_path) as (_, address):
            served = await gateway_with_all_units(address)
            wrong = await Connection(role, name).connect(address)
            if isinstance(sent, bytes):
                await wait_until(lambda: not wrong.link.outgoing)  # the HELLO has been sent
                wrong.link.sock.send(sent)
            elif sent is not None:
                wrong.link.send(0, sent)
            if role == "gateway" and isinstance(sent, SessionOpen):
                rejection = await wrong.next(SessionRejected)
                assert expected in rejection.reason and rejection.retry_after == 0
            assert expected in await wrong.error()
            assert await served.renew() and served.counted() == REGION_UNITS

    run_test(go())


@pytest.mark.parametrize(
    "sent, expected",
    [
        ([NodeOpen("other", "north")], "NODE_OPEN: cluster 'other'; legal: 'farm'"),
        ([NodeOpen("farm", "south")], "NODE_OPEN: region 'south'; legal: 'north'"),
        ([PING], "WATCH before NODE_OPEN"),
        ([NodeOpen("farm", "north"), Watch("Rumour", b"")], "WATCH: message 'Rumour'; legal: "),
    ],
)
def test_control_node_of_another_cluster_or_region_is_rejected(tmp_path, sent, expected):
    async def go():
        async with run_first_node(tmp_path, nodes=3) as (program, address):
            wrong = await Connection("control", "n1").connect(address)
            for record in sent:
                wrong.link.send(0, record)
            assert expected in await wrong.error()
            others = program.agent.node.member.failure_detector.others
            assert others["n1"].incarnation == 0, "a message from the rejected node reached the core"

    run_test(go())


def test_session_ends_when_the_gateways_connection_is_lost(tmp_path):
    async def go():
        async with run_first_node(tmp_path) as (program, address):
            served = await gateway_with_all_units(address)
            assert program.agent.status().sessions == 1
            served.connection.link.abort("connection reset", reset=True)
            await wait_until(lambda: program.agent.status().sessions == 0, 0.5)

    run_test(go())


def test_stopping_node_sends_goodbye_first(tmp_path):
    async def go():
        async with run_first_node(tmp_path) as (program, address):
            served = await gateway_with_all_units(address)
            program.stopping.set()
            assert isinstance(await served.connection.received.get(), Goodbye)

    run_test(go())


def test_connections_over_the_limit_are_rejected_and_open_ones_are_still_served(tmp_path):
    async def go():
        async with run_first_node(tmp_path) as (program, address):
            served = await gateway_with_all_units(address)
            program.max_connections = 2
            await Connection("gateway", "edge-1").connect(address)
            await wait_until(lambda: len(program.last_received) == 2)
            late = await Connection("gateway", "edge-2").connect(address)
            assert "2 connections are open here already" in await late.error()
            assert await served.renew()

    run_test(go())


def test_idle_connection_is_closed_and_one_with_heartbeats_is_not(tmp_path, monkeypatch):
    monkeypatch.setattr(control_program, "IDLE_TIMEOUT_SECONDS", 0.6)
    monkeypatch.setattr(control_program, "IDLE_CHECK_SECONDS", 0.1)

    async def go():
        async with run_first_node(tmp_path) as (_, address):
            served = await gateway_with_all_units(address)
            silent = asyncio.create_task((await Connection("gateway", "edge-1").connect(address)).error())
            while not silent.done():
                assert await served.renew()
                await asyncio.sleep(0.1)
            assert "nothing came for 0.6 s" in await silent
            assert await served.renew()

    run_test(go())


def test_peer_that_does_not_read_is_dropped_and_uses_little_memory(tmp_path):
    async def go():
        async with run_first_node(tmp_path) as (program, address):
            served = await gateway_with_all_units(address)
            non_reader = socket.create_connection(address_of(address))
            non_reader.setblocking(False)
            frames = pack(0, Hello(1, "client", "non_reader")) + 100_000 * pack(1, ControlStatusRequest())
            sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(non_reader, frames))
            await wait_until(lambda: len(program.last_received) == 2)
            most_queued = 0
            while len(program.last_received) == 2:  # until the connection is dropped because the peer does not read
                assert await served.renew()
                most_queued = max(most_queued, *(link.outgoing.held for link in program.last_received))
                await asyncio.sleep(0.02)
            assert 0 < most_queued < 1 << 20
            sending.cancel()
            non_reader.close()

    run_test(go())


def test_view_is_formed_without_members_that_an_operator_declares_gone(tmp_path):
    async def go():
        async with run_first_node(tmp_path, nodes=3) as (_, address):
            assert (await query_fleet(address, 5)).number == 0
            with pytest.raises(NotTold, match="'n7' is no other member in the settings"):
                await declare_gone(address, ("n7",), 5)
            await declare_gone(address, ("n1", "n2"), 5)
            while not (status := await query_fleet(address, 5)).leased:
                await asyncio.sleep(0.1)
            assert [name for name, _ in status.members] == ["n0"] and status.part == 0

    run_test(go())


def test_internal_error_ends_the_program_with_its_own_exit_code(tmp_path, monkeypatch):
    def fails(*_):
        raise AssertionError("injected failure")

    async def go():
        path, _ = write_settings(tmp_path, 1)
        program = ControlProgram(load(path), 0, 1)
        monkeypatch.setattr(ControlNode, "tick", fails)
        assert await program.serve() == EXIT_FAILED

    run_test(go())


def test_control_status_prints_a_table_or_json_and_exits_with_0_if_the_node_has_a_lease(tmp_path):
    def run(*options):
        return asyncio.to_thread(CliRunner().invoke, app, ["control-status", *options])

    async def go():
        async with run_first_node(tmp_path) as (_, address):
            await gateway_with_all_units(address)
            table = await run(address)
            assert table.exit_code == 0 and "n0 of region north, cluster farm: view" in table.output
            assert "1 sessions (1 admitted" in table.output and "0.7000" in table.output
            status = json.loads((await run(address, "--json")).output)
            assert (status["node"], status["sessions"], status["nodes"][0]["units"]) == ("n0", 1, REGION_UNITS)
        unreachable = await run(address)
        assert unreachable.exit_code == 3 and "look whether it runs" in unreachable.output

    run_test(go())


def test_control_status_of_a_node_without_a_lease_exits_with_1(tmp_path):
    async def go():
        async with run_first_node(tmp_path, nodes=3) as (_, address):
            result = await asyncio.to_thread(CliRunner().invoke, app, ["control-status", address])
            assert result.exit_code == 1 and "no lease: it grants nothing" in result.output

    run_test(go())


@pytest.mark.parametrize(
    "change, options, expected",
    [
        (("share = 0.7", "share = 1.7"), [], "region('north').share: 1.7 is not legal"),
        (("", ""), ["--number", "3"], "number 3 is none; legal: 0 to 2"),
        (("", ""), ["--log", "xml"], "--log: 'xml'; legal: json or console"),
        (('region = "north"', 'region = "nord"'), [], "control_node('n0').region: 'nord' is none; legal: north"),
    ],
)
def test_node_does_not_start_with_wrong_settings_or_options(tmp_path, change, options, expected):
    path, _ = write_settings(tmp_path, 3)
    path.write_text(path.read_text().replace(*change) if change[0] else path.read_text())
    result = CliRunner().invoke(app, ["control", str(path), "--number", "0", *options])
    assert result.exit_code == 2 and expected in result.output


def test_node_whose_address_is_in_use_reports_the_address(tmp_path):
    path, (address,) = write_settings(tmp_path, 1)
    with socket.create_server(address_of(address)):
        result = CliRunner().invoke(app, ["control", str(path), "--number", "0"])
    assert result.exit_code == 2 and f"{address}: " in result.output and "in use" in result.output


def test_check_summarises_the_control_plane_of_the_example(request):
    example = request.config.rootpath / "examples" / "control.star"
    result = CliRunner().invoke(app, ["check", str(example)])
    assert result.exit_code == 0
    assert "control plane shop: 2 regions, 6 control nodes, 5 gateways" in result.output
