"""The log of the command line's programs on a standard error that nobody reads."""

from __future__ import annotations

import fcntl
import os
import subprocess
import sys
from contextlib import suppress

import pytest

PROGRAM = """
from tansykeel.cli.logs import set_up
import structlog

set_up("json")
log = structlog.get_logger()
for number in range(2000):
    log.info("something", number=number)
"""


@pytest.mark.parametrize("kind", ["gone", "stalled"])
def test_a_log_that_nobody_reads_neither_ends_nor_holds_up_its_program(kind):
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while os.write(write_end, b"\n" * 4096):
            pass
    os.set_blocking(write_end, True)
    if kind == "gone":
        os.close(read_end)
    done = subprocess.run([sys.executable, "-c", PROGRAM], stderr=write_end, timeout=15, check=False)
    assert done.returncode == 0


def test_every_line_is_whole_where_somebody_reads():
    done = subprocess.run([sys.executable, "-c", PROGRAM], stderr=subprocess.PIPE, timeout=15, check=True)
    lines = done.stderr.splitlines()
    assert len(lines) > 0 and all(line.startswith(b"{") and line.endswith(b"}") for line in lines)
