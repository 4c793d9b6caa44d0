"""One leader of each region's replicated log under a ballot, and one order of what is committed.

Three things are held against the frames between control nodes. Who leads under a ballot is the node that the ballot
names, promised by a majority of the view's voters before. A voter that promised a ballot, or accepted under it, takes
part in nothing under a lower one from then on; two majorities share a voter, so an entry that a majority accepts under
a lower ballot after a majority promised a higher one shows as that voter's. And no entry that is told as committed is
ever another one at the same place, until all nodes form their view anew.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tansykeel.audit.control_findings import ControlFacts, ControlRule, Finding
from tansykeel.audit.records import FrameSeen
from tansykeel.audit.region_views import RegionViews
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.membership import majority
from tansykeel.cluster.replicated_log import (
    Ballot,
    InstallSnapshot,
    LogAccept,
    LogAccepted,
    LogPromise,
)

# Microseconds: a node's frames to different nodes take different connections, and one that was sent before may come by
# later, while a process or the link is suspended. As much as `audit.rules` allows for a message's way.
APART = 250_000
MOST_ENTRIES = 1_024  # of a ballot, and committed ones of a region, that are remembered: a log keeps 128

Node = tuple[str, int]  # a control node and its incarnation


@dataclass(frozen=True, slots=True)
class Promised:
    """The highest ballot that a node is known to take part in, and since when."""

    ballot: Ballot
    frame: FrameSeen


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log as a leader told it."""

    data: bytes
    frame: FrameSeen


@dataclass(slots=True)
class Leader:
    """Who leads under one ballot."""

    node: Node
    frame: FrameSeen  # the first by which it led
    entries: dict[int, Entry] = field(default_factory=dict)  # by their place in the log


class LogLeaders:
    """Follows the replicated log's messages between the control nodes of each region."""

    def __init__(self, facts: ControlFacts, views: RegionViews) -> None:
        self.facts = facts
        self.views = views
        self._promised: dict[Node, Promised] = {}
        self._promises: dict[tuple[str, Ballot], set[Node]] = defaultdict(set)  # that reached who asked for them
        self._leaders: dict[tuple[str, Ballot], Leader] = {}
        self._committed: dict[tuple[str, int], dict[int, Entry]] = defaultdict(dict)  # by region and formed view

    def reached(self, frame: FrameSeen, message: ClusterMessage) -> None:
        """A promise reached the node that wants to lead."""
        if isinstance(message, LogPromise):
            region = self.views.region(frame)
            self._promises[region, message.ballot].add((frame.sender, frame.sender_incarnation))

    def sent(self, frame: FrameSeen, message: ClusterMessage) -> Iterator[Finding]:
        """A control node sent a message of the log."""
        match message:
            case LogPromise() | LogAccepted():
                yield from self._takes_part(frame, message.ballot)
            case LogAccept():
                yield from self._leads(frame, message.ballot)
                yield from self._orders(frame, message, message.after)
            case InstallSnapshot():
                yield from self._leads(frame, message.ballot)
                yield from self._orders(frame, message, message.base)

    def _takes_part(self, frame: FrameSeen, ballot: Ballot) -> Iterator[Finding]:
        """A node has nothing to do with a ballot under one that it promised."""
        node = (frame.sender, frame.sender_incarnation)
        promised = self._promised.get(node)
        if promised is None or ballot > promised.ballot:
            self._promised[node] = Promised(ballot, frame)
        elif ballot < promised.ballot and frame.at > promised.frame.at + APART:
            late = (frame.at - promised.frame.at) / 1000
            what = f"sent a {frame.message} under ballot {ballot} {late:.0f} ms after it took part in {promised.ballot}"
            yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (promised.frame, frame))

    def _leads(self, frame: FrameSeen, ballot: Ballot) -> Iterator[Finding]:
        node = (frame.sender, frame.sender_incarnation)
        region = self.views.region(frame)
        leader = self._leaders.get((region, ballot))
        if leader is None:
            self._leaders[region, ballot] = Leader(node, frame)
            yield from self._was_promised(frame, region, ballot)
        elif leader.node != node:
            what = f"leads under ballot {ballot}, under which {leader.node[0]} led"
            yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (leader.frame, frame))
        yield from self._takes_part(frame, ballot)

    def _was_promised(self, frame: FrameSeen, region: str, ballot: Ballot) -> Iterator[Finding]:
        """A leader has promises of a majority, its own among them, before it leads."""
        if ballot[2] != frame.sender:
            what = f"leads under ballot {ballot}, which is another's"
            yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (frame,))
            return
        view = self.views.view(region, ballot[0])
        if view is None:
            return
        promises = self._promises[region, ballot] | {(frame.sender, frame.sender_incarnation)}
        voters = [voter for voter in view.voters if (voter.name, voter.incarnation) in promises]
        if len(voters) < majority(view.voters):
            what = f"leads under ballot {ballot} with promises of {len(voters)} of {len(view.voters)} voters"
            yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (frame,))

    def _orders(self, frame: FrameSeen, message: LogAccept | InstallSnapshot, after: int) -> Iterator[Finding]:
        """No entry takes the place of another under a ballot, nor of a committed one under any."""
        region = self.views.region(frame)
        leader = self._leaders[region, message.ballot]
        for place, data in enumerate(message.entries, after + 1):
            told = leader.entries.setdefault(place, Entry(data, frame))
            if told.data != data:
                what = f"told another entry {place} under ballot {message.ballot} than before"
                yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (told.frame, frame))
        committed = self._committed[region, self.views.formed_before(region, message.ballot[0])]
        for place in [place for place in leader.entries if place <= message.commit and place not in committed]:
            committed[place] = leader.entries[place]
        for place, entry in leader.entries.items():
            if place <= message.commit and committed[place].data != entry.data:
                what = f"led to entry {place} of the log, which is committed as another"
                yield Finding(ControlRule.ONE_LEADER, frame.at, frame.sender, what, (committed[place].frame, frame))
                break
        _forget(leader.entries)
        _forget(committed)


def _forget(entries: dict[int, Entry]) -> None:
    """Forget the oldest entries beyond the newest."""
    while len(entries) > MOST_ENTRIES:
        del entries[min(entries)]
