"""Translates between the native protocol's frames and the core's types, in both directions."""

from __future__ import annotations

import math
from typing import Any

from tansykeel.edge.tasks import MICROSECONDS_PER_TICK, TICKS_PER_MS, Attempt, Bounds, FinalAnswer, ParsedRequest
from tansykeel.interface import PeerMessage, Plan, SchedulerConfig, Task, Volume
from tansykeel.protocol.frames import Answer, HandOffOf, Row, Share, TaskOf
from tansykeel.settings.records import Gateway, Settings


class NativeProtocol:
    """Parses requests of the native protocol for the core. Volumes come from the settings; sizes in bytes are
    converted to units."""

    def __init__(self, settings: Settings, facts: SchedulerConfig) -> None:
        self.gateway, self.facts = settings.gateway, facts
        self.categories = {category.name: category for category in facts.categories}
        plans: dict[str, Plan] = {plan.name: plan for plan in facts.plans}
        self.volumes = {
            volume.name: Volume(volume.name, plans[volume.plan], float(volume.gateways or facts.gateways))
            for volume in settings.volumes
        }

    def parse(self, now: int, request: Any) -> ParsedRequest:
        """Return the task of a TASK frame that came at `now`, and the fault if it can't be held."""
        assert isinstance(request, TaskOf)
        volume, category = self.volumes.get(request.volume), self.categories.get(request.category)
        gateway, sizes = self.gateway, self.facts.sizes
        units = max(math.ceil(request.size / gateway.unit_bytes), 1)
        fault = ""
        if volume is None:
            fault = f"volume {request.volume!r} is not in the settings"
        elif category is None:
            fault = f"category {request.category!r} is not in the settings; legal: {', '.join(self.categories)}"
        elif units > sizes.largest or request.size > gateway.largest_body:
            most = min(int(sizes.largest * gateway.unit_bytes), gateway.largest_body)
            fault = f"size {request.size}; legal: {most} bytes at most"
        elif request.body not in ((request.size,) if category.writes else (0,)):
            fault = f"body of {request.body} bytes; legal: {request.size if category.writes else 0}"
        task_category = category or next(iter(self.categories.values()))
        patience = min(request.patience // MICROSECONDS_PER_TICK, task_category.deadline)
        # The answer is due one stall's length before the client gives up, but never in the first half of its patience.
        margin = min(int(gateway.stall_allowance_ms * TICKS_PER_MS), patience // 2)
        task = Task(
            None,
            task_category,
            volume or next(iter(self.volumes.values()), Volume("", self.facts.plans[0])),
            float(units),
            None if request.shard < 0 else request.shard,
            request.key,
            now,
            now + patience - margin,
            request.again,
        )
        return ParsedRequest(task, request.body, request.size, fault)

    def message_from_share(self, share: Share) -> PeerMessage | None:
        """Return another gateway's message as the module's record, None where its volume is not in the settings."""
        volume = self.volumes.get(share.volume) if share.volume is not None else None
        return PeerMessage(volume, share.units, share.gift) if volume is not None or share.volume is None else None

    def share_from_message(self, message: PeerMessage) -> Share:
        """Return the SHARE frame for a message to other gateways."""
        return Share(
            self.facts.gateway_index, message.volume.handle if message.volume else None, message.units, message.is_grant
        )


def bounds_of(gateway: Gateway) -> Bounds:
    """Return the core's bounds from the settings."""
    return Bounds(gateway.open_tasks, gateway.body_memory, gateway.connection_memory)


def configured_stores(settings: Settings) -> list[Row]:
    """Return the stores named in the settings, as rows of a list."""
    return [Row(row.name, row.address, row.zone, row.shard, "ready") for row in settings.stores]


def answer_frame(final: FinalAnswer, body: list[bytes]) -> Answer:
    """Return the ANSWER frame of a final answer."""
    return Answer(final.result, final.come_back * MICROSECONDS_PER_TICK, final.shard, final.reason, sum(map(len, body)))


def hand_off_frame(attempt: Attempt, now: int) -> HandOffOf:
    """Return the HAND_OFF frame for an attempt that is sent at `now`."""
    held, request, category = attempt.held, attempt.held.request, attempt.held.task.category
    return HandOffOf(
        held.id,
        attempt.number,
        request.volume,
        request.category,
        request.key,
        request.size,
        held.task.units,
        request.shard,
        max(attempt.deadline - now, 0) * MICROSECONDS_PER_TICK,
        request.mark,
        category.writes,
        category.repeat.value,
        category.scope.value,
        category.window * MICROSECONDS_PER_TICK,
        request.body,
    )
