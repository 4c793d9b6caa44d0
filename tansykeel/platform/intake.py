"""Parses the platform's client requests: header fields to a task, or the reason why a request describes no task."""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from tansykeel.edge.tasks import ParsedRequest
from tansykeel.http1.messages import Malformed, Request
from tansykeel.interface import Category, Plan, SchedulerConfig, Task, Volume
from tansykeel.settings.facts import TENTH

MAX_VOLUMES = 4_096  # kept at once; the least recently used one is dropped
# Ticks (tenths of a millisecond) by which a task's deadline is before its client's, so that the answer arrives in time
# also when the processor is busy. At most half of the client's time.
DEADLINE_MARGIN = 1_000
TICKS_PER_SECOND = 10**9 / TENTH

_FIELDS_KEPT = (b"x-txn", b"connection")  # read again while a task is held

_PATH = re.compile(rb"/(?:[^?#]*/)?([0-9A-Fa-f]{16})/([0-9A-Fa-f]{16})(?:\?[^#]*)?")
_ID = re.compile(rb"[0-9A-Fa-f]{16}")
_SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,12})?")
_EXTENT = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),shard=(-1|[0-9]{1,5}),hosts=([0-9]{1,6}(?:\.0)?)")


@dataclass(eq=False, slots=True)  # not frozen: that costs a call for each field
class TaskRequest:
    """A valid request for a task. `time_left` is in ticks (tenths of a millisecond) from when its last byte came;
    `gateways` is the number of gateways that share the volume; `resent`: the client has sent the task before."""

    request: Request
    id: bytes
    volume: bytes
    key: int
    category: Category
    plan: Plan
    time_left: int
    units: float
    shard: int
    gateways: float
    resent: bool


class RequestParser:
    """The core's request parser. Volumes are created as requests name them; the same volume id with another plan is
    another volume."""

    def __init__(self, facts: SchedulerConfig) -> None:
        self.largest = facts.sizes.largest
        self.categories = {category.name.encode(): category for category in facts.categories}
        self.plans = {plan.name.encode(): plan for plan in facts.plans}
        self.volumes: OrderedDict[tuple[bytes, str], Volume] = OrderedDict()

    def parse_task(self, request: Request) -> TaskRequest:
        """Return the task that a request describes. Raises Malformed for bad syntax, and for classes and plans that the
        settings don't have. Drops the request's other fields: many short ones would take memory while it is held."""
        fields = request.fields
        path = _PATH.fullmatch(request.target)
        if path is None:
            raise Malformed("the path does not end with a volume and a data id of 16 hex digits each", 404)
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
            raise Malformed("a write must be a PUT, a read must be a GET without a body", 405)
        left, extent = fields.get(b"x-remaining", b""), _EXTENT.fullmatch(fields.get(b"x-extent", b""))
        if not _SECONDS.fullmatch(left):
            raise Malformed("x-remaining is not a number of seconds")
        if extent is None or not 0 < float(extent[1]) <= max(self.largest, 1.0) or float(extent[3]) < 1:
            raise Malformed("x-extent is not units=,shard=,hosts= with values that the settings allow")
        time_left = int(min(float(left) * TICKS_PER_SECOND, category.deadline))
        request.fields = {name: fields[name] for name in _FIELDS_KEPT if name in fields}
        return TaskRequest(
            request,
            id.lower(),
            path[1].lower(),
            int(path[2], 16),
            category,
            plan,
            time_left,
            float(extent[1]),
            int(extent[2]),
            float(extent[3]),
            fields.get(b"x-resent") == b"1",
        )

    def parse(self, now: int, request: Any) -> ParsedRequest:
        """Return the request as the decision module sees it, at `now` of the core's clock."""
        assert isinstance(request, TaskRequest)
        name = request.volume, request.plan.name
        volume = self.volumes.get(name)
        if volume is None:
            volume = self.volumes[name] = Volume(request.volume, request.plan)
            if len(self.volumes) > MAX_VOLUMES:
                self.volumes.popitem(last=False)
        else:
            self.volumes.move_to_end(name)
        volume.gateways = request.gateways
        time_left = request.time_left
        # The client's time runs from when the request arrived: a pipelined one has waited for its turn since.
        received_at = min(request.request.received_at, now) or now
        task = Task(
            None,
            request.category,
            volume,
            request.units,
            None if request.shard < 0 else request.shard,
            request.key,
            received_at,
            received_at + time_left - min(DEADLINE_MARGIN, time_left // 2),
            request.resent,
        )
        return ParsedRequest(task, 0, len(request.request.body))
