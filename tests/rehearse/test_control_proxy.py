"""The proxy between gateways and control nodes, on loopback: what passes, what is written down, what faults do."""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager

import pytest
from stage import run_test

from tansykeel.audit.records import FrameSeen, RecordingEnded, read
from tansykeel.cluster.failure_detector import Ping
from tansykeel.cluster.membership import LeaseRequest
from tansykeel.cluster.messages import CODEC
from tansykeel.protocol.codec import Codec
from tansykeel.protocol.frames import (
    MOST_FIELDS,
    VERSION,
    Heartbeat,
    Hello,
    LeaseRenewal,
    SessionAccepted,
    SessionOpen,
    Watch,
    pack,
)
from tansykeel.rehearse.connection_faults import ConnectionFault, Ends, FaultKind, one_way_silence
from tansykeel.rehearse.control_proxy import ControlProxy, Traffic
from tansykeel.rehearse.proxy_plan import GatewayPlace, NodeTarget, ProxyPlan, ProxyPlanError, read_plan

GATEWAY_HELLO = Hello(VERSION, "gateway", "gateway-0", 10)
OPEN = SessionOpen("c", "gateway-0", "north")


async def node(reader, writer):
    """A control node that accepts every session and answers every heartbeat."""
    codec = Codec("gateway", "control")
    writer.write(pack(0, Hello(VERSION, "control", "control-0", 5)))
    with contextlib.suppress(OSError, asyncio.CancelledError):
        while data := await reader.read(1 << 16):
            for frame in codec.receive(data):
                if isinstance(frame.record, SessionOpen):
                    writer.write(pack(frame.stream, SessionAccepted("c", "control-0", 1, 1_000_000)))
                elif isinstance(frame.record, Heartbeat):
                    writer.write(pack(0, LeaseRenewal(1, frame.record.asked_at, 1, 1, 1)))
    writer.close()


class Client:
    def __init__(self, reader, writer):
        self.reader, self.writer, self.codec = reader, writer, Codec("control")

    def say(self, *records):
        for record in records:
            self.writer.write(pack(0, record))

    async def told(self, count):
        """So many records after the hello."""
        records = []
        while len(records) < count and (data := await self.reader.read(1 << 16)):
            records += [frame.record for frame in self.codec.receive(data) if not isinstance(frame.record, Hello)]
        return records


@asynccontextmanager
async def proxied(tmp_path, **plan):
    server = await asyncio.start_server(node, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    nodes = (NodeTarget("control-0", address, "north", 0), NodeTarget("control-1", "127.0.0.1:1", "north", 1))
    proxy = ControlProxy(ProxyPlan(nodes, (GatewayPlace("gateway-0", "north", 1),), **plan), tmp_path / "links.rec")
    ports = await proxy.open()

    async def connect(name="control-0"):
        return Client(*await asyncio.open_connection("127.0.0.1", ports[name]))

    try:
        yield proxy, connect
    finally:
        proxy.end()
        server.close()


def seen(tmp_path):
    return list(read(tmp_path / "links.rec"))


def test_frames_pass_whole_and_are_written_down_with_both_ends(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            gateway = await connect()
            for byte in pack(0, GATEWAY_HELLO) + pack(0, OPEN):
                gateway.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert await gateway.told(1) == [SessionAccepted("c", "control-0", 1, 1_000_000)]
            gateway.say(Heartbeat(1, 77, 0))
            assert await gateway.told(1) == [LeaseRenewal(1, 77, 1, 1, 1)]
            traffic.update(proxy.traffic)

    traffic = {}
    run_test(run())
    records = seen(tmp_path)
    assert [(r.message, r.direction) for r in records] == [
        ("SessionOpen", "to-node"),
        ("SessionAccepted", "to-gateway"),
        ("Heartbeat", "to-node"),
        ("LeaseRenewal", "to-gateway"),
    ]
    ends = {(r.sender, r.sender_incarnation, r.receiver, r.receiver_incarnation) for r in records[1:]}
    assert ends == {("gateway-0", 10, "control-0", 5), ("control-0", 5, "gateway-0", 10)}
    assert all(r.at <= r.passed for r in records) and [r.at for r in records] == sorted(r.at for r in records)
    assert traffic["gateway-0"].frames_sent == 3 and traffic["gateway-0"].frames_received == 3
    assert (
        traffic["control-0"].bytes_received
        == traffic["gateway-0"].bytes_sent
        == sum(len(pack(0, record)) for record in (GATEWAY_HELLO, OPEN, Heartbeat(1, 77, 0)))
    )


def test_between_nodes_the_clusters_messages_are_written_down_but_for_pings(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            other = await connect()
            other.say(Hello(VERSION, "control", "control-1", 6))
            other.say(*(Watch(*CODEC.encode(message)) for message in (Ping(1, ()), LeaseRequest(7, 1))))
            while proxy.traffic.get("control-1", Traffic()).frames_sent < 3:
                await asyncio.sleep(0.01)

    run_test(run())
    (record,) = seen(tmp_path)
    assert (record.direction, record.message, record.sender) == ("between-nodes", "LeaseRequest", "control-1")
    assert CODEC.decode(record.message, record.fields) == LeaseRequest(7, 1)


def test_a_one_way_silence_keeps_answers_back_and_lets_questions_through(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            gateway = await connect()
            gateway.say(GATEWAY_HELLO, OPEN)
            await gateway.told(1)
            proxy.cause(one_way_silence(Ends(name="control-0"), Ends(zone=1), 0.3))
            gateway.say(Heartbeat(1, 1, 0), Heartbeat(1, 2, 0))
            assert [record.asked_at for record in await gateway.told(2)] == [1, 2]

    run_test(run())
    heartbeats, renewals = ([r for r in seen(tmp_path) if r.message == name] for name in ("Heartbeat", "LeaseRenewal"))
    assert all(r.passed == r.at for r in heartbeats) and len(heartbeats) == 2
    assert all(r.passed - r.at > 200_000 for r in renewals) and len(renewals) == 2


def test_a_reset_ends_both_halves_and_a_later_connection_is_not_struck(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            gateway = await connect()
            gateway.say(GATEWAY_HELLO, OPEN)
            await gateway.told(1)
            proxy.cause(ConnectionFault(FaultKind.RESET, sender=Ends(zone=0), receiver=Ends(zone=0)))
            gateway.say(Heartbeat(1, 1, 0))
            assert len(await gateway.told(1)) == 1
            proxy.cause(ConnectionFault(FaultKind.RESET, sender=Ends(zone=1)))
            with pytest.raises(ConnectionResetError):
                await gateway.told(1)
            again = await connect()
            again.say(GATEWAY_HELLO, OPEN)
            assert len(await again.told(1)) == 1

    run_test(run())


def test_who_asks_for_a_node_that_is_not_there_sees_its_connection_end(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            gateway = await connect("control-1")
            gateway.say(GATEWAY_HELLO, OPEN)
            with pytest.raises(ConnectionResetError):
                await gateway.told(1)
            assert not proxy.connections

    run_test(run())


def test_what_is_no_frame_ends_its_connection(tmp_path):
    async def run():
        async with proxied(tmp_path) as (_, connect):
            gateway = await connect()
            gateway.writer.write(b"\x01\0\0\0" + (MOST_FIELDS + 1).to_bytes(4, "big") + bytes(20))
            with pytest.raises(ConnectionResetError):
                await gateway.told(1)

    run_test(run())


def test_a_gateway_that_ends_in_a_silence_is_learnt_of_after_it(tmp_path):
    async def run():
        async with proxied(tmp_path) as (proxy, connect):
            gateway = await connect()
            gateway.say(GATEWAY_HELLO, OPEN)
            await gateway.told(1)
            proxy.cause(one_way_silence(Ends(kind="gateway"), Ends(), 0.3))
            gateway.writer.close()
            await asyncio.sleep(0.1)
            assert len(proxy.connections) == 1
            while proxy.connections:
                await asyncio.sleep(0.02)

    run_test(run())


def test_a_record_that_reaches_its_bound_says_so(tmp_path):
    async def run():
        async with proxied(tmp_path, most_record_bytes=200) as (proxy, connect):
            gateway = await connect()
            gateway.say(GATEWAY_HELLO, OPEN, *(Heartbeat(1, n, 0) for n in range(20)))
            await gateway.told(21)
            left_out.append(proxy.recorder.left_out)

    left_out = []
    run_test(run())
    records = seen(tmp_path)
    assert [type(record) for record in records[-2:]] == [FrameSeen, RecordingEnded]
    assert [len(records) - 1 + left_out[0], left_out[0] > 0] == [42, True]


def test_a_plan_that_cannot_be_used_is_an_error(tmp_path):
    path = tmp_path / "plan.json"
    path.write_text('{"nodes": [{"name": "control-0"}]}')
    with pytest.raises(ProxyPlanError, match="missing required field `address`"):
        read_plan(path)
