"""Signals that come before the event loop can handle them. Imports next to nothing, so that it is there early."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from types import FrameType
from typing import Any, Protocol

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class SignalLoop(Protocol):
    """What is needed of an event loop."""

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:
        """Call `callback` in the loop for each such signal from now on."""


class StartSignals:
    """Keeps the signals that come while the program starts, each with its first time on the monotonic clock."""

    def __init__(self) -> None:
        self.received: dict[int, float] = {}

    def install(self) -> None:
        """Keep signals from now on, in place of their default action."""
        for number in HANDLED:
            signal.signal(number, self._keep)

    def hand_over(self, loop: SignalLoop, handlers: Mapping[signal.Signals, Callable[[float], None]]) -> None:
        """Let the loop handle signals from now on; the handlers are told of those kept, with their times."""
        for number, handler in handlers.items():
            loop.add_signal_handler(number, lambda handler=handler: handler(time.monotonic()))
        for kept, received_at in sorted(self.received.items(), key=lambda item: item[1]):
            handlers[signal.Signals(kept)](received_at)
        self.received.clear()

    def _keep(self, number: int, frame: FrameType | None) -> None:
        self.received.setdefault(number, time.monotonic())
