"""`python -m tansykeel.platform` runs one gateway on the platform."""

from __future__ import annotations

import sys

from tansykeel.platform.start_signals import StartSignals


def start() -> int:
    """Record signals while the program is imported, then run it and return its exit code."""
    signals = StartSignals()
    signals.install()
    from tansykeel.platform.program import main

    return main(signals)


if __name__ == "__main__":
    sys.exit(start())
