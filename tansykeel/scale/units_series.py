"""How much gateways counted together over time, on a fixed grid."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import numpy as np

from tansykeel.scale.frames_seen import LeaseSpan
from tansykeel.scale.statistics import Interval

GRID = 50_000  # microseconds between two moments


def units_series(leases: Mapping[str, Sequence[LeaseSpan]], bounds: Interval) -> tuple[list[int], list[int]]:
    """Return moments between the bounds, and the units of all leases that stood at each."""
    cells = max((bounds[1] - bounds[0]) // GRID, 1)
    changes = np.zeros(cells + 1, dtype=np.int64)
    for spans in leases.values():
        for span in spans:
            begin = _cell(span.begin, bounds[0], cells)
            end = _cell(span.end, bounds[0], cells)
            changes[begin] += span.units
            changes[end] -= span.units
    sums = np.cumsum(changes)[:cells]
    return [bounds[0] + GRID * cell for cell in range(cells)], [int(units) for units in sums]


def _cell(moment: int, begin: int, cells: int) -> int:
    """Return the first cell whose moment is not before this one."""
    return min(max(-((begin - moment) // GRID), 0), cells)
