"""Reads what the platform's clients ask for: fields to a task, or the reason why it can't be one."""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from tansykeel.edge.tasks import ParsedRequest
from tansykeel.http1.codec import Malformed, Request
from tansykeel.interface import Category, Facts, Plan, Task, Volume
from tansykeel.settings.facts import TENTH

MOST_VOLUMES = 4_096  # volumes known at once; the one not asked for longest is let go
SPARE = 1_000  # tenths before a client's time is up at which its answer is due, though the processor be busy
TENTHS = 10**9 / TENTH  # in a second

_PATH = re.compile(rb"/(?:[^?#]*/)?([0-9A-Fa-f]{16})/([0-9A-Fa-f]{16})(?:\?[^#]*)?")
_ID = re.compile(rb"[0-9A-Fa-f]{16}")
_SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,12})?")
_EXTENT = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),shard=(-1|[0-9]{1,5}),hosts=([0-9]{1,6}(?:\.0)?)")


@dataclass(eq=False, slots=True)  # not frozen: that costs a call for each field
class TaskRequest:
    """A request that has the form of one; `patience` in tenths from when its last byte came."""

    request: Request
    id: bytes
    volume: bytes
    key: int
    category: Category
    plan: Plan
    patience: int
    units: float
    shard: int
    hosts: float
    again: bool


class Reader:
    """The core's request parser. Volumes are met as they come; one that names another plan is another volume."""

    def __init__(self, facts: Facts) -> None:
        self.largest = facts.sizes.largest
        self.categories = {category.name.encode(): category for category in facts.categories}
        self.plans = {plan.name.encode(): plan for plan in facts.plans}
        self.volumes: OrderedDict[tuple[bytes, str], Volume] = OrderedDict()

    def wanted(self, request: Request) -> TaskRequest:
        """Raises Malformed for what can't be a task: syntax, and names that the settings don't have."""
        fields = request.fields
        path = _PATH.fullmatch(request.target)
        if path is None:
            raise Malformed("a path that does not end with volume and data, 16 hex digits each", 404)
        id = fields.get(b"x-txn", b"")
        if not _ID.fullmatch(id):
            raise Malformed("x-txn is not 16 hex digits")
        category, plan = (
            self.categories.get(fields.get(b"x-lane", b"")),
            self.plans.get(fields.get(b"x-storage-class", b"")),
        )
        if category is None or plan is None:
            raise Malformed("x-lane or x-storage-class is not in the settings")
        if request.method != (b"PUT" if category.writes else b"GET") or (request.body and not category.writes):
            raise Malformed("a write is a PUT, a read a GET without a body", 405)
        left, extent = fields.get(b"x-remaining", b""), _EXTENT.fullmatch(fields.get(b"x-extent", b""))
        if not _SECONDS.fullmatch(left):
            raise Malformed("x-remaining is no number of seconds")
        if extent is None or not 0 < float(extent[1]) <= max(self.largest, 1.0) or float(extent[3]) < 1:
            raise Malformed("x-extent is not units=,shard=,hosts= within the settings")
        patience = int(min(float(left) * TENTHS, category.deadline))
        return TaskRequest(
            request,
            id.lower(),
            path[1].lower(),
            int(path[2], 16),
            category,
            plan,
            patience,
            float(extent[1]),
            int(extent[2]),
            float(extent[3]),
            fields.get(b"x-resent") == b"1",
        )

    def parse(self, now: int, request: Any) -> ParsedRequest:
        assert isinstance(request, TaskRequest)
        name = request.volume, request.plan.name
        volume = self.volumes.get(name)
        if volume is None:
            volume = self.volumes[name] = Volume(request.volume, request.plan)
            if len(self.volumes) > MOST_VOLUMES:
                self.volumes.popitem(last=False)
        else:
            self.volumes.move_to_end(name)
        volume.gateways = request.hosts
        patience = request.patience
        # One that a client sent ahead has waited for its turn: its time runs from when it came.
        received_at = min(request.request.received_at, now) or now
        task = Task(
            None,
            request.category,
            volume,
            request.units,
            None if request.shard < 0 else request.shard,
            request.key,
            received_at,
            received_at + patience - min(SPARE, patience // 2),
            request.again,
        )
        return ParsedRequest(task, 0, len(request.request.body))
