"""The agreed views of each region's control nodes, as they were told between them."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import defaultdict

from tansykeel.audit.control_findings import ControlFacts
from tansykeel.audit.records import FrameSeen
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import Decided, Form, Formed, Stepped, View


class RegionViews:
    """By region and number. A view that is told as what changed is known where the one before it is."""

    def __init__(self, facts: ControlFacts) -> None:
        self.facts = facts
        self._views: dict[str, dict[int, View]] = defaultdict(dict)
        self._alone: dict[
            tuple[str, str, int], int
        ] = {}  # by region, name, incarnation: the newest view it alone votes in
        self._formed: dict[str, list[int]] = defaultdict(list)  # by region: numbers of views that its nodes formed

    def told(self, frame: FrameSeen, message: ClusterMessage) -> None:
        """Learn the view of a message that tells one."""
        views = self._views[self.region(frame)]
        match message:
            case Decided(view) | Form(view) | Formed(view):
                if not view.electors and view.number not in views:
                    insort(self._formed[self.region(frame)], view.number)
                self._learn(self.region(frame), view)
            case Stepped(number) if (before := views.get(number - 1)) is not None:
                self._learn(self.region(frame), message.apply_to(before))

    def _learn(self, region: str, view: View) -> None:
        self._views[region].setdefault(view.number, view)
        if len(view.voters) == 1:
            voter = view.voters[0]
            key = (region, voter.name, voter.incarnation)
            self._alone[key] = max(self._alone.get(key, 0), view.number)

    def alone(self, region: str, node: str, incarnation: int) -> int | None:
        """Return the newest view whose only voter is this node; None where there was none."""
        return self._alone.get((region, node, incarnation))

    def region(self, frame: FrameSeen) -> str:
        """Return the region of the control node that sent a frame."""
        return self.facts.nodes.get(frame.sender, "")

    def view(self, region: str, number: int) -> View | None:
        """Return the view of this number where it was told."""
        return self._views[region].get(number)

    def formed_before(self, region: str, number: int) -> int:
        """Return the newest view up to `number` that the region's nodes formed anew; the log before may be lost."""
        formed = self._formed[region]
        newer = bisect_right(formed, number)
        return formed[newer - 1] if newer else 0
