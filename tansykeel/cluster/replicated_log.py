"""One order of entries for a fleet that agrees on views: for what must never be decided twice. Without I/O.

Multi-Paxos with one leader at a time (Lamport, "Paxos Made Simple", 2001), among the voters of the agreed view. It
moves from view to view as in Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009): the leader of a new view first asks a
majority of the voters of the view before, which accept nothing under that view from then on. A log is taken over whole,
the one accepted under the highest ballot and the longest of those, as in Viewstamped Replication Revisited (Liskov,
Cowling, 2012). Changed: nothing is on disk, so a voter that returned is another member and counts for nothing it
forgot; no one votes for the successor of a view whose ledger it has not taken over, so that one view back is always
enough; and what a view that all formed knows is a guess: its first entry says that the state is lost, until an
operator's word.
`docs/maintenance.md` has the argument; `tansykeel.maintenance.model_checker` tries orders of events on it. Times are
tenths of a millisecond.
"""

from __future__ import annotations

from copy import copy
from typing import Protocol

from msgspec import Struct

from tansykeel.cluster.membership import Member, View, majority

Ballot = tuple[int, int, str]  # a ballot: the view's number, round, name of the leader
ZERO_BALLOT: Ballot = (0, 0, "")
MOST_KEPT = 128  # entries that are applied and kept, for voters that lag; then a snapshot takes their place
MOST_OPEN = 64  # entries that wait for a majority; more are not taken
MOST_ENTRY = 16 << 10  # bytes
PATIENCE = 2  # leases without a word of a leader after which the next voter tries


class StateMachine(Protocol):
    """What the entries are for. All voters apply the same ones in the same order."""

    def apply(self, index: int, entry: bytes) -> None: ...
    def snapshot(self) -> bytes: ...
    def restore(self, data: bytes) -> None: ...
    def state_lost_entry(
        self, number: int
    ) -> bytes: ...  # the entry by which view `number` says that the state is a guess
    def copy(self) -> StateMachine: ...


class LogPrepare(Struct, frozen=True, array_like=True):
    """Asks for what was accepted, and for nothing to be accepted under a lower ballot."""

    ballot: Ballot


class LogPromise(Struct, frozen=True, array_like=True):
    """The answer: a snapshot after `base` entries and those that follow, as accepted under a ballot."""

    ballot: Ballot
    accepted: Ballot
    base: int
    snapshot: bytes
    entries: tuple[bytes, ...]
    commit: int


class InstallSnapshot(Struct, frozen=True, array_like=True):
    """Takes the place of a voter's whole log. `at`: the leader's clock, which comes back."""

    ballot: Ballot
    base: int
    snapshot: bytes
    entries: tuple[bytes, ...]
    commit: int
    at: int


class LogAccept(Struct, frozen=True, array_like=True):
    """Entries after the first `after`, of a log that was installed under the same ballot."""

    ballot: Ballot
    after: int
    entries: tuple[bytes, ...]
    commit: int
    at: int


class LogAccepted(Struct, frozen=True, array_like=True):
    """Accepted under the ballot up to this entry; -1: nothing yet, the whole log is wanted."""

    ballot: Ballot
    upto: int
    at: int


class LogRejected(Struct, frozen=True, array_like=True):
    """A higher ballot was promised."""

    ballot: Ballot


class Propose(Struct, frozen=True, array_like=True):
    """An entry for whoever leads; passed on by voters."""

    entry: bytes
    hops: int = 0


LogMessage = LogPrepare | LogPromise | InstallSnapshot | LogAccept | LogAccepted | LogRejected | Propose
Sent = tuple[str, LogMessage]


class LeaderState:
    """What a leader, or who tries to be one, knows of the others."""

    def __init__(self, ballot: Ballot) -> None:
        self.ballot = ballot
        self.held: dict[Member, LogPromise] = {}
        self.took: dict[Member, int] = {}
        self.answered: dict[Member, int] = {}  # when what each answered last was said, by the leader's clock
        self.ready = False  # the log is settled

    def copy(self) -> LeaderState:
        made = copy(self)
        made.held, made.took, made.answered = dict(self.held), dict(self.took), dict(self.answered)
        return made


class ReplicatedLog:
    """One gateway's side of it. What is lost is sent anew by `tick`, to be called several times a lease."""

    def __init__(self, me: Member, machine: StateMachine, lease: int, now: int) -> None:
        self.me, self.machine, self.lease = me, machine, lease
        self.view: View | None = None
        self.promised = self.accepted = ZERO_BALLOT
        self.base, self.snapshot, self.entries = 0, machine.snapshot(), list[bytes]()
        self.commit = self.applied = 0
        self.heard_at = now  # of a leader under this view
        self.leader = ""  # by name, as last heard
        self.leader_state: LeaderState | None = None
        self.by_word = False  # an operator says that what a majority of the view before knew is lost for good

    # What it says

    @property
    def last_index(self) -> int:
        return self.base + len(self.entries)

    @property
    def state_transferred(self) -> bool:
        """Whether it has taken over the ledger under the present view."""
        return self.view is not None and self.accepted[0] == self.view.number

    @property
    def sealed(self) -> bool:
        """Whether it promised itself to a later view that was to be formed: nobody leads it under the present one.

        That view may never come about, for a member of it may die first.
        """
        return self.view is not None and self.promised[0] > self.view.number

    @property
    def leads(self) -> bool:
        """Whether it leads, and a majority has taken its log over."""
        return self.leader_state is not None and self.leader_state.ready and self._settled() >= self.base

    def leader_confirmed_at(self, now: int) -> int:
        """Up to which moment of its own clock it surely led: a majority answered what it said then, and so had
        promised nothing higher. An order that was asked for later is not given yet."""
        if not self.leads or self.view is None or self.leader_state is None:
            return -1
        answered = [
            now if voter == self.me else self.leader_state.answered.get(voter, -1) for voter in self.view.voters
        ]
        return sorted(answered, reverse=True)[majority(self.view.voters) - 1]

    def copy(self) -> ReplicatedLog:
        made = copy(self)
        made.machine, made.entries = self.machine.copy(), list(self.entries)
        made.leader_state = self.leader_state and self.leader_state.copy()
        return made

    def key(self) -> tuple[object, ...]:
        """All that decides what it will do."""
        leader_state = self.leader_state and (
            self.leader_state.ballot,
            self.leader_state.ready,
            frozenset(self.leader_state.held.items()),
            frozenset(self.leader_state.took.items()),
        )
        return (
            self.me,
            self.view and self.view.number,
            self.promised,
            self.accepted,
            self.base,
            tuple(self.entries),
            self.commit,
            leader_state,
            self.by_word,
        )

    # Steps that this gateway takes

    def install_view(self, now: int, view: View) -> None:
        """Another view was agreed on."""
        self.view, self.leader_state, self.leader, self.heard_at, self.by_word = view, None, "", now, False

    def tick(self, now: int, turn: int) -> list[Sent]:
        """`turn`: this gateway's place among the voters that seem to be there."""
        if self.view is None or self.me not in self.view.voters:
            return []
        if self.leader_state is None:
            first = not self.state_transferred and turn == 0  # a new view: its first voter need not wait
            if not first and now - self.heard_at < self.lease * PATIENCE * (1 + turn):
                return []
            return self.start_election(now)
        self.heard_at = now
        return self._catch_all(now) if self.leader_state.ready else self._gather()

    def start_election(self, now: int) -> list[Sent]:
        """Try to lead: ask the voters of this view and of the one before for what they hold."""
        if self.view is None or self.me not in self.view.voters:
            return []
        after = self.promised[1] + 1 if self.promised[0] == self.view.number else 1  # the round
        ballot = (self.view.number, after, self.me.name)
        if ballot <= self.promised:
            return []
        self.leader_state, self.heard_at = LeaderState(ballot), now
        sent = self._gather()
        return sent + self._held(self.me, self._hold(ballot))

    def seal(self, number: int) -> None:
        """It took up a formed view: guards against an older view's leader that decides while all form this one."""
        self._promise(max(self.promised, (number, 0, "")))

    def recover_without_electors(self, now: int) -> list[Sent]:
        """An operator's word that what the view before knew is lost: a majority of this view's voters is enough."""
        self.by_word = True
        return self._try(now) if self.leader_state else self.start_election(now)

    def append_entry(self, now: int, entry: bytes) -> tuple[bool, list[Sent]]:
        """Add an entry, where this gateway leads and has room for it."""
        if not self.leads or self.last_index - self.commit >= MOST_OPEN or len(entry) > MOST_ENTRY or self.view is None:
            return False, []
        self.entries.append(entry)
        sent = self._catch_all(now)
        self._advance()  # alone it is a majority
        return True, sent

    def broadcast_commit(self, now: int) -> list[Sent]:
        """Tell the voters how far entries are decided, without a wait for the next entry or tick."""
        return self._catch_all(now) if self.leads else []

    # What comes in

    def handle_message(self, now: int, sender: Member, word: LogMessage) -> list[Sent]:
        if isinstance(word, LogPrepare | InstallSnapshot | LogAccept) and word.ballot < self.promised:
            return [(sender.name, LogRejected(self.promised))]
        match word:
            case LogPrepare(ballot):
                return [(sender.name, self._hold(ballot))]
            case LogPromise():
                return self._held(sender, word)
            case InstallSnapshot(ballot, base, snapshot, entries, commit, at):
                self._under(now, ballot, sender)
                if self.accepted != ballot or base > self.last_index:
                    self._adopt_log(ballot, base, snapshot, entries)
                elif self.last_index < base + len(
                    entries
                ):  # a word that comes twice must not undo what was added since
                    self.entries += entries[self.last_index - base :]
                self._commit(min(commit, self.last_index))
                return [(sender.name, LogAccepted(ballot, self.last_index, at))]
            case LogAccept(ballot, after, entries, commit, at):
                self._under(now, ballot, sender)
                if self.accepted != ballot:
                    return [(sender.name, LogAccepted(ballot, -1, at))]
                if after <= self.last_index < after + len(entries):
                    self.entries += entries[self.last_index - after :]
                self._commit(min(commit, self.last_index))
                return [(sender.name, LogAccepted(ballot, self.last_index, at))]
            case LogAccepted(ballot, upto, at):
                if (
                    self.leader_state
                    and self.leader_state.ready
                    and ballot == self.leader_state.ballot
                    and self.view
                    and sender in self.view.voters
                ):
                    self.leader_state.took[sender] = max(self.leader_state.took.get(sender, -1), upto)
                    self.leader_state.answered[sender] = max(self.leader_state.answered.get(sender, at), at)
                    self._advance()
                    return self._catch_up(now, sender) if upto < self.last_index else []
            case LogRejected(ballot):
                if self.leader_state and ballot > self.leader_state.ballot:
                    self._promise(max(self.promised, ballot))
        return []

    # Within

    def _adopt_log(self, ballot: Ballot, base: int, snapshot: bytes, entries: tuple[bytes, ...]) -> None:
        """A whole log, and the state from its snapshot on: after a loss it may lack what was applied here."""
        self.accepted, self.base, self.snapshot, self.entries = ballot, base, snapshot, list(entries)
        self.machine.restore(snapshot)
        self.commit = self.applied = base

    def _promise(self, ballot: Ballot) -> None:
        """Accept nothing lower from now on, and lead no longer under a lower one."""
        self.promised = ballot
        if self.leader_state and self.leader_state.ballot < ballot:
            self.leader_state = None

    def _under(self, now: int, ballot: Ballot, leader: Member) -> None:
        self._promise(ballot)
        self.heard_at, self.leader = now, leader.name

    def _hold(self, ballot: Ballot) -> LogPromise:
        """Promise, and tell what was accepted."""
        self._promise(ballot)
        return LogPromise(ballot, self.accepted, self.base, self.snapshot, tuple(self.entries), self.commit)

    def _held(self, sender: Member, held: LogPromise) -> list[Sent]:
        if self.leader_state is None or self.leader_state.ready or held.ballot != self.leader_state.ballot:
            return []
        self.leader_state.held[sender] = held
        return self._try(self.heard_at)

    def _try(self, now: int) -> list[Sent]:
        """Take the log over once nothing that was decided can be missing from it."""
        view, leader_state = self.view, self.leader_state
        if view is None or leader_state is None or leader_state.ready:
            return []
        mine = [held for member, held in leader_state.held.items() if member in view.voters]
        if len(mine) < majority(view.voters):
            return []
        formed = not view.electors
        if not formed and not self.by_word and all(held.accepted[0] < view.number for held in mine):
            # Nobody here has it under this view: a majority of those who decided this view has all that was decided.
            before = [held for member, held in leader_state.held.items() if member in view.electors]
            if len(before) < majority(view.electors):
                return []
            mine += before
        best = max(mine, key=lambda held: (held.accepted, held.base + len(held.entries), held.commit))
        fresh = best.accepted[0] < view.number  # the first under this view
        leader_state.ready, self.leader = True, self.me.name
        self._adopt_log(leader_state.ballot, best.base, best.snapshot, best.entries)
        if fresh and (formed or self.by_word):
            self.entries.append(self.machine.state_lost_entry(view.number))
        self._commit(min(max(held.commit for held in mine), self.last_index))
        leader_state.took = {self.me: self.last_index}
        sent = self._catch_all(now)
        self._advance()
        return sent

    def _gather(self) -> list[Sent]:
        """To all that are asked for what they hold and have not told it."""
        assert self.view is not None and self.leader_state is not None
        asked = dict.fromkeys((*self.view.voters, *self.view.electors))
        return [
            (member.name, LogPrepare(self.leader_state.ballot))
            for member in asked
            if member != self.me and member not in self.leader_state.held
        ]

    def _catch_all(self, now: int) -> list[Sent]:
        assert self.view is not None
        return [sent for voter in self.view.voters if voter != self.me for sent in self._catch_up(now, voter)]

    def _catch_up(self, now: int, voter: Member) -> list[Sent]:
        """What a voter is not known to have taken, were it nothing: it hears that the leader is there."""
        leader_state = self.leader_state
        assert leader_state is not None
        took = leader_state.took.get(voter, -1)
        if took < self.base:
            word: LogMessage = InstallSnapshot(
                leader_state.ballot, self.base, self.snapshot, tuple(self.entries), self.commit, now
            )
        else:
            word = LogAccept(leader_state.ballot, took, tuple(self.entries[took - self.base :]), self.commit, now)
        return [(voter.name, word)]

    def _settled(self) -> int:
        """Up to which entry a majority of the view's voters accepted under this ballot; -1: not yet."""
        assert self.leader_state is not None and self.view is not None
        self.leader_state.took[self.me] = self.last_index
        took = sorted((self.leader_state.took.get(voter, -1) for voter in self.view.voters), reverse=True)
        return took[majority(self.view.voters) - 1]

    def _advance(self) -> None:
        if self.leader_state is not None and self.leader_state.ready:
            self._commit(self._settled())

    def _commit(self, upto: int) -> None:
        if upto <= self.commit:
            return
        self.commit = upto
        while self.applied < upto:
            self.machine.apply(self.applied + 1, self.entries[self.applied - self.base])
            self.applied += 1
        if self.applied - self.base > MOST_KEPT:
            # Bounded: a voter that lags by more is given the snapshot.
            del self.entries[: self.applied - self.base]
            self.base, self.snapshot = self.applied, self.machine.snapshot()
