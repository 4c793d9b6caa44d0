"""What the native protocol's front says to the core and hears of it: frames' records to tasks and back."""

from __future__ import annotations

import math
from typing import Any

from tansykeel.edge.tasks import MICROS, MS, Asked, Attempt, Bounds, Final
from tansykeel.interface import PeerMessage, Plan, SchedulerConfig, Task, Volume
from tansykeel.protocol.frames import Answer, HandOffOf, Row, Share, TaskOf
from tansykeel.settings.records import Gateway, Settings


class Native:
    """The core's intake: volumes known from the settings, sizes counted from bytes."""

    def __init__(self, settings: Settings, facts: SchedulerConfig) -> None:
        self.gateway, self.facts = settings.gateway, facts
        self.categories = {category.name: category for category in facts.categories}
        plans: dict[str, Plan] = {plan.name: plan for plan in facts.plans}
        self.volumes = {
            volume.name: Volume(volume.name, plans[volume.plan], float(volume.gateways or facts.gateways))
            for volume in settings.volumes
        }

    def asked(self, now: int, request: Any) -> Asked:
        """The task as the module will see it, and what is wrong with it, if something is."""
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
        kind = category or next(iter(self.categories.values()))
        patience = min(request.patience // MICROS, kind.deadline)
        # Answers are due a stall's length before the client gives up, but never in the first half of its patience.
        spare = min(int(gateway.stall_allowance_ms * MS), patience // 2)
        task = Task(
            None,
            kind,
            volume or next(iter(self.volumes.values()), Volume("", self.facts.plans[0])),
            float(units),
            None if request.shard < 0 else request.shard,
            request.key,
            now,
            now + patience - spare,
            request.again,
        )
        return Asked(task, request.body, request.size, fault)

    def word_of(self, share: Share) -> PeerMessage | None:
        """Another gateway's word; None for one on a volume that is not in the settings here: not acted on."""
        volume = self.volumes.get(share.volume) if share.volume is not None else None
        return PeerMessage(volume, share.units, share.gift) if volume is not None or share.volume is None else None

    def share_of(self, word: PeerMessage) -> Share:
        return Share(self.facts.gateway_index, word.volume.handle if word.volume else None, word.units, word.is_grant)


def bounds_of(gateway: Gateway) -> Bounds:
    return Bounds(gateway.open_tasks, gateway.body_memory, gateway.connection_memory)


def known_of(settings: Settings) -> list[Row]:
    """The stores named in the settings, as a list would tell of them."""
    return [Row(row.name, row.address, row.zone, row.shard, "ready") for row in settings.stores]


def answer_of(final: Final, body: list[bytes]) -> Answer:
    return Answer(final.result, final.come_back * MICROS, final.shard, final.reason, sum(map(len, body)))


def hand_off_of(attempt: Attempt, now: int) -> HandOffOf:
    """What a store is told of a hand-off that leaves now."""
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
        max(attempt.until - now, 0) * MICROS,
        request.mark,
        category.writes,
        category.repeat.value,
        category.scope.value,
        category.window * MICROS,
        request.body,
    )
