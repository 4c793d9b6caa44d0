"""Model checker for the maintenance log: explores orders of events on a small fleet and checks invariants.

Extends the search of `cluster.model_checker` by the gateways' replicated logs and two machines, one of which may be out
of service at a time. Gateways lead, offer entries, are confirmed as leaders, order, crash and restart; views change and
are formed anew; an operator says what is out; messages are lost, late and repeated. The invariants are checked on what
happens: which machines are out, and which entries were committed. Without I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import cast

from tansykeel.cluster.membership import Member, ViewMessage, majority
from tansykeel.cluster.model_checker import AgreementFactory, Bounds, Event, Fleet, NoFirstView, form_first_view
from tansykeel.cluster.replicated_log import LogMessage, ReplicatedLog
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.maintenance.disruption_budget import Bounds as BudgetBounds
from tansykeel.maintenance.disruption_budget import Place
from tansykeel.maintenance.entries import Back, Leave, Recover, There, decode_entry, encode_entry
from tansykeel.maintenance.state import State

MACHINES = ("x", "y")
ORDER_VALIDITY = 1  # ticks from the request; an operator may say what is out only after it
LOG_LEASE = 2  # ticks
FLEET_ENTRY = There(tuple(Place(name, "store", shard=shard) for shard, name in enumerate(MACHINES)))
BUDGET = BudgetBounds(share=0.5, zone=1.0, shard=1.0, alone=True)
EVENT_LIMITS = {"lead": 2, "offer": 3, "order": 3, "return": 2, "recover": 1}  # of each kind in one run


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine that may go out of service: its incarnation, whether it is out, and the number of its last order."""

    boot: int = 1
    out: bool = False
    number: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class Order:
    """Order to go out of service, in reply to a request at the time `asked`."""

    name: str
    boot: int
    number: tuple[int, int]
    asked: int


class MaintenanceFleet(Fleet):
    """A state of the model: a `Fleet` with its logs and machines, all orders given and all entries ever committed."""

    def __init__(
        self, names: tuple[str, ...], terms: LeaseTerms, make: AgreementFactory, rates: tuple[int, ...] = (1,)
    ) -> None:
        self.logs: dict[str, ReplicatedLog] = {}
        self.machines = {name: Machine() for name in MACHINES}
        self.orders: dict[Order, None] = {}
        self.committed: dict[tuple[int, int], bytes] = {}  # by the last view that lost the state, and index
        # By gateway and view: when an operator first spoke to this leader, which counts the wait from then.
        self.recovery_since: dict[tuple[str, int], int] = {}
        super().__init__(names, terms, make, rates)
        self.event_counts |= dict.fromkeys(EVENT_LIMITS, 0)

    def copy(self) -> MaintenanceFleet:
        """Return a copy that shares the agreements and logs; each is copied before it changes."""
        made = cast(MaintenanceFleet, super().copy())
        made.logs, made.machines = dict(self.logs), dict(self.machines)
        made.orders, made.committed, made.recovery_since = (
            dict(self.orders),
            dict(self.committed),
            dict(self.recovery_since),
        )
        return made

    def key(self) -> tuple[object, ...]:
        """Return what determines the future of the state, to recognize visited states."""
        return (
            super().key(),
            frozenset((name, log.key()) for name, log in self.logs.items()),
            tuple(self.machines.values()),
            frozenset(self.orders),
        )

    def events(self, bounds: Bounds) -> list[Event]:
        """Return all events that are possible next, in a fixed order."""
        allowed = {kind: self.event_counts[kind] < limit for kind, limit in EVENT_LIMITS.items()}
        possible = super().events(bounds)
        for name, replicated_log in self.logs.items():
            if name not in self.alive:
                continue
            if allowed["lead"] and replicated_log.view and replicated_log.me in replicated_log.view.voters:
                possible.append(("leads", name))
            if replicated_log.leads and allowed["offer"]:
                possible += [("offers", name, machine) for machine in MACHINES]
            if replicated_log.leader_state and allowed["recover"]:
                possible.append(("recovers", name))
            if replicated_log.leader_state and allowed["order"]:
                possible += [
                    ("orders", name, machine) for machine in MACHINES if self._is_permitted(replicated_log, machine)
                ]
            possible += [("sees", name, machine) for machine in MACHINES if self._is_seen_back(replicated_log, machine)]
        possible += [("gets", order) for order in self.orders]
        if allowed["return"]:
            possible += [("returns", name) for name, machine in self.machines.items() if machine.out]
        return possible

    # Implementation

    def _apply(self, event: Event) -> bool:
        """Apply the event to this state; return False if it is not possible."""
        kind, *arguments = event
        if kind in ("gets", "returns"):
            self._apply_machine_event(kind, arguments[0])
        elif kind in ("leads", "offers", "orders", "sees", "recovers"):
            if str(arguments[0]) not in self.alive or not self._apply_leader_event(
                str(kind), str(arguments[0]), arguments[1:]
            ):
                return False
        elif kind == "arrives" and isinstance(arguments[2], LogMessage):
            if str(arguments[0]) not in self.alive or tuple(arguments) not in self.sent:
                return False
            to, sender, message = str(arguments[0]), cast(Member, arguments[1]), arguments[2]
            replicated_log = self._writable_log(to)
            self._send(to, replicated_log.handle_message(self.clock(to), sender, message))
        else:
            if not super()._apply(event):
                return False
            if kind == "renews" and (replicated_log := self._writable_log(str(arguments[0]))).leader_state:
                self._send(str(arguments[0]), replicated_log.tick(self.clock(str(arguments[0])), 0))
        self._synchronize_logs()
        self._check_invariants()
        return True

    def _start(self, name: str) -> None:
        """Start a gateway, or restart it as a new incarnation with an empty log and nothing out."""
        super()._start(name)
        state = State(known=True)
        state.kept.bounds = BUDGET
        state.apply_entry(0, FLEET_ENTRY)
        self.logs[name] = ReplicatedLog(self.alive[name].me, state, LOG_LEASE, self.clock(name))

    def _writable_log(self, name: str) -> ReplicatedLog:
        """Return a copy of a gateway's log that this state may change."""
        self.logs[name] = self.logs[name].copy()
        return self.logs[name]

    def _send(self, name: str, messages: list[tuple[str, LogMessage]]) -> None:
        """Add messages of a gateway to those sent."""
        me = self.alive[name].me
        self.sent |= cast(
            "dict[tuple[str, Member, ViewMessage], None]",
            dict.fromkeys((to, me, message) for to, message in messages if to in self.names),
        )

    def _synchronize_logs(self) -> None:
        """Connect agreements and logs as a cluster member does.

        A log follows the agreed views and is sealed when its gateway takes up a view that was formed anew. A gateway
        votes for the next view only once its log has taken over the state.
        """
        for name, agreement in self.alive.items():
            replicated_log = self.logs[name]
            if (
                agreement.view is not replicated_log.view
                and agreement.view is not None
                and (replicated_log.view is None or agreement.view.number > replicated_log.view.number)
            ):
                replicated_log = self._writable_log(name)
                replicated_log.install_view(self.clock(name), agreement.view)
            if agreement.formed and replicated_log.promised < (agreement.formed.number, 0, ""):
                replicated_log = self._writable_log(name)
                replicated_log.seal(agreement.formed.number)
            if agreement.state_transferred is not replicated_log.state_transferred:
                self.alive[name] = agreement = agreement.copy()
                agreement.state_transferred = replicated_log.state_transferred

    def _state(self, replicated_log: ReplicatedLog) -> State:
        """Return the maintenance state of a log."""
        return cast(State, replicated_log.machine)

    def _is_permitted(self, replicated_log: ReplicatedLog, name: str) -> bool:
        """Whether the present incarnation of a machine is permitted to go out."""
        out = self._state(replicated_log).kept.out.get(name)
        return out is not None and out.boot == self.machines[name].boot

    def _is_seen_back(self, replicated_log: ReplicatedLog, name: str) -> bool:
        """Whether a machine is in service that is out by the permission of an earlier incarnation."""
        out, machine = self._state(replicated_log).kept.out.get(name), self.machines[name]
        return replicated_log.leads and out is not None and not machine.out and out.boot != machine.boot

    def _leader_confirmed(self, replicated_log: ReplicatedLog) -> bool:
        """Whether a majority of voters has promised no higher ballot: the gateway leads now, after it was asked."""
        view = replicated_log.view
        assert view is not None and replicated_log.leader_state is not None
        followers = [
            voter
            for voter in view.voters
            if voter.name in self.alive
            and self.alive[voter.name].me == voter
            and self.logs[voter.name].promised <= replicated_log.leader_state.ballot
        ]
        return len(followers) >= majority(view.voters)

    def _apply_leader_event(self, kind: str, name: str, arguments: list[object]) -> bool:
        """Apply an event at a gateway that leads or starts to; return False if it is not possible."""
        now, replicated_log = self.clock(name), self._writable_log(name)
        if kind == "leads":
            self.event_counts["lead"] += 1
            self._send(name, replicated_log.start_election(now))
            return True
        if replicated_log.leader_state is None or not replicated_log.leader_state.ready:
            return False
        machine = str(arguments[0]) if arguments else ""
        if kind == "offers":
            self.event_counts["offer"] += 1
            self._offer(name, replicated_log, Leave(machine, self.machines[machine].boot, "search", name))
        elif kind == "sees":
            if not self._is_seen_back(replicated_log, machine):
                return False
            out = self._state(replicated_log).kept.out[machine]
            self._offer(name, replicated_log, Back(machine, self.machines[machine].boot, out.number))
        elif kind == "recovers":
            assert replicated_log.view is not None
            since = self.recovery_since.setdefault((name, replicated_log.view.number), self.now)
            if self._state(replicated_log).kept.known or self.now - since <= ORDER_VALIDITY:
                return not self._state(
                    replicated_log
                ).kept.known  # the operator has to wait until no old order is valid
            self.event_counts["recover"] += 1
            out_now = tuple((each, "seen") for each, state in self.machines.items() if state.out)
            self._offer(name, replicated_log, Recover(out_now, "operator"))
        else:
            self.event_counts["order"] += 1
            if not self._is_permitted(replicated_log, machine) or not self._leader_confirmed(replicated_log):
                return False
            assert replicated_log.view is not None
            number = replicated_log.view.number, self._state(replicated_log).kept.out[machine].number
            self.orders[Order(machine, self.machines[machine].boot, number, self.now)] = None
        return True

    def _offer(self, name: str, replicated_log: ReplicatedLog, entry: Leave | Back | Recover) -> None:
        """Append an entry to the leader's log and send it to the voters."""
        self._send(name, replicated_log.append_entry(self.clock(name), encode_entry(entry))[1])

    def _apply_machine_event(self, kind: object, argument: object) -> None:
        """Return a machine to service as a new incarnation, or deliver an order to it."""
        if kind == "returns":
            name = str(argument)
            self.event_counts["return"] += 1
            self.machines[name] = Machine(self.machines[name].boot + 1, False, self.machines[name].number)
            return
        assert isinstance(argument, Order)
        machine = self.machines[argument.name]
        if argument in self.orders and self._accepts(machine, argument):
            self.machines[argument.name] = replace(machine, out=True, number=argument.number)

    def _accepts(self, machine: Machine, order: Order) -> bool:
        """Whether the machine obeys: the order is for this incarnation, newer than the last one, and still valid."""
        return (
            not machine.out
            and order.boot == machine.boot
            and order.number > machine.number
            and self.now - order.asked < ORDER_VALIDITY
        )

    def _check_invariants(self) -> None:
        """At most one machine is out; no two entries are committed at one index unless the state was lost between."""
        super()._check_invariants()
        if (out := [name for name, machine in self.machines.items() if machine.out]) and len(out) > 1:
            self.violation = f"more out of service than the bounds allow: {', '.join(out)}"
        for replicated_log in self.logs.values():
            state = self._state(replicated_log)
            for index in range(replicated_log.base + 1, replicated_log.commit + 1):
                entry = replicated_log.entries[index - replicated_log.base - 1]
                epoch = state.kept.guess
                if self.committed.setdefault((epoch, index), entry) != entry:
                    self.violation = f"two entries committed at index {index}: {decode_entry(entry)}"


def form_log_fleet(
    names: tuple[str, ...], terms: LeaseTerms, make: AgreementFactory, kind: type[MaintenanceFleet] = MaintenanceFleet
) -> MaintenanceFleet:
    """Return a fleet that has a first view and a leader of its log, and knows from an operator that nothing is out."""
    fleet: Fleet = form_first_view(names, terms, make, kind=kind)

    def deliver_all(events: list[Event]) -> None:
        """Apply the events, then let all messages and the replies to them arrive."""
        nonlocal fleet
        for event in events:
            fleet = fleet.successor(event) or fleet
        for _ in range(4):
            for message in list(fleet.sent):
                fleet = fleet.successor(("arrives", *message)) or fleet

    renewals: list[Event] = [("renews", name) for name in names]
    deliver_all([("leads", names[0])])
    deliver_all([("recovers", names[0])])
    for _ in range(ORDER_VALIDITY + 1):
        deliver_all([("tick",), *renewals])
    deliver_all([("recovers", names[0])])
    deliver_all([*renewals])
    deliver_all([*renewals])
    made = cast(MaintenanceFleet, fleet)
    if not all(made._state(replicated_log).kept.known for replicated_log in made.logs.values()):
        raise NoFirstView(f"no gateway of {names} can lead the log under these terms")
    made.sent, made.event_counts = {}, dict.fromkeys(made.event_counts, 0)
    return made
