"""Tries orders of events on a small fleet that agrees on views, keeps a ledger over them and gives leave by it.

The search of `cluster.model_checker` with ledgers beside the agreements, and two things that may go out, one at a
time: gateways lead, offer, confirm and order, crash and come back, views change and are formed anew, an operator says
what is out, while words are lost, late and told twice. Judged from what happens: who is out, and what was decided.
Without I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import cast

from tansykeel.cluster.membership import Member, ViewMessage, majority
from tansykeel.cluster.model_checker import AgreementFactory, Bounds, Event, Fleet, NoFirstView, form_first_view
from tansykeel.cluster.replicated_log import LogMessage, ReplicatedLog
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.maintenance.disruption_budget import Bounds as Room
from tansykeel.maintenance.disruption_budget import Place
from tansykeel.maintenance.entries import Back, Leave, Recover, There, decode_entry, encode_entry
from tansykeel.maintenance.state import State

SUBJECTS = ("x", "y")
PATIENCE = 1  # ticks for which an order counts from when it was asked for, and before an operator may say what is out
LEASE = 2  # ticks
PLACES = There(tuple(Place(name, "store", shard=shard) for shard, name in enumerate(SUBJECTS)))
ROOM = Room(share=0.5, zone=1.0, shard=1.0, alone=True)
MORE = {"lead": 2, "offer": 3, "order": 3, "return": 2, "recover": 1}  # of each in one run


@dataclass(frozen=True, slots=True)
class Subject:
    """What may go out: which of its lives it is, whether it is out, and the highest number it went by."""

    boot: int = 1
    out: bool = False
    number: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class Order:
    """To go out, as the answer to what was asked at that time."""

    name: str
    boot: int
    number: tuple[int, int]
    asked: int


class Books(Fleet):
    """A state of the search: what `Fleet` holds, ledgers, subjects, orders on their way, what was ever decided."""

    def __init__(
        self, names: tuple[str, ...], terms: LeaseTerms, make: AgreementFactory, rates: tuple[int, ...] = (1,)
    ) -> None:
        self.ledgers: dict[str, ReplicatedLog] = {}
        self.subjects = {name: Subject() for name in SUBJECTS}
        self.orders: dict[Order, None] = {}
        self.entries: dict[tuple[int, int], bytes] = {}  # by the last view that says that all was lost, and index
        self.lost_at: dict[tuple[str, int], int] = {}  # when who came to lead a view that lost all
        super().__init__(names, terms, make, rates)
        self.event_counts |= dict.fromkeys(MORE, 0)

    def copy(self) -> Books:
        made = cast(Books, super().copy())
        made.ledgers, made.subjects = dict(self.ledgers), dict(self.subjects)
        made.orders, made.entries, made.lost_at = dict(self.orders), dict(self.entries), dict(self.lost_at)
        return made

    def key(self) -> tuple[object, ...]:
        return (
            super().key(),
            frozenset((name, one.key()) for name, one in self.ledgers.items()),
            tuple(self.subjects.values()),
            frozenset(self.orders),
        )

    def events(self, bounds: Bounds) -> list[Event]:
        free = {kind: self.event_counts[kind] < most for kind, most in MORE.items()}
        found = super().events(bounds)
        for name, replicated_log in self.ledgers.items():
            if name not in self.alive:
                continue
            if free["lead"] and replicated_log.view and replicated_log.me in replicated_log.view.voters:
                found.append(("leads", name))
            if replicated_log.leads and free["offer"]:
                found += [("offers", name, subject) for subject in SUBJECTS]
            if replicated_log.leader_state and free["recover"]:
                found.append(("recovers", name))
            if replicated_log.leader_state and free["order"]:
                found += [("orders", name, subject) for subject in SUBJECTS if self._granted(replicated_log, subject)]
            found += [("sees", name, subject) for subject in SUBJECTS if self._seen_back(replicated_log, subject)]
        found += [("gets", order) for order in self.orders]
        if free["return"]:
            found += [("returns", name) for name, subject in self.subjects.items() if subject.out]
        return found

    # Within

    def _apply(self, event: Event) -> bool:
        kind, *what = event
        if kind in ("gets", "returns"):
            self._of_subject(kind, what[0])
        elif kind in ("leads", "offers", "orders", "sees", "recovers"):
            if str(what[0]) not in self.alive or not self._of_leader(str(kind), str(what[0]), what[1:]):
                return False
        elif kind == "arrives" and isinstance(what[2], LogMessage):
            if str(what[0]) not in self.alive or tuple(what) not in self.sent:
                return False
            to, sender, word = str(what[0]), cast(Member, what[1]), what[2]
            replicated_log = self._own(to)
            self._say(to, replicated_log.handle_message(self.clock(to), sender, word))
        else:
            if not super()._apply(event):
                return False
            if kind == "renews" and (replicated_log := self._own(str(what[0]))).leader_state:
                self._say(str(what[0]), replicated_log.tick(self.clock(str(what[0])), 0))
        self._carry()
        self._check_invariants()
        return True

    def _start(self, name: str) -> None:
        super()._start(name)
        state = State(known=True)
        state.kept.bounds = ROOM
        state.apply_entry(0, PLACES)
        self.ledgers[name] = ReplicatedLog(self.alive[name].me, state, LEASE, self.clock(name))

    def _own(self, name: str) -> ReplicatedLog:
        self.ledgers[name] = self.ledgers[name].copy()
        return self.ledgers[name]

    def _say(self, name: str, told: list[tuple[str, LogMessage]]) -> None:
        me = self.alive[name].me
        self.sent |= cast(
            "dict[tuple[str, Member, ViewMessage], None]",
            dict.fromkeys((to, me, word) for to, word in told if to in self.names),
        )

    def _carry(self) -> None:
        """What a cluster member does between the two: it follows views, wedges formed ones, and votes after the log."""
        for name, one in self.alive.items():
            replicated_log = self.ledgers[name]
            if (
                one.view is not replicated_log.view
                and one.view is not None
                and (replicated_log.view is None or one.view.number > replicated_log.view.number)
            ):
                replicated_log = self._own(name)
                replicated_log.install_view(self.clock(name), one.view)
            if one.formed and replicated_log.promised < (one.formed.number, 0, ""):
                replicated_log = self._own(name)
                replicated_log.seal(one.formed.number)
            if one.state_transferred is not replicated_log.state_transferred:
                self.alive[name] = one = one.copy()
                one.state_transferred = replicated_log.state_transferred

    def _state(self, replicated_log: ReplicatedLog) -> State:
        return cast(State, replicated_log.machine)

    def _granted(self, replicated_log: ReplicatedLog, name: str) -> bool:
        out = self._state(replicated_log).kept.out.get(name)
        return out is not None and out.boot == self.subjects[name].boot

    def _seen_back(self, replicated_log: ReplicatedLog, name: str) -> bool:
        """A life that is there, of one that is out by an earlier life's leave."""
        out, subject = self._state(replicated_log).kept.out.get(name), self.subjects[name]
        return replicated_log.leads and out is not None and not subject.out and out.boot != subject.boot

    def _confirmed(self, replicated_log: ReplicatedLog) -> bool:
        """A majority of its voters promised nothing higher: it led at this moment, which is after it was asked."""
        view = replicated_log.view
        assert view is not None and replicated_log.leader_state is not None
        still = [
            voter
            for voter in view.voters
            if voter.name in self.alive
            and self.alive[voter.name].me == voter
            and self.ledgers[voter.name].promised <= replicated_log.leader_state.ballot
        ]
        return len(still) >= majority(view.voters)

    def _of_leader(self, kind: str, name: str, what: list[object]) -> bool:
        now, replicated_log = self.clock(name), self._own(name)
        if kind == "leads":
            self.event_counts["lead"] += 1
            self._say(name, replicated_log.start_election(now))
            return True
        if replicated_log.leader_state is None or not replicated_log.leader_state.ready:
            return False
        subject = str(what[0]) if what else ""
        if kind == "offers":
            self.event_counts["offer"] += 1
            self._offer(name, replicated_log, Leave(subject, self.subjects[subject].boot, "search", name))
        elif kind == "sees":
            if not self._seen_back(replicated_log, subject):
                return False
            out = self._state(replicated_log).kept.out[subject]
            self._offer(name, replicated_log, Back(subject, self.subjects[subject].boot, out.number))
        elif kind == "recovers":
            assert replicated_log.view is not None
            since = self.lost_at.setdefault((name, replicated_log.view.number), self.now)
            if self._state(replicated_log).kept.known or self.now - since <= PATIENCE:
                return not self._state(replicated_log).kept.known  # from now on time passes
            self.event_counts["recover"] += 1
            out_now = tuple((one, "seen") for one, at in self.subjects.items() if at.out)
            self._offer(name, replicated_log, Recover(out_now, "operator"))
        else:
            self.event_counts["order"] += 1
            if not self._granted(replicated_log, subject) or not self._confirmed(replicated_log):
                return False
            assert replicated_log.view is not None
            number = replicated_log.view.number, self._state(replicated_log).kept.out[subject].number
            self.orders[Order(subject, self.subjects[subject].boot, number, self.now)] = None
        return True

    def _offer(self, name: str, replicated_log: ReplicatedLog, entry: Leave | Back | Recover) -> None:
        self._say(name, replicated_log.append_entry(self.clock(name), encode_entry(entry))[1])

    def _of_subject(self, kind: object, what: object) -> None:
        if kind == "returns":
            name = str(what)
            self.event_counts["return"] += 1
            self.subjects[name] = Subject(self.subjects[name].boot + 1, False, self.subjects[name].number)
            return
        assert isinstance(what, Order)
        subject = self.subjects[what.name]
        if what in self.orders and self._obeys(subject, what):
            self.subjects[what.name] = replace(subject, out=True, number=what.number)

    def _obeys(self, subject: Subject, order: Order) -> bool:
        """An older number, another life's, or an answer that comes too late is refused."""
        return (
            not subject.out
            and order.boot == subject.boot
            and order.number > subject.number
            and self.now - order.asked < PATIENCE
        )

    def _check_invariants(self) -> None:
        super()._check_invariants()
        if (out := [name for name, subject in self.subjects.items() if subject.out]) and len(out) > 1:
            self.violation = f"more out than the bounds allow: {', '.join(out)}"
        for replicated_log in self.ledgers.values():
            state = self._state(replicated_log)
            for index in range(replicated_log.base + 1, replicated_log.commit + 1):
                entry = replicated_log.entries[index - replicated_log.base - 1]
                epoch = state.kept.guess
                if self.entries.setdefault((epoch, index), entry) != entry:
                    self.violation = f"two entries decided as number {index}: {decode_entry(entry)}"


def settled(names: tuple[str, ...], terms: LeaseTerms, make: AgreementFactory, kind: type[Books] = Books) -> Books:
    """A fleet that agreed, has a leader of its ledger, and was told by an operator that nothing is out."""
    fleet: Fleet = form_first_view(names, terms, make, kind=kind)

    def all_hear(events: list[Event]) -> None:
        nonlocal fleet
        for event in events:
            fleet = fleet.successor(event) or fleet
        for _ in range(4):
            for word in list(fleet.sent):
                fleet = fleet.successor(("arrives", *word)) or fleet

    everyone: list[Event] = [("renews", name) for name in names]
    all_hear([("leads", names[0])])
    all_hear([("recovers", names[0])])
    for _ in range(PATIENCE + 1):
        all_hear([("tick",), *everyone])
    all_hear([("recovers", names[0])])
    all_hear([*everyone])
    all_hear([*everyone])
    made = cast(Books, fleet)
    if not all(made._state(replicated_log).kept.known for replicated_log in made.ledgers.values()):
        raise NoFirstView(f"no ledger among {names}: legal: terms under which one can be led")
    made.sent, made.event_counts = {}, dict.fromkeys(made.event_counts, 0)
    return made
