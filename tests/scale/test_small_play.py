"""The small plan on real sockets: three control nodes, twenty hollow gateways, the leader killed."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from tansykeel.audit.records import LeaseClaimed, Recorder
from tansykeel.scale.observations import RECORDS, read_observations
from tansykeel.scale.plan import SMALL, Phase
from tansykeel.scale.processes import ScaleError
from tansykeel.scale.report import report_on
from tansykeel.scale.runner import Runner, play


def test_the_small_plan_keeps_the_rules_and_the_bound_on_a_change_of_leader(tmp_path):
    play(SMALL, 1, tmp_path)
    report = report_on(tmp_path)
    assert report.findings == () and report.records > 500
    quiet, killed = report.phases
    assert sum(quiet.sessions.values()) == sum(killed.sessions.values()) == SMALL.gateways
    (leader,) = read_observations(tmp_path).phases[1].struck
    assert killed.sessions[leader] == 0
    assert killed.leader_change_s is not None and killed.units_restored_s is not None
    assert [bound for bound in report.bounds if not bound.kept] == []
    assert quiet.stream_bytes_a_second.count == SMALL.gateways
    with pytest.raises(ScaleError, match="not empty"):
        play(SMALL, 1, tmp_path)
    _claim_too_much(tmp_path)
    assert not report_on(tmp_path).rules_kept


def _claim_too_much(folder):
    """Add the record of a gateway that counts by a session which it never had."""
    recorder = Recorder(folder / RECORDS / "planted.rec")
    at = read_observations(folder).phases[0].end
    recorder.add(LeaseClaimed(at, "gateway-0", 1, "control-east-0", 999, 1, 10**9, at + 1_000_000))
    recorder.close()


def test_nothing_is_left_behind_where_a_gateway_process_ends_or_the_play_is_ended(tmp_path):
    async def broken(end):
        phases = (Phase(name="quiet", fault="none", fault_s=60),)
        runner = Runner(SMALL.with_phases(phases), 1, tmp_path / end)
        playing = asyncio.create_task(runner.play())
        while not runner.usage:
            await asyncio.sleep(0.05)
        if end == "cancel":
            playing.cancel()
        else:
            runner.stage.hollow["hollow-east-0"].send_signal(signal.SIGKILL)
        try:
            await playing
        finally:
            assert len(runner.group.started) == 6
            for running in runner.group.started:
                with pytest.raises(ProcessLookupError):
                    os.kill(running.pid, 0)

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(broken("cancel"))
    with pytest.raises(ScaleError, match="ended with -9"):
        asyncio.run(broken("kill"))
