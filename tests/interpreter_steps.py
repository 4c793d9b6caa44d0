"""Costs that are the same on each machine: the steps that the interpreter takes."""

from __future__ import annotations

import sys


def steps(call):
    """Return how many steps of the interpreter a call takes."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
