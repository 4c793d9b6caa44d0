"""`python -m tansykeel.benchlink`: the decisions on standard input and output."""

from __future__ import annotations

import gc
import sys

from tansykeel.benchlink.host import Host
from tansykeel.benchlink.wire import Malformed, read_batches


def main() -> int:
    gc.freeze()
    host = Host()
    out = sys.stdout.buffer
    try:
        for clock, events in read_batches(sys.stdin.buffer):
            out.write(host.reply(clock, events))
            out.flush()
    except Malformed as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
