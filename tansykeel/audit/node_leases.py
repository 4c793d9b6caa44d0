"""Until when each control node may hold a lease on its region's view, by the grants that were seen to reach it.

A request came by after the node asked, so a lease reckoned from that moment ends no sooner than the node's own; a
grant is taken for received once it went on, which is before the node has it. What a node grants to itself passes
nobody and is taken for granted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from tansykeel.audit.control_findings import ControlFacts, ControlRule, Finding
from tansykeel.audit.records import FrameSeen
from tansykeel.audit.region_views import RegionViews
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import LeaseGrant, LeaseRequest, majority
from tansykeel.protocol.frames import LeaseRenewal

ROUNDING = 1_000  # microseconds: cores count tenths of a millisecond, and a lease is rounded a few times on its way
FOREVER = 1 << 62
MOST_VIEWS = 4  # of a node whose leases are remembered: those on earlier ones ended long ago
MOST_REQUESTS = 4_096  # that are remembered: those of all nodes over several leases


@dataclass(slots=True)
class NodeLease:
    """What one incarnation of a control node holds on one view."""

    ends: dict[tuple[str, int], int] = field(default_factory=dict)  # by voter and its incarnation
    newest: FrameSeen | None = None  # the grant that reached it last


class NodeLeases:
    """Follows requests and grants of leases between the control nodes of each region."""

    def __init__(self, facts: ControlFacts, views: RegionViews) -> None:
        self.facts = facts
        self.views = views
        self._requests: dict[tuple[str, int, int], FrameSeen] = {}  # by node, view and the stamp that comes back
        self._followed: dict[tuple[str, int], dict[int, int]] = {}  # by node: views, and when it first asked on them
        self._held: dict[tuple[str, int], dict[int, NodeLease]] = {}  # by node and incarnation: by view

    def requested(self, frame: FrameSeen, message: ClusterMessage) -> None:
        """A control node asked a voter for a lease."""
        if isinstance(message, LeaseRequest):
            followed = self._followed.setdefault((frame.sender, frame.sender_incarnation), {})
            followed.setdefault(message.number, frame.at)
            if len(followed) > MOST_VIEWS:
                del followed[min(followed)]
            self._requests.setdefault((frame.sender, message.number, message.at), frame)
            if len(self._requests) > MOST_REQUESTS:
                del self._requests[next(iter(self._requests))]

    def granted(self, frame: FrameSeen, message: ClusterMessage) -> None:
        """A voter's grant reached the node that asked for it."""
        if not isinstance(message, LeaseGrant):
            return
        request = self._requests.get((frame.receiver, message.number, message.at))
        if request is None:
            return  # also how a voter says that a node which was left out need not tell of it any more
        held = self._held.setdefault((frame.receiver, request.sender_incarnation), {})
        lease = held.setdefault(message.number, NodeLease())
        if len(held) > MOST_VIEWS:
            del held[min(held)]
        voter = (frame.sender, frame.sender_incarnation)
        lease.ends[voter] = max(lease.ends.get(voter, 0), request.at + self.facts.lease)
        lease.newest = frame

    def until(self, node: str, incarnation: int) -> tuple[int, FrameSeen | None]:
        """Return until when the node may hold a lease on any view, and the grant that reached it last for that."""
        region = self.facts.nodes.get(node, "")
        if self.facts.voters(region) == 1:
            return FOREVER, None  # it grants its lease to itself
        alone_until = self._alone_until(region, node, incarnation)
        if alone_until == FOREVER:
            return FOREVER, None
        latest: tuple[int, FrameSeen | None] = (alone_until, None)
        for number, lease in self._held.get((node, incarnation), {}).items():
            end = self._ends(region, number, node, incarnation, lease)
            if end > latest[0]:
                latest = end, lease.newest
        return latest

    def renewed(self, frame: FrameSeen, renewal: LeaseRenewal, asked: FrameSeen | None) -> Iterator[Finding]:
        """A control node sent a gateway a lease, as the answer to a heartbeat."""
        if not renewal.units:
            return
        if asked is None:
            what = f"sent {frame.receiver} lease {renewal.lease}, for which it did not ask"
            yield Finding(ControlRule.NODE_LEASES, frame.at, frame.sender, what, (frame,))
            return
        end, grant = self.until(frame.sender, frame.sender_incarnation)
        evidence = (frame, asked, *([grant] if grant else []))
        if asked.passed > end + ROUNDING:
            late = (
                f"{(asked.passed - end) / 1000:.0f} ms after its own lease ended" if end else "without one of its own"
            )
            what = f"renewed the lease of {frame.receiver}, {late}"
            yield Finding(ControlRule.NODE_LEASES, frame.at, frame.sender, what, evidence)
        elif (ends := asked.at + self.facts.longest(renewal.valid_for)) > end + ROUNDING:
            late = f"{(ends - end) / 1000:.0f} ms longer than its own"
            what = f"gave {frame.receiver} a lease that lasts {late}"
            yield Finding(ControlRule.NODE_LEASES, frame.at, frame.sender, what, evidence)

    def _alone_until(self, region: str, node: str, incarnation: int) -> int:
        """Return until when it may hold a lease on a view whose only voter it is: it grants that itself, unseen."""
        number = self.views.alone(region, node, incarnation)
        if number is None:
            return 0
        followed = self._followed.get((node, incarnation), {})
        left = [at for later, at in followed.items() if later > number]
        return min(left) + self.facts.lease if left else FOREVER

    def _ends(self, region: str, number: int, node: str, incarnation: int, lease: NodeLease) -> int:
        """When a majority of the view's voters does not grant the node its lease any more."""
        view = self.views.view(region, number)
        if view is None:
            return 0
        ends = [
            FOREVER
            if voter.name == node and voter.incarnation == incarnation
            else lease.ends.get((voter.name, voter.incarnation), 0)
            for voter in view.voters
        ]
        return sorted(ends, reverse=True)[majority(view.voters) - 1]
