"""A simulated store keeps its port while it is down for a restart.

What happens: `test_a_short_bad_day_keeps_all_rules` failed once. A store that was to come back ended with EADDRINUSE.

Why: its port was given by the system, from the range for outgoing connections, and it was free while the store was
down. A connection of any process could take it in that time.

What showed it: the store's end in the test's output, and a probe that takes the port while the store is down, which
ends it the same way each time. Here that probe fails.
"""

from __future__ import annotations

import errno
import json
import socket
import subprocess
import sys
import time

import pytest


def told(process, event):
    """Return the next line of the store that tells this event."""
    for line in process.stdout:
        if (record := json.loads(line))["event"] == event:
            return record
    raise AssertionError(f"the store ended with {process.wait()}")


@pytest.mark.parametrize("reuse", [True, False])
def test_a_port_of_a_store_that_is_down_can_not_be_taken(tmp_path, reuse):
    command = [sys.executable, "-m", "tansykeel", "store", "--name", "s", "--data", str(tmp_path / "data")]
    process = subprocess.Popen(
        [*command, "--record", str(tmp_path / "record")], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        address = told(process, "up")["address"]
        port = int(address.rpartition(":")[2])
        process.stdin.write(json.dumps({"verb": "restart", "down_s": 1.0}) + "\n")
        process.stdin.flush()
        until, refused = time.monotonic() + 0.9, 0
        while time.monotonic() < until:
            with socket.socket() as client:
                refused += client.connect_ex(("127.0.0.1", port)) == errno.ECONNREFUSED
            with socket.socket() as other:
                if reuse:
                    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    other.bind(("127.0.0.1", port))
                    other.listen()
                except OSError as error:
                    assert error.errno == errno.EADDRINUSE
                else:
                    raise AssertionError("the port could be taken while the store is down")
            time.sleep(0.01)
        assert refused > 10
        assert told(process, "up")["address"] == address
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", port), 2) as client:
                assert client.recv(1), "its hello"
    finally:
        process.kill()
        process.communicate()
