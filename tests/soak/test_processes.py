"""Guards against a soak that ends a gateway by a signal that the platform's start ignores.

What happened: seed 3008 beside a full score broke "no crash", exit code -1. The soak sends SIGHUP 0.1 s after a start
at the earliest, and a gateway has its handlers after 0.08 to 0.09 s, under load after 0.19 to 0.39 s. `run` of the
deploy file ignores SIGHUP until then; the soak's gateways did not.
"""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

from tansykeel.soak.processes import GatewayProcess

ROOT = Path(__file__).parents[2]


def ignored_signals(**start):
    """Return the mask of signals that a child ignores as its program begins."""
    status = subprocess.run(["cat", "/proc/self/status"], capture_output=True, text=True, check=True, **start).stdout
    return int(next(line for line in status.splitlines() if line.startswith("SigIgn")).split()[1], 16)


def test_a_soaks_gateway_ignores_the_signal_that_run_ignores_until_it_handles_it():
    assert "trap '' HUP" in (ROOT / "deploy" / "balancer.toml").read_text()
    assert ignored_signals(preexec_fn=GatewayProcess._prepare) & 1 << (signal.SIGHUP - 1)
