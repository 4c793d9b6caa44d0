"""Maintenance between processes of the program: a canary that crashes, and operator commands that are refused."""

from __future__ import annotations

import json
import subprocess
import sys

from tansykeel.rehearse.gateway_processes import free_ports
from tansykeel.rehearse.play import day_of, play


def test_canary_that_crashes_is_halted_and_rolled_back_and_nothing_else_went_out(tmp_path):
    verdict = play(day_of("badcanary", 48, {"at": 1.0, "back_s": 3.0}), 1, tmp_path / "day")
    assert not any(verdict.rules.values()) and {"room", "orders"} <= set(verdict.rules)
    assert verdict.release["state"] == "given up" and verdict.release["went"] == ["edge-0"]


def run_command(*arguments):
    return subprocess.run([sys.executable, "-m", "tansykeel", *arguments], capture_output=True, text=True, timeout=30)


def test_operator_commands_fail_on_a_gateway_without_accord(tmp_path):
    port = free_ports(1)[0]
    script = tmp_path / "one.star"
    script.write_text(
        f'gateway("edge", listen = "127.0.0.1:{port}")\nplan("basic", rate = 10)\n'
        'category("read", soft_limit_ms = 250, cut_off_ms = 900)\n'
        'store("s", address = "127.0.0.1:9", shard = 0)\n'
    )
    edge = subprocess.Popen(
        [sys.executable, "-m", "tansykeel", "edge", str(script), "--leashed"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert json.loads(edge.stdout.readline())["event"] == "ready"
        result = run_command("accord", "status", f"127.0.0.1:{port}")
        assert result.returncode == 3 and "settings have accord(...)" in result.stderr
        result = run_command("fleet", "without", f"127.0.0.1:{port}", "edge-1", "--yes")
        assert result.returncode == 3 and "agrees with no others" in result.stderr
    finally:
        edge.stdin.close()
        edge.wait(20)
