"""A fleet that gives leave by its ledger, in simulated time: releases among crashes, cuts and stalls, judged from what
really goes out. Gateways and stores are machines whose agents ask for leave; words are lost, late and cut off."""

from __future__ import annotations

from math import ceil, log
from random import Random

from tansykeel.cluster.failure_detector import SECOND
from tansykeel.cluster.failure_detector import DetectorConfig as Ping
from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, ClusterMessage
from tansykeel.cluster.member import Placement as Where
from tansykeel.cluster.membership import Member
from tansykeel.cluster.view_agreement import LeaseTerms as Leases
from tansykeel.emulator.engine import START, Engine, NoEnd
from tansykeel.emulator.machines import Machine, Result, Trial
from tansykeel.maintenance.canary_analysis import HARM_EVIDENCE_FACTOR, Seen, Terms, relative_entropy
from tansykeel.maintenance.controller import Ask, Controller, Order, Pace, make_plan
from tansykeel.maintenance.disruption_budget import Place, max_unavailable, violated_bounds
from tansykeel.maintenance.entries import Move, encode_entry
from tansykeel.maintenance.rollouts import DONE, GIVEN_UP, HALTED
from tansykeel.maintenance.state import State

TENTH = 100  # microseconds
ASKS_EVERY, LOOKS_EVERY = 300_000, 200_000  # microseconds between an agent's questions, and a leader's looks
CLASSES = ("read", "write")
RATE = 0.9  # part of the tasks that is served by a version that is well
KNOWN_AFTER = 20.0  # seconds after which a death unasked must have been counted
MOST_EVENTS = 20_000_000


class World:
    def __init__(self, trial: Trial, seed: int) -> None:
        self.trial, self.seed, self.engine = trial, seed, Engine()
        self.chance, self.service = Random(f"{seed} troubles and ways"), Random(f"{seed} service")
        names = [f"edge-{n}" for n in range(trial.gateways)]
        self.where = {name: Where(n % trial.zones) for n, name in enumerate(names)}
        self.machines = {name: Machine(Place(name, "gateway", n % trial.zones)) for n, name in enumerate(names)}
        for n in range(trial.stores):
            name = f"store-{n}"
            self.machines[name] = Machine(Place(name, "store", n % trial.zones, n))
        self.places = {name: one.place for name, one in self.machines.items()}
        self.cluster_members: dict[str, ClusterMember] = {}
        self.controllers: dict[str, Controller] = {}
        self.stalled: dict[str, int] = {}
        self.cut: dict[tuple[str, str], int] = {}  # until when words from one to the other are lost
        self.broken: list[str] = []
        self.most_out = 0
        self.began = self.took = 0.0
        for name in names:
            self._start(name)

    def now(self) -> int:
        return self.engine.now // TENTH

    def seconds(self) -> float:
        return (self.engine.now - START) / 1e6

    def play(self) -> Result:
        for name in self.machines:
            self.engine.after(int(self.chance.random() * ASKS_EVERY), self._ask, name)
        self.engine.after(SECOND * TENTH, self._figures)
        self._draw_troubles()
        if not self.engine.run(START + self.trial.seconds * 10**6, MOST_EVENTS):
            raise NoEnd(f"{self.trial} did not end within {MOST_EVENTS} events")
        best = max(
            self.cluster_members.values(),
            key=lambda cluster_member: cluster_member.replicated_log.commit if cluster_member.replicated_log else 0,
        )
        assert best.replicated_log is not None and isinstance(best.replicated_log.machine, State)
        release = best.replicated_log.machine.kept.releases.get("r1")
        return Result(
            release.state if release else "not planned",
            release.wave if release else 0,
            (self.took or self.seconds()) - self.began,
            self.shortest(),
            release.why if release else "",
            tuple(self.broken),
            self.most_out,
            best.replicated_log.last_index,
        )

    def shortest(self) -> float:
        """Seconds that the release takes at least: steps as wide as its bounds allow, each until it is whole, what each
        wave is watched for, and for the canary until a harm would have been found."""
        trial, steps = self.trial, 0
        for wave in self.waves():
            first = self.places[wave[0]]
            alike = [place for place in self.places.values() if place.kind == first.kind]
            near = [place for place in alike if place.zone == first.zone]
            wide = min(max_unavailable(trial.bounds.share, len(alike)), max_unavailable(trial.bounds.zone, len(near)))
            steps += ceil(len(wave) / wide)
        step = trial.restart_s + (trial.warm_s if trial.release == "stores" else self.joins_s())
        watched = trial.settles_s * (len(self.waves()) - 1) + max(trial.settles_s, self.finds_s())
        return steps * step + watched

    def finds_s(self) -> float:
        """Until one canary among the old ones of its zone brings the evidence that is asked for, tasks being served as
        they are here."""
        if self.trial.release == "stores":
            return 0.0
        terms, old = Terms(), self.trial.gateways / self.trial.zones - 1
        new, rate = self.trial.tasks_s / len(CLASSES), RATE - terms.harm
        between = (rate + old * RATE) / (1 + old)
        return (
            HARM_EVIDENCE_FACTOR
            * log(len(CLASSES) / terms.alpha)
            / (new * (relative_entropy(rate, between) + old * relative_entropy(RATE, between)))
        )

    def joins_s(self) -> float:
        """Until a gateway that started holds its lease: steady for two pings, a view, and one lease."""
        return 2.0 + 4.0 + 2.0

    def waves(self) -> list[list[str]]:
        """A canary, then the zones one after the other."""
        names = [name for name, place in self.places.items() if place.kind == self.trial.release.removesuffix("s")]
        rest = [[name for name in names[1:] if self.places[name].zone == zone] for zone in range(self.trial.zones)]
        return [names[:1], *[wave for wave in rest if wave]]

    # Gateways

    def _start(self, name: str) -> None:
        machine = self.machines[name]
        machine.up, machine.since = True, self.engine.now
        if machine.place.kind == "store":
            return
        state = State()
        life = 10**12 + self.engine.now // 1000
        chance = Random(self.seed * 10**9 + machine.boot * 1_000 + int(name.rsplit("-", 1)[1]))
        self.cluster_members[name] = ClusterMember(
            name, self.where, life, Ping(), Leases(lease=4 * SECOND), chance, self.now(), state
        )
        self.controllers[name] = Controller(
            state,
            Pace(patience=SECOND, back=60 * SECOND, settles=int(self.trial.settles_s * SECOND)),
            Terms(),
            len(CLASSES),
        )
        self._tick(name, machine.boot)
        self.engine.after(int(self.chance.random() * LOOKS_EVERY), self._look, name, machine.boot)

    def _there(self, name: str, boot: int) -> bool:
        machine = self.machines[name]
        return machine.up and machine.boot == boot

    def _tick(self, name: str, boot: int) -> None:
        if not self._there(name, boot):
            return
        if (until := self.stalled.get(name, 0)) > self.engine.now:
            self.engine.at(until + 1, self._tick, name, boot)
            return
        cluster_member = self.cluster_members[name]
        if self.now() >= cluster_member.due():
            self._send(name, cluster_member.tick(self.now(), 10**12 + self.engine.now // 1000))
        self.engine.at(max(cluster_member.due() * TENTH, self.engine.now + 10 * TENTH), self._tick, name, boot)

    def _send(self, name: str, words: list[tuple[str, ClusterMessage]]) -> None:
        me = self.cluster_members[name].me
        for to, word in words:
            if self._passes(name, to):
                self.engine.after(self._way(), self._arrive, to, me, word)

    def _way(self) -> int:
        return int(1000 * (0.5 + self.chance.random()))

    def _passes(self, sender: str, to: str) -> bool:
        return self.cut.get((sender, to), 0) <= self.engine.now and self.chance.random() >= self.trial.loss

    def _arrive(self, to: str, sender: Member, word: ClusterMessage) -> None:
        machine = self.machines[to]
        if not machine.up:
            return
        if (until := self.stalled.get(to, 0)) > self.engine.now:
            self.engine.at(until + 2, self._arrive, to, sender, word)
            return
        self._send(to, self.cluster_members[to].handle_message(self.now(), sender, word))

    def _look(self, name: str, boot: int) -> None:
        """What whoever leads does from time to time."""
        if not self._there(name, boot):
            return
        self.engine.after(LOOKS_EVERY, self._look, name, boot)
        if self.stalled.get(name, 0) > self.engine.now:
            return
        cluster_member, controller = self.cluster_members[name], self.controllers[name]
        assert cluster_member.replicated_log is not None
        controller.set_leading(self.now(), cluster_member.replicated_log.leads)
        others = cluster_member.failure_detector.others
        gone = {other.name: "died" for other in others.values() if other.state is MemberState.DEAD}
        alive = [other.name for other in others.values() if other.state is MemberState.ALIVE and other.incarnation] + [
            name
        ]
        stores = [one for one, at in self.machines.items() if at.place.kind == "store"]
        gone |= {
            one: "died"
            for one in stores
            if not self.machines[one].up
            and self.machines[one].dead_since >= 0
            and self.engine.now - self.machines[one].dead_since > 10**6
        }
        alive += [one for one in stores if self._whole(one)]
        for entry in controller.entries_to_offer(self.now(), self.places, self.trial.bounds, gone, alive):
            self._offer(name, encode_entry(entry))
        kept = controller.state.kept
        if controller.leading_since >= 0 and not kept.known:
            out = [(one, "seen") for one, at in self.machines.items() if not at.up or not self._whole(one)]
            if (word := controller.recovery_entry(self.now(), out, "operator")) is not None:
                self._offer(name, encode_entry(word))
        if (
            controller.leading_since >= 0
            and kept.known
            and "r1" not in kept.releases
            and len(kept.places) == len(self.places)
        ):
            self.began = self.began or self.seconds()
            self._offer(name, encode_entry(make_plan("r1", "new", "old", self.waves(), "operator")))
        release = kept.releases.get("r1")
        if controller.leading_since >= 0 and release and release.state == HALTED:
            what = "back" if "worse" in release.why or "not back" in release.why else "resume"
            self._offer(name, encode_entry(Move("r1", what, release.why, "operator")))
        if release and release.state in (DONE, GIVEN_UP) and not self.took:
            self.took = self.seconds()

    def _offer(self, name: str, entry: bytes) -> None:
        self._send(name, self.cluster_members[name].offer(self.now(), entry)[1])

    # Agents

    def _ask(self, name: str) -> None:
        """An agent asks a gateway, the next one where that did not answer."""
        self.engine.after(ASKS_EVERY, self._ask, name)
        machine = self.machines[name]
        gateways = list(self.where)
        if not machine.target:
            machine.asks = (machine.asks + 1) % len(gateways)
        to = machine.target or gateways[machine.asks]
        machine.target = ""
        ask = Ask(name, machine.boot, machine.went, self._whole(name))
        if self._passes(name, to):
            self.engine.after(self._way(), self._asked, to, ask, self.now())

    def _asked(self, gateway: str, ask: Ask, at: int) -> None:
        if not self.machines[gateway].up or self.stalled.get(gateway, 0) > self.engine.now:
            return
        cluster_member, controller = self.cluster_members[gateway], self.controllers[gateway]
        assert cluster_member.replicated_log is not None
        if not cluster_member.replicated_log.leads:
            if cluster_member.replicated_log.leader and self._passes(gateway, ask.name):
                self.machines[ask.name].target = cluster_member.replicated_log.leader
            return
        controller.record_request(self.now(), ask)
        self.machines[ask.name].target = gateway
        self._answer(gateway, ask.name, at, 0)

    def _answer(self, gateway: str, name: str, at: int, tries: int) -> None:
        cluster_member, controller = self.cluster_members[gateway], self.controllers[gateway]
        if not self.machines[gateway].up or cluster_member.replicated_log is None:
            return
        order = controller.order_for(self.now(), name, cluster_member.replicated_log.leader_confirmed_at(self.now()))
        if order is not None and self._passes(gateway, name):
            self.engine.after(self._way(), self._ordered, order, at)
        elif order is None and tries < 5 and name in controller.state.kept.out:
            self.engine.after(LOOKS_EVERY, self._answer, gateway, name, at, tries + 1)

    def _ordered(self, order: Order, asked: int) -> None:
        machine = self.machines[order.name]
        fresh = self.now() - asked < order.lasts
        if order.boot != machine.boot or order.number <= machine.went or not fresh:
            return
        machine.went = order.number
        self._judge(order.name)
        machine.by_leave = True
        self._down(order.name)
        never = self.trial.crashes and order.version == "new"
        machine.version = order.version
        self.engine.after(int(self.trial.restart_s * 1e6), self._up, order.name, not never)

    # What happens to machines

    def _down(self, name: str) -> None:
        self.machines[name].up = False

    def _up(self, name: str, whole: bool = True) -> None:
        machine = self.machines[name]
        if machine.up or not whole:
            if not whole:  # it crashes as it starts, again and again
                machine.boot += 1
                self.engine.after(
                    int(self.trial.restart_s * 1e6),
                    self._up,
                    name,
                    not (self.trial.crashes and machine.version == "new"),
                )
            return
        machine.boot += 1
        machine.dead_since = -1
        self._start(name)

    def _whole(self, name: str) -> bool:
        machine = self.machines[name]
        if not machine.up:
            return False
        if machine.place.kind == "store":
            return machine.boot == 1 or self.engine.now - machine.since >= self.trial.warm_s * 1e6
        whole = self.cluster_members[name].agreement.leased(self.now())
        if whole:
            machine.by_leave = False
        return whole

    def _judge(self, name: str) -> None:
        """One goes out by an order: with those that are really out, each bound has to hold."""
        out = set()
        for other, machine in self.machines.items():
            if machine.by_leave and machine.place.kind == "store" and self._whole(other):
                machine.by_leave = False
            long_dead = machine.dead_since >= 0 and self.engine.now - machine.dead_since > KNOWN_AFTER * 1e6
            if machine.by_leave and not (machine.up and self._whole(other)) or long_dead and not machine.up:
                out.add(other)
        self.most_out = max(self.most_out, len(out) + 1)
        against = violated_bounds(self.places[name], self.places, out, self.trial.bounds, 0.0)
        if against:
            self.broken.append(f"{self.seconds():.1f} s: {name} goes out though {'; '.join(against)}")

    def _draw_troubles(self) -> None:
        chance = self.chance
        for _ in range(self.trial.troubles):
            at = START + int((30 + chance.random() * (self.trial.seconds - 60)) * 1e6)
            kind = chance.choice(["kill", "kill", "cut", "oneway", "stall", "lose"])
            gateways = list(self.where)
            if kind == "kill":
                self.engine.at(at, self._kill, chance.choice(list(self.machines)), chance.choice([3.0, 20.0, 0.0]))
            elif kind == "stall":
                self.engine.at(at, self._stall, chance.choice(gateways), 1.0 + 4 * chance.random())
            elif kind == "lose":
                self.engine.at(at, self._kill_some, chance.sample(gateways, max(len(gateways) // 3, 1)), 5.0)
            else:
                zone = chance.randrange(self.trial.zones)
                inside = [one for one, machine in self.machines.items() if machine.place.zone == zone]
                self.engine.at(at, self._cut, inside, 3 + 12 * chance.random(), kind == "oneway")

    def _kill(self, name: str, back: float) -> None:
        machine = self.machines[name]
        if not machine.up:
            return
        self._down(name)
        machine.dead_since = self.engine.now
        if back:
            self.engine.after(int(back * 1e6), self._up, name)

    def _kill_some(self, names: list[str], back: float) -> None:
        for name in names:
            self._kill(name, back)

    def _stall(self, name: str, seconds: float) -> None:
        self.stalled[name] = self.engine.now + int(seconds * 1e6)

    def _cut(self, inside: list[str], seconds: float, one_way: bool) -> None:
        until = self.engine.now + int(seconds * 1e6)
        for one in inside:
            for other in self.machines:
                if other not in inside:
                    self.cut[one, other] = until
                    if not one_way:
                        self.cut[other, one] = until

    # Service

    def _figures(self) -> None:
        """What each second's tasks came to, by class and zone, as gateways tell whoever leads."""
        self.engine.after(SECOND * TENTH, self._figures)
        new, old = dict[tuple[str, int], list[int]](), dict[tuple[str, int], list[int]]()
        for name in self.where:
            machine = self.machines[name]
            if not machine.up:
                continue
            for at, of in enumerate(CLASSES):
                tasks = int(self.trial.tasks_s / len(CLASSES))
                part = RATE - (self.trial.bad if machine.version == "new" and at == 0 else 0.0)
                served = sum(self.service.random() < part for _ in range(tasks))
                seen = (new if machine.version == "new" else old).setdefault((of, machine.place.zone), [0, 0])
                seen[0] += tasks
                seen[1] += served
        for name, controller in self.controllers.items():
            if self.machines[name].up and controller.leading_since >= 0:
                controller.add_task_counts(
                    self.now(),
                    {key: Seen(*seen) for key, seen in new.items()},
                    {key: Seen(*seen) for key, seen in old.items()},
                )
