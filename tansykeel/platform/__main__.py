"""`python -m tansykeel.platform`: one gateway on the operators' platform."""

from __future__ import annotations

import sys

from tansykeel.platform.start_signals import StartSignals


def start() -> int:
    """Keep signals while the program is imported, then run it; return its exit code."""
    signals = StartSignals()
    signals.install()
    from tansykeel.platform.program import main

    return main(signals)


if __name__ == "__main__":
    sys.exit(start())
