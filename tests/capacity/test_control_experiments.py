"""Experiments of the control plane, played small: one region of real control nodes with a few hollow gateways."""

import os
import socket

import pytest

from tansykeel.capacity.control_plane import control_plane, hollow_gateways
from tansykeel.capacity.experiments.control_changes import seconds_of_change
from tansykeel.capacity.experiments.control_sessions import quiet_samples
from tansykeel.capacity.socket_traffic import traffic_of_process

GATEWAYS = 12  # so many that each node has some
HEARTBEAT_AND_RENEWAL = 60  # bytes, with the heads of their frames


def test_traffic_of_a_process_is_that_of_its_open_connections():
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        accepted, _ = server.accept()
        with accepted:
            before = traffic_of_process(os.getpid())
            client.sendall(b"x" * 1_000)
            received = 0
            while received < 1_000:
                received += len(accepted.recv(1_000))
            gone = traffic_of_process(os.getpid()) - before
            assert gone.bytes_sent == gone.bytes_received == 1_000
            assert gone.segments_sent >= 1 and gone.segments_received >= 1


def test_a_quiet_control_plane_is_measured_and_its_leader_dies():
    with control_plane(GATEWAYS) as plane, hollow_gateways(plane, per_process=6) as gateways:
        assert len(gateways.processes) == 2
        samples = {sample.series: sample for sample in quiet_samples(plane, gateways, 2.0)}
        assert len(samples) == 9 and all(sample.value > 0 for sample in samples.values())
        median, busiest = samples["session-bytes-median"], samples["session-bytes-busiest"]
        assert HEARTBEAT_AND_RENEWAL < median.value <= busiest.value < samples["session-bytes-wire"].value < 3_000
        leader, follower = samples["control-leader-bytes"], samples["control-follower-bytes"]
        assert leader.size + 2 * follower.size == pytest.approx(GATEWAYS)
        assert 3 < seconds_of_change(plane, gateways) < 60  # the dead node's leases count on for up to 3 s
