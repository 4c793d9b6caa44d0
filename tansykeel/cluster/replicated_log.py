"""A replicated log of entries that all gateways of a fleet apply in one order. Without I/O.

Multi-Paxos with one leader at a time (Lamport, "Paxos Made Simple", 2001) among the voters of the agreed view. The log
moves from view to view as in Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009): the leader of a new view first asks a
majority of the previous view's voters, which from then on accept nothing under that view. A leader adopts a whole log:
the one accepted under the highest ballot and, among those, the longest, as in Viewstamped Replication Revisited
(Liskov, Cowling, 2012). Differences from the papers: nothing is stored on disk, so a voter that restarts is a new
member and does not vote on what it forgot; a voter votes for the successor of a view only after it adopted the log
under that view, so it is always enough to ask the voters of one view back; and committed entries may be missing from a
view that all members formed without a vote, or that an operator lets go on without the voters of the previous one: its
first entry marks the state as lost until an operator restores it.
`docs/maintenance.md` has the argument; `tansykeel.maintenance.model_checker` tries orders of events on the log. Times
are tenths of a millisecond.
"""

from __future__ import annotations

from copy import copy
from typing import Protocol

from msgspec import Struct

from tansykeel.cluster.membership import Member, View, majority

Ballot = tuple[int, int, str]  # view number, round, name of the leader
ZERO_BALLOT: Ballot = (0, 0, "")
MAX_APPLIED_ENTRIES = 128  # applied entries kept for voters that lag; beyond it a snapshot replaces them
MAX_UNCOMMITTED_ENTRIES = 64  # entries that wait for a majority; the leader refuses more
MAX_ENTRY_BYTES = 16 << 10
ELECTION_TIMEOUT_LEASES = 2  # leases without a message from a leader after which the next voter starts an election


class StateMachine(Protocol):
    """The state that the entries change. All voters apply the same entries in the same order."""

    def apply(self, index: int, entry: bytes) -> None: ...  # apply a committed entry
    def snapshot(self) -> bytes: ...  # return the whole state
    def restore(self, data: bytes) -> None: ...  # replace the state by that of a snapshot
    def state_lost_entry(self, number: int) -> bytes: ...  # the entry that says that view `number` lost the state
    def copy(self) -> StateMachine: ...  # return an independent copy


class LogPrepare(Struct, frozen=True, array_like=True):
    """Paxos phase 1a: asks for the accepted log and for a promise to accept nothing under a lower ballot."""

    ballot: Ballot


class LogPromise(Struct, frozen=True, array_like=True):
    """Paxos phase 1b: a snapshot of the first `base` entries and the entries after it, accepted under `accepted`."""

    ballot: Ballot
    accepted: Ballot
    base: int
    snapshot: bytes
    entries: tuple[bytes, ...]
    commit: int


class InstallSnapshot(Struct, frozen=True, array_like=True):
    """Replaces a voter's whole log. `at`: the leader's clock, returned in the answer."""

    ballot: Ballot
    base: int
    snapshot: bytes
    entries: tuple[bytes, ...]
    commit: int
    at: int


class LogAccept(Struct, frozen=True, array_like=True):
    """Paxos phase 2a: the entries after index `after`, for a log that was installed under the same ballot."""

    ballot: Ballot
    after: int
    entries: tuple[bytes, ...]
    commit: int
    at: int


class LogAccepted(Struct, frozen=True, array_like=True):
    """Paxos phase 2b: accepted under the ballot up to this index; -1: nothing yet, the voter needs the whole log."""

    ballot: Ballot
    upto: int
    at: int


class LogRejected(Struct, frozen=True, array_like=True):
    """The voter promised `ballot`, which is higher than that of the message."""

    ballot: Ballot


class Propose(Struct, frozen=True, array_like=True):
    """A proposed entry on its way to the leader. `hops`: how often voters forwarded it so far."""

    entry: bytes
    hops: int = 0


LogMessage = LogPrepare | LogPromise | InstallSnapshot | LogAccept | LogAccepted | LogRejected | Propose
OutgoingMessage = tuple[str, LogMessage]  # recipient and message


class LeaderState:
    """What a leader or candidate knows of the voters and electors that it asked."""

    def __init__(self, ballot: Ballot) -> None:
        self.ballot = ballot
        self.promises: dict[Member, LogPromise] = {}
        self.acked: dict[Member, int] = {}  # the last entry that each accepted under this ballot
        self.acked_at: dict[Member, int] = {}  # by this clock, when the last message that each answered was sent
        self.ready = False  # elected: the log is adopted under this ballot

    def copy(self) -> LeaderState:
        """Return an independent copy."""
        made = copy(self)
        made.promises, made.acked, made.acked_at = dict(self.promises), dict(self.acked), dict(self.acked_at)
        return made


class ReplicatedLog:
    """One gateway's replica of the log. `tick` sends lost messages again; call it several times per lease."""

    def __init__(self, me: Member, machine: StateMachine, lease: int, now: int) -> None:
        self.me, self.machine, self.lease = me, machine, lease
        self.view: View | None = None
        self.promised = self.accepted = ZERO_BALLOT
        self.base, self.snapshot, self.entries = 0, machine.snapshot(), list[bytes]()
        self.commit = self.applied = 0
        self.leader_seen_at = now  # last message of a leader of this view, or own election
        self.leader = ""  # the name of the last known leader
        self.leader_state: LeaderState | None = None
        self.skip_electors = False  # an operator accepted that the entries of the previous view may be lost

    @property
    def last_index(self) -> int:
        """The index of the last entry; the first entry has index 1."""
        return self.base + len(self.entries)

    @property
    def state_transferred(self) -> bool:
        """Whether this replica adopted the log under the current view."""
        return self.view is not None and self.accepted[0] == self.view.number

    @property
    def sealed(self) -> bool:
        """Whether this replica promised a later, formed view and so takes part in nothing under the current one. The
        later view may never become active, for one of its members may crash first."""
        return self.view is not None and self.promised[0] > self.view.number

    @property
    def leads(self) -> bool:
        """Whether this replica leads and a majority adopted its log."""
        return self.leader_state is not None and self.leader_state.ready and self._quorum_accepted() >= self.base

    def leader_confirmed_at(self, now: int) -> int:
        """Return the latest time of this clock at which it certainly led, as a majority answered messages sent then and
        so had promised no higher ballot; -1 if it does not lead. Orders requested later must not be given yet."""
        if not self.leads or self.view is None or self.leader_state is None:
            return -1
        answered = [
            now if voter == self.me else self.leader_state.acked_at.get(voter, -1) for voter in self.view.voters
        ]
        return sorted(answered, reverse=True)[majority(self.view.voters) - 1]

    def copy(self) -> ReplicatedLog:
        """Return an independent copy."""
        made = copy(self)
        made.machine, made.entries = self.machine.copy(), list(self.entries)
        made.leader_state = self.leader_state and self.leader_state.copy()
        return made

    def key(self) -> tuple[object, ...]:
        """Return everything that determines future behaviour, to compare states in a search."""
        leader_key = self.leader_state and (
            self.leader_state.ballot,
            self.leader_state.ready,
            frozenset(self.leader_state.promises.items()),
            frozenset(self.leader_state.acked.items()),
        )
        return (
            self.me,
            self.view and self.view.number,
            self.promised,
            self.accepted,
            self.base,
            tuple(self.entries),
            self.commit,
            leader_key,
            self.skip_electors,
        )

    def install_view(self, now: int, view: View) -> None:
        """Switch to a newly agreed view, without a leader at first."""
        self.view, self.leader_state, self.leader, self.leader_seen_at, self.skip_electors = view, None, "", now, False

    def tick(self, now: int, turn: int) -> list[OutgoingMessage]:
        """Start an election if no leader is heard of; as leader or candidate, send again what may be lost. `turn`: this
        gateway's position among the voters that seem alive; with a higher one it waits longer for an election."""
        if self.view is None or self.me not in self.view.voters:
            return []
        if self.leader_state is None:
            first = not self.state_transferred and turn == 0  # in a new view the first voter need not wait
            if not first and now - self.leader_seen_at < self.lease * ELECTION_TIMEOUT_LEASES * (1 + turn):
                return []
            return self.start_election(now)
        self.leader_seen_at = now
        return self._replicate(now) if self.leader_state.ready else self._send_prepares()

    def start_election(self, now: int) -> list[OutgoingMessage]:
        """Send Prepare under a new ballot to the voters of this view and of the previous one."""
        if self.view is None or self.me not in self.view.voters:
            return []
        next_round = self.promised[1] + 1 if self.promised[0] == self.view.number else 1
        ballot = (self.view.number, next_round, self.me.name)
        if ballot <= self.promised:
            return []
        self.leader_state, self.leader_seen_at = LeaderState(ballot), now
        sent = self._send_prepares()
        return sent + self._handle_promise(self.me, self._make_promise(ballot))

    def seal(self, number: int) -> None:
        """Promise to accept nothing under views before the formed view `number`. Otherwise the leader of an older view
        could commit entries while all members take up the formed view."""
        self._promise(max(self.promised, (number, 0, "")))

    def recover_without_electors(self, now: int) -> list[OutgoingMessage]:
        """Let a majority of this view's voters elect a leader without the electors, the previous view's voters. An
        operator calls this where a majority of the electors, and what only they knew, is lost for good."""
        self.skip_electors = True
        return self._try_to_lead(now) if self.leader_state else self.start_election(now)

    def append_entry(self, now: int, entry: bytes) -> tuple[bool, list[OutgoingMessage]]:
        """Append an entry if this gateway leads and the entry is within the limits; return whether it was appended."""
        if (
            not self.leads
            or self.last_index - self.commit >= MAX_UNCOMMITTED_ENTRIES
            or len(entry) > MAX_ENTRY_BYTES
            or self.view is None
        ):
            return False, []
        self.entries.append(entry)
        sent = self._replicate(now)
        self._update_commit()  # a single voter is a majority by itself
        return True, sent

    def broadcast_commit(self, now: int) -> list[OutgoingMessage]:
        """As leader, send the commit index to the voters now rather than with the next entry or tick."""
        return self._replicate(now) if self.leads else []

    def handle_message(self, now: int, sender: Member, message: LogMessage) -> list[OutgoingMessage]:
        """Handle a message, which may be late or repeated; return the messages to send."""
        if isinstance(message, LogPrepare | InstallSnapshot | LogAccept) and message.ballot < self.promised:
            return [(sender.name, LogRejected(self.promised))]
        match message:
            case LogPrepare(ballot):
                return [(sender.name, self._make_promise(ballot))]
            case LogPromise():
                return self._handle_promise(sender, message)
            case InstallSnapshot(ballot, base, snapshot, entries, commit, sent_at):
                self._acknowledge_leader(now, ballot, sender)
                if self.accepted != ballot or base > self.last_index:
                    self._adopt_log(ballot, base, snapshot, entries)
                elif self.last_index < base + len(entries):  # a repeated message must not remove newer entries
                    self.entries += entries[self.last_index - base :]
                self._commit_up_to(min(commit, self.last_index))
                return [(sender.name, LogAccepted(ballot, self.last_index, sent_at))]
            case LogAccept(ballot, after, entries, commit, sent_at):
                self._acknowledge_leader(now, ballot, sender)
                if self.accepted != ballot:
                    return [(sender.name, LogAccepted(ballot, -1, sent_at))]
                if after <= self.last_index < after + len(entries):
                    self.entries += entries[self.last_index - after :]
                self._commit_up_to(min(commit, self.last_index))
                return [(sender.name, LogAccepted(ballot, self.last_index, sent_at))]
            case LogAccepted(ballot, up_to, sent_at):
                if (
                    self.leader_state
                    and self.leader_state.ready
                    and ballot == self.leader_state.ballot
                    and self.view
                    and sender in self.view.voters
                ):
                    self.leader_state.acked[sender] = max(self.leader_state.acked.get(sender, -1), up_to)
                    self.leader_state.acked_at[sender] = max(self.leader_state.acked_at.get(sender, sent_at), sent_at)
                    self._update_commit()
                    return self._replicate_to(now, sender) if up_to < self.last_index else []
            case LogRejected(ballot):
                if self.leader_state and ballot > self.leader_state.ballot:
                    self._promise(max(self.promised, ballot))
        return []

    def _adopt_log(self, ballot: Ballot, base: int, snapshot: bytes, entries: tuple[bytes, ...]) -> None:
        """Replace the whole log and restore its snapshot: after a loss it may lack entries that were applied here."""
        self.accepted, self.base, self.snapshot, self.entries = ballot, base, snapshot, list(entries)
        self.machine.restore(snapshot)
        self.commit = self.applied = base

    def _promise(self, ballot: Ballot) -> None:
        """Accept nothing under a lower ballot from now on, and stop leading under one."""
        self.promised = ballot
        if self.leader_state and self.leader_state.ballot < ballot:
            self.leader_state = None

    def _acknowledge_leader(self, now: int, ballot: Ballot, leader: Member) -> None:
        self._promise(ballot)
        self.leader_seen_at, self.leader = now, leader.name

    def _make_promise(self, ballot: Ballot) -> LogPromise:
        """Promise the ballot and return the accepted log."""
        self._promise(ballot)
        return LogPromise(ballot, self.accepted, self.base, self.snapshot, tuple(self.entries), self.commit)

    def _handle_promise(self, sender: Member, promise: LogPromise) -> list[OutgoingMessage]:
        if self.leader_state is None or self.leader_state.ready or promise.ballot != self.leader_state.ballot:
            return []
        self.leader_state.promises[sender] = promise
        return self._try_to_lead(self.leader_seen_at)

    def _try_to_lead(self, now: int) -> list[OutgoingMessage]:
        """Adopt the log and lead once enough voters promised that no committed entry can be missing."""
        view, leader_state = self.view, self.leader_state
        if view is None or leader_state is None or leader_state.ready:
            return []
        promises = [promise for member, promise in leader_state.promises.items() if member in view.voters]
        if len(promises) < majority(view.voters):
            return []
        formed = not view.electors
        if not formed and not self.skip_electors and all(promise.accepted[0] < view.number for promise in promises):
            # No voter adopted the log under this view yet. A majority of the electors knows every committed entry.
            elector_promises = [promise for member, promise in leader_state.promises.items() if member in view.electors]
            if len(elector_promises) < majority(view.electors):
                return []
            promises += elector_promises
        best = max(promises, key=lambda p: (p.accepted, p.base + len(p.entries), p.commit))
        first_in_view = best.accepted[0] < view.number  # no log was adopted under this view before
        leader_state.ready, self.leader = True, self.me.name
        self._adopt_log(leader_state.ballot, best.base, best.snapshot, best.entries)
        if first_in_view and (formed or self.skip_electors):
            self.entries.append(self.machine.state_lost_entry(view.number))
        self._commit_up_to(min(max(promise.commit for promise in promises), self.last_index))
        leader_state.acked = {self.me: self.last_index}
        sent = self._replicate(now)
        self._update_commit()
        return sent

    def _send_prepares(self) -> list[OutgoingMessage]:
        """Send Prepare to the voters and electors that have not promised yet."""
        assert self.view is not None and self.leader_state is not None
        recipients = dict.fromkeys((*self.view.voters, *self.view.electors))
        return [
            (member.name, LogPrepare(self.leader_state.ballot))
            for member in recipients
            if member != self.me and member not in self.leader_state.promises
        ]

    def _replicate(self, now: int) -> list[OutgoingMessage]:
        assert self.view is not None
        return [sent for voter in self.view.voters if voter != self.me for sent in self._replicate_to(now, voter)]

    def _replicate_to(self, now: int, voter: Member) -> list[OutgoingMessage]:
        """Send what the voter is not known to have accepted; without new entries it is the leader's heartbeat."""
        leader_state = self.leader_state
        assert leader_state is not None
        up_to = leader_state.acked.get(voter, -1)
        if up_to < self.base:
            message: LogMessage = InstallSnapshot(
                leader_state.ballot, self.base, self.snapshot, tuple(self.entries), self.commit, now
            )
        else:
            message = LogAccept(leader_state.ballot, up_to, tuple(self.entries[up_to - self.base :]), self.commit, now)
        return [(voter.name, message)]

    def _quorum_accepted(self) -> int:
        """Return the index up to which a majority of voters accepted under this ballot; -1: none yet."""
        assert self.leader_state is not None and self.view is not None
        self.leader_state.acked[self.me] = self.last_index
        accepted = sorted((self.leader_state.acked.get(voter, -1) for voter in self.view.voters), reverse=True)
        return accepted[majority(self.view.voters) - 1]

    def _update_commit(self) -> None:
        if self.leader_state is not None and self.leader_state.ready:
            self._commit_up_to(self._quorum_accepted())

    def _commit_up_to(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        while self.applied < index:
            self.machine.apply(self.applied + 1, self.entries[self.applied - self.base])
            self.applied += 1
        if self.applied - self.base > MAX_APPLIED_ENTRIES:
            # Bounds the memory; a voter that lags further behind is sent the snapshot.
            del self.entries[: self.applied - self.base]
            self.base, self.snapshot = self.applied, self.machine.snapshot()
