"""One member of the cluster: it monitors the others, agrees on views with them and proposes the next view.

Of the voters that are alive, the first by name proposes; the next one proposes if nothing has come of it after a
lease. Proposals follow the failure detector, which can be wrong; what members divide depends on agreed views only.

Does no I/O. Times are in tenths of a millisecond of the member's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction
from random import Random

from tansykeel.cluster import replicated_log
from tansykeel.cluster.allotments import Allotments
from tansykeel.cluster.failure_detector import (
    Ack,
    DetectorConfig,
    DetectorMessage,
    FailureDetector,
    NoAnswer,
    Ping,
    Try,
)
from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.membership import SAFE_FRACTION, Decided, Member, ViewMessage
from tansykeel.cluster.view_agreement import LeaseTerms, ViewAgreement
from tansykeel.errors import Problem

RENEWALS_PER_LEASE = 3
MAX_HOPS = 3  # of a log entry that is forwarded to the leader
LEASES_BEFORE_FORMING = 2  # time without a working view after which a member tries to form one with all others


class MemberStillAlive(Problem, ValueError):
    """A view can't be formed without a member that is considered alive, or without a name that is no member's."""

    advice = "stop the process that runs under the name first, or name one that does not run"


@dataclass(frozen=True, slots=True)
class Placement:
    """Zone and weight of a member, from the settings."""

    zone: int = 0
    weight: int = 1


ClusterMessage = DetectorMessage | ViewMessage | replicated_log.LogMessage
OutgoingMessage = tuple[str, ClusterMessage]  # recipient and message


class ClusterMember:
    """Combines the failure detector, the view agreement and the replicated log of one member.

    `tick` has to be called when it is due, and `handle_message` for each message that arrives. Each call returns the
    messages to send.
    """

    def __init__(
        self,
        name: str,
        placements: Mapping[str, Placement],
        incarnation: int,
        detector_config: DetectorConfig,
        terms: LeaseTerms,
        rng: Random,
        now: int,
        machine: replicated_log.StateMachine | None = None,
    ) -> None:
        """`incarnation` has to be higher than that of any earlier start: the wall clock's milliseconds.

        Without a state machine the member keeps no replicated log.
        """
        self.placements, self.terms = placements, terms
        self.failure_detector = FailureDetector(name, placements, incarnation, detector_config, rng, now)
        self.agreement = ViewAgreement(self._make_member(name, incarnation), tuple(sorted(placements)), terms, now)
        self.replicated_log = replicated_log.ReplicatedLog(self.me, machine, terms.lease, now) if machine else None
        # Since when there has been no working view, and since when another membership has been wanted (-1: it is not).
        self.next_renewal, self.no_view_since, self.change_wanted_since = now, now, -1
        # For limits that are replenished in proportion to this member's part.
        self.allotments = Allotments(len(placements), SAFE_FRACTION / len(placements), now)
        self.counted = self.counts(now)  # as of the last call
        self.last_told: dict[str, tuple[int, int]] = {}  # number of the view sent last to each other member, and when
        self.forward_index = 0  # of the voter to which the last entry was forwarded
        self.last_number = 0  # of the view that `_propose_change` saw last
        self.without: set[str] = set()  # members that a view may be formed without, by an operator's statement

    @property
    def me(self) -> Member:
        """This member, as views list it."""
        return self.agreement.me

    def part(self, now: int) -> Fraction:
        """Return the part of any whole that this member may count as its own."""
        return self.agreement.part(now)

    def counts(self, now: int) -> tuple[int, Fraction, int]:
        """Return the number of the member's view, its part, and when that expires without renewal (0: never)."""
        until = self.agreement.lease_expires_at()
        return self.agreement.number, self.part(now), until if until > now else 0

    def due(self) -> int:
        """Return when `tick` must be called next."""
        return min(self.next_renewal, self.failure_detector.due())

    def tick(self, now: int, wall_ms: int) -> list[OutgoingMessage]:
        """Do what is due. `wall_ms` is the wall clock, which numbers a view that is formed anew."""
        sent = self._tick(now, wall_ms)
        self._sync_log(now)
        self._record_part(now)
        return sent

    def handle_message(self, now: int, sender: Member, message: ClusterMessage) -> list[OutgoingMessage]:
        """Handle a message from another member."""
        sent = self._heard(now, sender, message)
        self._sync_log(now)
        self._record_part(now)
        return sent

    def offer(self, now: int, entry: bytes) -> tuple[bool, list[OutgoingMessage]]:
        """Append an entry to the replicated log if this member leads it, else forward it towards the leader.

        Returns False if there is nobody to take the entry.
        """
        if self.replicated_log is None:
            return False, []
        added, sent = self.replicated_log.append_entry(now, entry)
        return (True, list(sent)) if added else self._forward(replicated_log.Propose(entry))

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Announce that this member ends soon. It requests no leases from now on."""
        self._record_part(now)
        return list(self.failure_detector.leave(now))

    def go_without(self, names: Iterable[str]) -> None:
        """Accept an operator's statement that no process runs under these names: a view may be formed without them.

        Raises MemberStillAlive for a name that is no other member's, or whose member is considered alive.
        """
        others = self.failure_detector.others
        for name in names:
            if name not in others:
                raise MemberStillAlive(f"{name!r} is no other member in the settings; legal: {', '.join(others)}")
            if others[name].incarnation and others[name].state is MemberState.ALIVE:
                raise MemberStillAlive(f"{name} is considered alive, in its incarnation {others[name].incarnation}")
            self.without.add(name)

    # Internal

    def _record_part(self, now: int) -> None:
        if (counted := self.counts(now)) != self.counted:
            self.counted = counted
            self.allotments.set_part(now, counted[1], counted[2])

    def _tick(self, now: int, wall_ms: int) -> list[OutgoingMessage]:
        sent: list[OutgoingMessage] = []
        if now >= self.failure_detector.due():
            sent += self.failure_detector.tick(now)
        if now >= self.next_renewal:
            self.next_renewal = now + self.terms.lease // RENEWALS_PER_LEASE
            if self.failure_detector.leaving:  # its own lease expires; as a voter it goes on granting leases
                return sent
            sent += self.agreement.renew(now)
            sent += self._propose_change(now, wall_ms)
            sent += self._tick_log(now)
        return sent

    def _heard(self, now: int, sender: Member, message: ClusterMessage) -> list[OutgoingMessage]:
        # A member that just started learns the others' incarnations from their messages: the gossip that announced
        # them was sent long ago.
        self.failure_detector.observe_incarnation(now, sender.name, sender.incarnation)
        self.without.discard(sender.name)  # the operator's statement was wrong, or does not hold any more
        if isinstance(message, Ping | Ack | Try | NoAnswer):
            return list(self.failure_detector.handle_message(now, sender.name, message))
        if isinstance(message, replicated_log.LogMessage):
            return self._handle_log_message(now, sender, message)
        return self._drop_repeated_views(now, self.agreement.handle_message(now, sender, message))

    def _handle_log_message(
        self, now: int, sender: Member, message: replicated_log.LogMessage
    ) -> list[OutgoingMessage]:
        if self.replicated_log is None:
            return []
        if isinstance(message, replicated_log.Propose):
            added, sent = self.replicated_log.append_entry(now, message.entry)
            return list(sent) if added else self._forward(message)[1]
        return list(self.replicated_log.handle_message(now, sender, message))

    def _forward(self, proposal: replicated_log.Propose) -> tuple[bool, list[OutgoingMessage]]:
        """Forward a log entry to the leader, or to a voter if no other member is known to lead."""
        view = self.agreement.view
        if self.replicated_log is None or view is None or proposal.hops >= MAX_HOPS:
            return False, []
        to = self.replicated_log.leader
        if to in ("", self.me.name):
            others = [voter.name for voter in view.voters if voter != self.me]
            if not others:
                return False, []
            self.forward_index = (self.forward_index + 1) % len(others)
            to = others[self.forward_index]
        return True, [(to, replicated_log.Propose(proposal.entry, proposal.hops + 1))]

    def _sync_log(self, now: int) -> None:
        """Bring the log to the agreed view, and the agreement to the state of the log.

        This member votes for a next view only once it has taken over the log under the present one.
        """
        log, agreement = self.replicated_log, self.agreement
        if log is None:
            return
        if agreement.view is not None and agreement.view is not log.view:
            log.install_view(now, agreement.view)
        if agreement.formed is not None:
            log.seal(agreement.formed.number)
        agreement.state_transferred = log.state_transferred
        agreement.sealed = log.sealed

    def _tick_log(self, now: int) -> list[OutgoingMessage]:
        view = self.agreement.view
        if self.replicated_log is None or view is None or self.me not in view.voters:
            return []
        others = self.failure_detector.others
        not_dead = sorted(
            voter.name
            for voter in view.voters
            if voter == self.me or voter.name in others and others[voter.name].state is not MemberState.DEAD
        )
        return list(self.replicated_log.tick(now, not_dead.index(self.me.name)))

    def _drop_repeated_views(self, now: int, answers: list[tuple[str, ViewMessage]]) -> list[OutgoingMessage]:
        """Drop a Decided that repeats one sent to the same member within a renewal interval.

        A member that stalled sends hundreds of late messages, each of which would be answered with the same view. One
        copy suffices until its next request is due.
        """
        sent: list[OutgoingMessage] = []
        for to, message in answers:
            if isinstance(message, Decided):
                number, at = self.last_told.get(to, (0, 0))
                if number == message.view.number and now - at < self.terms.lease // RENEWALS_PER_LEASE:
                    continue
                self.last_told[to] = message.view.number, now
            sent.append((to, message))
        return sent

    def _make_member(self, name: str, incarnation: int) -> Member:
        return Member(name, incarnation, self.placements[name].zone, self.placements[name].weight)

    def _propose_change(self, now: int, wall_ms: int) -> list[OutgoingMessage]:
        """Propose the next view if another membership is wanted; form a view if none has worked for a while.

        The voters that are to stay propose one after the other by name, a lease apart; a member without a vote comes
        last.
        """
        agreement, view = self.agreement, self.agreement.view
        if agreement.number != self.last_number:
            # A new view works only once the grants of the previous one are over; without a fresh wait another view
            # would be formed before that, again and again.
            self.last_number, self.no_view_since = agreement.number, now
        if view is None or not agreement.has_working_view(now):
            tried = agreement.forming is not None or view is not None
            return (
                []
                if tried and now - self.no_view_since < LEASES_BEFORE_FORMING * self.terms.lease
                else self._form_view(now, wall_ms)
            )
        self.no_view_since = now
        wanted = self._wanted_members(now, view.members)
        if wanted == view.members or self.me not in wanted:
            self.change_wanted_since = -1
            return []
        if self.change_wanted_since < 0:
            self.change_wanted_since = now
        proposers = sorted(voter.name for voter in view.voters if voter in wanted)
        turn = proposers.index(self.me.name) if self.me.name in proposers else len(proposers)
        if now - self.change_wanted_since < turn * self.terms.lease:
            return []
        self.change_wanted_since = now  # waits for its turn again if the proposal fails
        return list(agreement.propose(now, wanted))

    def _wanted_members(self, now: int, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """Return the members of the view that are not dead in their incarnation, and other members that are stable."""
        others = self.failure_detector.others
        staying = [
            m
            for m in members
            if m == self.me
            or m.name in others
            and others[m.name].incarnation <= m.incarnation
            and others[m.name].state is not MemberState.DEAD
        ]
        names = {member.name for member in staying}
        joining = [
            self._make_member(name, others[name].incarnation)
            for name in self.failure_detector.stable_members(now)
            if name in others and name not in names
        ]
        return tuple(sorted([*staying, *joining]))

    def _form_view(self, now: int, wall_ms: int) -> list[OutgoingMessage]:
        """Form a view of all members in the settings if all are stable and this one is the first by name.

        A member that was told to go without some names forms one of the others, whether it is the first or not.
        """
        stable = self.failure_detector.stable_members(now)
        without = tuple(sorted(self.without))
        if len({*stable, *without}) < len(self.placements) or stable[0] != self.me.name and not without:
            return []
        self.no_view_since, stable = now, [name for name in stable if name not in self.without]
        others = self.failure_detector.others
        members = [self.me, *(self._make_member(name, others[name].incarnation) for name in stable if name in others)]
        return list(self.agreement.form(now, members, wall_ms, without))
