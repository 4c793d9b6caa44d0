"""The list of stores without I/O: what it knows, how late it tells of changes, what a call costs. Times are seconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from tansykeel.protocol.frames import Row

TIMEOUT = 2.0  # a call that would wait longer than this for its turn fails


class Book:
    def __init__(self, late: float, call: float) -> None:
        self.late, self.call = late, call
        self.version = 1
        self.rows: dict[str, tuple[Row, float]] = {}  # with the moment that its age belongs to
        self.busy_until = self.extra_late = self.late_until = self.gone_until = self.last = 0.0

    def asked(self, now: float) -> float | None:
        """When the answer to a call is ready; None: it fails."""
        start = max(self.busy_until, now)
        if start - now > TIMEOUT:
            return None
        self.busy_until = start + self.call
        return self.busy_until

    def heard(self, now: float) -> float:
        """When a change that happened now is told of: late, and in its order. The first rows are known at once."""
        late = 0.0 if not self.rows else self.late + (self.extra_late if now < self.late_until else 0.0)
        self.last = max(self.last, now + late)
        return self.last

    def change(self, rows: Iterable[dict[str, Any]], of: float, now: float) -> tuple[Row, ...]:
        """Take a change of the moment `of` in; the rows to tell."""
        changed = [(Row(**row), of) for row in rows]
        self.version += 1
        self.rows.update({row.name: (row, moment) for row, moment in changed})
        for row, _ in changed:
            if row.state == "gone":
                del self.rows[row.name]
        return self._told(changed, now)

    def all_rows(self, now: float) -> tuple[Row, ...]:
        return self._told(self.rows.values(), now)

    def trouble(self, verb: str, now: float, for_s: float, detail: dict[str, Any]) -> None:
        if verb == "list_late":
            self.extra_late, self.late_until = detail["late_s"], now + for_s
        else:
            self.gone_until = now + for_s

    @staticmethod
    def _told(rows: Iterable[tuple[Row, float]], now: float) -> tuple[Row, ...]:
        return tuple(
            Row(
                row.name,
                row.address,
                row.zone,
                row.shard,
                row.state,
                row.boot,
                row.age + int((now - moment) * 1e6) if row.age else 0,
            )
            for row, moment in rows
        )
