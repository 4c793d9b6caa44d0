"""`python -m tansykeel.benchlink`: runs the scheduler for the simulator, over standard input and output."""

from __future__ import annotations

import gc
import sys

from tansykeel.benchlink.host import Adapter
from tansykeel.benchlink.wire import Malformed, read_batches


def main() -> int:
    """Answer batches until the input ends. Returns the exit code: 2 after a malformed frame."""
    gc.freeze()  # the garbage collector need not look at what the imports made
    adapter = Adapter()
    output = sys.stdout.buffer
    try:
        for clock, events in read_batches(sys.stdin.buffer):
            output.write(adapter.handle_batch(clock, events))
            output.flush()
    except Malformed as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
