"""Failure detector in the manner of SWIM. Its result is a hint for proposing views; no limit is divided by it.

SWIM (Das, Gupta, Motivala, DSN 2002): in each period one member is pinged, in an order that is shuffled anew for every
round. If it does not answer, a few other members are asked to ping it. If that fails too, it is suspected, and it is
declared dead unless it refutes the suspicion in time. Gossip travels on these messages only, which bounds the traffic
of a member whatever the size of the cluster.

From Lifeguard (Dadgar, Phillips, Currey, 2017): a member that receives few answers doubts its own health first (its
periods and timeouts grow with `health_score`), members that were asked for an indirect ping also report that they got
no answer, and a suspicion expires sooner the more members share it.

Changes against both: a member keeps pinging those that it suspects, so that they can refute it; a late call of `tick`
counts as a stall of this member, which then draws no conclusions from the time that it missed; a member that failed
repeatedly counts as stable only after a longer time with each failure.

Does no I/O. Times are in tenths of a millisecond.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from tansykeel.cluster.gossip import GossipItem, GossipQueue, MemberState

SECOND = 10_000  # in tenths of a millisecond


class Ping(Struct, frozen=True, array_like=True):
    """Asks the receiver for an Ack with the same sequence number; `news` is the piggybacked gossip."""

    seq: int
    news: tuple[GossipItem, ...] = ()


class Ack(Struct, frozen=True, array_like=True):
    """Answers a Ping, or a Try whose ping was answered."""

    seq: int
    news: tuple[GossipItem, ...] = ()


class Try(Struct, frozen=True, array_like=True):
    """Indirect ping: asks the receiver to ping the member `name`."""

    seq: int
    name: str
    news: tuple[GossipItem, ...] = ()


class NoAnswer(Struct, frozen=True, array_like=True):
    """Answers a Try whose ping was not acknowledged yet. It shows the requester that its own link works."""

    seq: int
    news: tuple[GossipItem, ...] = ()


DetectorMessage = Ping | Ack | Try | NoAnswer
OutgoingMessage = tuple[str, DetectorMessage]  # recipient and message


@dataclass(frozen=True, slots=True)
class DetectorConfig:
    """Timing and limits of the failure detector.

    Durations are in tenths of a millisecond. A suspicion lasts between `min_suspicion_periods` and
    `max_suspicion_periods` periods, times the decimal logarithm of the cluster's size.
    """

    period: int = SECOND
    ack_timeout: int = 3_000  # without an Ack within this time, other members are asked for indirect pings
    indirect_pings: int = 3  # members that are asked
    min_suspicion_periods: float = 2.0
    max_suspicion_periods: float = 6.0
    confirmations: int = 3  # further members that share a suspicion, after which it lasts the minimum time
    max_health_score: int = 8  # of the local health score, with which periods and timeouts grow
    gossip_items: int = 6  # in one message; if more are queued, a third of the queue, up to `max_gossip_items`
    max_gossip_items: int = 64
    transmit_factor: float = 3.0  # each item is sent this often, times the logarithm of the cluster's size
    stable_after: int = 2 * SECOND  # time alive until a member is stable; doubled by each recent failure, up to 5
    flap_window: int = 60 * SECOND  # a failure is forgotten after this time


@dataclass(eq=False, slots=True)
class RemoteMember:
    """What is known of another member. An `incarnation` of 0 means that none was heard of yet."""

    name: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    refutations: int = 0  # of suspicions, within this incarnation
    since: int = 0  # when the state or the incarnation changed, or the member was suspected anew
    suspected_by: set[str] = field(default_factory=set)
    failures: list[int] = field(default_factory=list)  # when it was declared dead, or came back after that


@dataclass(eq=False, slots=True)
class Probe:
    """A ping in progress, direct or indirect.

    `on_behalf_of` is set where another member asked for it: that member's name and its own sequence number.
    """

    target: RemoteMember
    deadline: int
    indirect: bool = False  # other members were asked to ping the target
    silent_helpers: int = 0  # of those, the ones that have not answered at all
    on_behalf_of: tuple[str, int] | None = None


class FailureDetector:
    """Tracks which other members are alive. Each call returns the messages to send."""

    def __init__(
        self, name: str, names: Iterable[str], incarnation: int, config: DetectorConfig, rng: Random, now: int
    ) -> None:
        """`name` is this member's own; `names` are those of all members, with or without it."""
        self.name, self.incarnation, self.config, self.rng = name, incarnation, config, rng
        self.others = {other: RemoteMember(other, since=now) for other in names if other != name}
        self.refutations = self.health_score = self.seq = 0  # a health score of 0 is perfect health
        self.leaving = False
        self.changed: dict[RemoteMember, None] = {}  # members that changed since `take_changes` was called
        self.probe_order: list[RemoteMember] = []  # members still to be pinged in this round
        self.probes: dict[int, Probe] = {}  # by sequence number
        # The random delay keeps members that start together from probing in lockstep.
        self.next_probe = now + rng.randrange(max(config.period, 1))
        self.gossip = GossipQueue()
        self.suspicion_deadlines: dict[RemoteMember, int] = {}  # when each suspected member is declared dead
        self.gossip.put(GossipItem(name, MemberState.ALIVE, incarnation, 0))

    # Queries

    def stable_members(self, now: int) -> list[str]:
        """Return the members that may join a view: this one and those that have been alive for long enough.

        The required time doubles with each of up to five recent failures of a member.
        """

        def is_stable(other: RemoteMember) -> bool:
            other.failures = [at for at in other.failures if now - at < self.config.flap_window]
            return now - other.since >= self.config.stable_after * 2 ** min(len(other.failures), 5)

        found = [
            other.name
            for other in self.others.values()
            if other.state is MemberState.ALIVE and other.incarnation and is_stable(other)
        ]
        return sorted([self.name, *found])

    def take_changes(self) -> list[RemoteMember]:
        """Return the members whose state or incarnation changed since the last call.

        It spares the caller a scan of all members of a large cluster.
        """
        changed, self.changed = list(self.changed), {}
        return changed

    def due(self) -> int:
        """Return when `tick` must be called next."""
        return min(
            [self.next_probe, *(probe.deadline for probe in self.probes.values()), *self.suspicion_deadlines.values()]
        )

    # Events

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Handle expired probes and suspicions, and start the probe of the next period."""
        late = now - self.due()
        if late > self.config.ack_timeout:
            return self._recover_from_stall(now, late)
        sent: list[OutgoingMessage] = []
        for seq, probe in [(s, p) for s, p in self.probes.items() if now >= p.deadline]:
            sent += self._probe_timed_out(now, seq, probe)
        for other in [o for o, deadline in self.suspicion_deadlines.items() if now >= deadline]:
            self._apply(now, GossipItem(other.name, MemberState.DEAD, other.incarnation, other.refutations, self.name))
        if now >= self.next_probe:
            self.next_probe = now + self.config.period * (1 + self.health_score)
            if (target := self._next_target()) is not None:
                sent.append(self._ping(now, target, None))
            # Every member that this one suspects is pinged in each period, with the suspicion in the gossip: otherwise
            # it could learn of the suspicion too late to refute it.
            sent += [
                self._ping(now, suspect, None)
                for suspect in self.suspicion_deadlines
                if self.name in suspect.suspected_by and suspect is not target
            ]
        return sent

    def handle_message(self, now: int, sender: str, message: DetectorMessage) -> list[OutgoingMessage]:
        """Handle a message from another member. Messages from unknown members are ignored."""
        if sender not in self.others:
            return []
        for item in message.news:
            self._apply(now, item)
        match message:
            case Ping(seq):
                return [(sender, Ack(seq, self._gossip_for(sender)))]
            case Try(seq, name):
                if name in self.others:
                    return [self._ping(now, self.others[name], (sender, seq))]
            case Ack(seq):
                if (probe := self.probes.pop(seq, None)) is not None:
                    if probe.on_behalf_of:
                        return [
                            (probe.on_behalf_of[0], Ack(probe.on_behalf_of[1], self._gossip_for(probe.on_behalf_of[0])))
                        ]
                    self._adjust_health(-1)
            case NoAnswer(seq):
                if (probe := self.probes.get(seq)) is not None and probe.indirect:
                    probe.silent_helpers -= 1
        return []

    def observe_incarnation(self, now: int, name: str, incarnation: int) -> None:
        """Record that a message came from this incarnation of a member."""
        if name in self.others and incarnation > self.others[name].incarnation:
            self._apply(now, GossipItem(name, MemberState.ALIVE, incarnation, 0))

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Announce to all members that are alive that this one ends, so that none has to detect its absence."""
        self.leaving = True
        return [self._ping(now, other, None) for other in self.others.values() if other.state is MemberState.ALIVE]

    # Internal

    def _recover_from_stall(self, now: int, late: int) -> list[OutgoingMessage]:
        """Drop all probes and postpone all suspicions by the length of the stall.

        Otherwise a member that was suspended would find all its probes overdue and blame the members that it pinged.
        """
        self._adjust_health(self.config.max_health_score)
        self.probes.clear()
        self.suspicion_deadlines = {other: deadline + late for other, deadline in self.suspicion_deadlines.items()}
        self.next_probe = now + 1
        return []

    def _ping(self, now: int, target: RemoteMember, on_behalf_of: tuple[str, int] | None) -> OutgoingMessage:
        self.seq += 1
        wait = self.config.ack_timeout * (1 if on_behalf_of else 1 + self.health_score)
        self.probes[self.seq] = Probe(target, now + wait, on_behalf_of=on_behalf_of)
        return target.name, Ping(self.seq, self._gossip_for(target.name))

    def _probe_timed_out(self, now: int, seq: int, probe: Probe) -> list[OutgoingMessage]:
        if probe.on_behalf_of:
            del self.probes[seq]
            requester, requested_seq = probe.on_behalf_of
            return [(requester, NoAnswer(requested_seq, self._gossip_for(requester)))]
        if not probe.indirect:
            helpers = [o for o in self.others.values() if o.state is MemberState.ALIVE and o is not probe.target]
            helpers = self.rng.sample(helpers, min(self.config.indirect_pings, len(helpers)))
            probe.indirect, probe.silent_helpers = True, len(helpers)
            probe.deadline = now + 2 * self.config.ack_timeout * (1 + self.health_score)
            return [(o.name, Try(seq, probe.target.name, self._gossip_for(o.name))) for o in helpers]
        del self.probes[seq]
        # Helpers that did not answer either suggest that this member's own links are at fault.
        self._adjust_health(1 + probe.silent_helpers)
        target = probe.target
        self._apply(
            now, GossipItem(target.name, MemberState.SUSPECT, target.incarnation, target.refutations, self.name)
        )
        return []

    def _adjust_health(self, change: int) -> None:
        """Change the local health score, within its range; a positive change is for the worse."""
        self.health_score = min(max(self.health_score + change, 0), self.config.max_health_score)

    def _next_target(self) -> RemoteMember | None:
        """Return the member to ping next: each once in a round, in shuffled order, dead ones included."""
        if not self.probe_order:
            self.probe_order = list(self.others.values())
            self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _log_size(self) -> float:
        """Return the decimal logarithm of the cluster's size, but at least 1."""
        return max(math.log10(len(self.others) + 2), 1.0)

    def _suspicion_timeout(self, suspecting: int) -> int:
        """Return how long a suspicion lasts that this many members share (Lifeguard)."""
        shortest, longest = (
            periods * self.config.period * self._log_size()
            for periods in (self.config.min_suspicion_periods, self.config.max_suspicion_periods)
        )
        reduction = math.log(suspecting) / math.log(self.config.confirmations + 1) if suspecting > 1 else 0.0
        return int(max(longest - (longest - shortest) * reduction, shortest))

    def _apply(self, now: int, item: GossipItem) -> None:
        """Apply a gossip item unless it is outdated.

        The higher incarnation wins, then the higher number of refutations, then the worse state.
        """
        if item.name == self.name:
            if self.leaving or item.seems is MemberState.ALIVE or item.life > self.incarnation:
                return
            if (item.life, item.denials) >= (self.incarnation, self.refutations):
                self.refutations = max(self.refutations, item.denials) + 1
                self._adjust_health(1)
            # Queued again even for a suspicion that was refuted before: if all transmissions of a refutation were lost
            # in connections that the other ends had closed, this member would be considered dead for good.
            self.gossip.put(GossipItem(self.name, MemberState.ALIVE, self.incarnation, self.refutations))
            return
        other = self.others.get(item.name)
        if other is None:
            return
        known = (other.incarnation, other.refutations, other.state)
        if (item.life, item.denials, item.seems) <= known:
            if (item.life, item.denials, item.seems) == known and item.seems is MemberState.SUSPECT:
                self._add_suspecting_member(other, item.by)
            return
        came_back = other.state is MemberState.DEAD and item.seems is MemberState.ALIVE
        if other.state is not item.seems or item.life != other.incarnation:
            other.since = now
            self.changed[other] = None
        if came_back or item.seems is MemberState.DEAD and other.state is not MemberState.DEAD:
            other.failures = [*other.failures[-7:], now]
        other.incarnation, other.refutations, other.state = item.life, item.denials, item.seems
        self.suspicion_deadlines.pop(other, None)
        other.suspected_by = set()
        if item.seems is MemberState.SUSPECT:
            other.since = now
            self._add_suspecting_member(other, item.by)
        self.gossip.put(item)

    def _add_suspecting_member(self, other: RemoteMember, by: str) -> None:
        """Record that `by` suspects a member too, which shortens the suspicion."""
        if by and by not in other.suspected_by and len(other.suspected_by) <= self.config.confirmations:
            other.suspected_by.add(by)
            self.suspicion_deadlines[other] = other.since + self._suspicion_timeout(len(other.suspected_by))
            if len(other.suspected_by) > 1:
                self.gossip.put(GossipItem(other.name, MemberState.SUSPECT, other.incarnation, other.refutations, by))

    def _gossip_for(self, recipient: str) -> tuple[GossipItem, ...]:
        """Return the gossip for a message: the items sent least often first.

        A recipient that is suspected or considered dead is always told so.
        """
        if self.leaving:  # only the farewell: queued, it could be crowded out or reach its transmission limit
            return (GossipItem(self.name, MemberState.DEAD, self.incarnation, self.refutations, self.name),)
        # With a fixed number of items, a cluster that starts or loses a third of its members would need minutes to
        # spread them all.
        count = max(self.config.gossip_items, min(len(self.gossip) // 3, self.config.max_gossip_items))
        items = self.gossip.take(count, math.ceil(self.config.transmit_factor * self._log_size()))
        other = self.others[recipient]
        if other.state is not MemberState.ALIVE and all(item.name != recipient for item in items):
            items += (GossipItem(recipient, other.state, other.incarnation, other.refutations, self.name),)
        return items
