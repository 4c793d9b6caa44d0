"""A fleet that watches over itself and agrees on views, in simulated time: how soon a death is known and the view is
without it, what is suspected wrongly, and whether parts ever make up more than the whole."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from fractions import Fraction
from random import Random
from time import process_time

import numpy

from tansykeel.cluster.failure_detector import SECOND, DetectorConfig
from tansykeel.cluster.gossip import MemberState
from tansykeel.cluster.member import ClusterMember, ClusterMessage, OutgoingMessage, Placement
from tansykeel.cluster.membership import Member
from tansykeel.cluster.messages import CODEC
from tansykeel.cluster.view_agreement import LeaseTerms
from tansykeel.emulator.engine import START, Engine, NoEnd
from tansykeel.rehearse.load import stream

TENTH = 100  # microseconds
WATCHING = 5 * 10**6  # the stream of chance, beside those of `rehearse.load`
SETTLE_S, MET, SOME = 20, 4, 30  # seconds, and gateways met in one, until all know each other; the last ones take long
SAMPLE = 500_000  # microseconds between looks at the sum of all parts
HEADER = 28  # bytes that a datagram has beside what is told
MOST_EVENTS = 50_000_000
PACE, TERMS = DetectorConfig(), LeaseTerms(lease=4 * SECOND)


@dataclass(frozen=True, slots=True)
class Trial:
    gateways: int
    seconds: int = 120
    loss: float = 0.0  # part of all messages
    stalled: float = 0.0  # part of the gateways that stand still for `stall_s` every 10 s, their suspicions rightly so
    stall_s: float = 3.0
    dead: int = 3  # killed one after the other, a sixth of the time apart
    back_s: float = 0.0  # after which the dead start again with nothing known; 0: they stay away
    way_ms: float = 1.0
    zones: int = 3

    @property
    def settle_s(self) -> int:
        return max(SETTLE_S, min(self.gateways // 2, SOME), self.gateways // MET)


@dataclass(frozen=True, slots=True)
class Seen:
    """Seconds from a death until a gateway that lives knows of it, over gateways and deaths; the rest a gateway.

    Wrong: of gateways that live and never stand still; one that several share, until it is denied, is one.
    """

    known_median_s: float
    known_99_s: float
    unknown: int  # pairs of a death and a gateway that had not heard of it in the end
    wrong_suspicions_an_hour: float
    wrong_deaths_an_hour: float
    bytes_a_second: float
    without_median_s: float  # from a death until a gateway that lives counts by a view without it
    without_99_s: float
    views: int  # numbers that were followed
    most_of_whole: float  # the largest sum of what gateways believed to be their parts; over 1 breaks the law
    mean_of_whole: float  # the same in the mean, from when the first view counted


class Watchers:
    def __init__(self, trial: Trial, seed: int, pace: DetectorConfig = PACE, terms: LeaseTerms = TERMS) -> None:
        self.trial, self.engine, self.chance = trial, Engine(), stream(seed, WATCHING)
        self.names = [f"edge-{n}" for n in range(trial.gateways)]
        self.bytes = 0  # in the second half, when the news of the start have been told
        self.suspicions, self.deaths = set[tuple[str, int]](), set[tuple[str, int]]()  # of whom, after how many denials
        self.first = START + trial.settle_s * 10**6
        self.half = self.first + trial.seconds * 500_000
        self.died: dict[str, int] = {}
        self.known: dict[str, dict[str, int]] = {}
        self.until: dict[str, int] = {}  # stands still until
        self.stalls = set(self.names[: int(trial.stalled * trial.gateways)])
        self.seen: dict[str, dict[str, MemberState]] = {name: {} for name in self.names}
        self.without: dict[str, dict[str, int]] = {}
        self.numbers: set[int] = set()
        self.most, self.sums = Fraction(0), list[float]()
        self.whole = Fraction(0)  # the sum of what is believed
        self.marks: list[tuple[float, str]] = []  # seconds from when things are counted: who died, or came back
        self.spent = 0.0  # CPU seconds in the cluster members, in the second half
        self.believed = dict.fromkeys(self.names, Fraction(0))  # what each counted when it was last looked at
        self.seed, self.pace, self.terms = seed, pace, terms
        self.places = {name: Placement(n % trial.zones) for n, name in enumerate(self.names)}
        self.all = {name: self._make_member(name) for name in self.names}

    def now(self) -> int:
        return self.engine.now // TENTH

    def wall_ms(self) -> int:
        return self.engine.now // 1_000

    def _make_member(self, name: str) -> ClusterMember:
        chance = Random(self.seed * 10**9 + self.names.index(name) * 1_000 + self.wall_ms() % 1_000)
        return ClusterMember(name, self.places, self.wall_ms(), self.pace, self.terms, chance, self.now())

    def play(self) -> Seen:
        trial = self.trial
        for name in self.names:
            self._arm(name)
        span = trial.seconds * 10**6
        for n in range(trial.dead):
            self.engine.at(self.first + n * span // 6, self._die, self.names[-1 - n])
        self.engine.at(self.first, self._sample)
        for name in sorted(self.stalls):
            self._stall_at(self.first + int(self.chance.random() * 10**7), name)
        if not self.engine.run(self.first + span, MOST_EVENTS):
            raise NoEnd(f"{trial} did not end within {MOST_EVENTS} events")
        hours = trial.gateways * trial.seconds / 3600
        pairs = len(self.died) * (trial.gateways - len(self.died))
        heard = sum(name not in self.died for by in self.known.values() for name in by)
        return Seen(
            *self._since_death(self.known),
            pairs - heard,
            len(self.suspicions) / hours,
            len(self.deaths) / hours,
            self.bytes / trial.gateways / (trial.seconds / 2),
            *self._since_death(self.without),
            len(self.numbers),
            float(self.most),
            sum(self.sums) / len(self.sums) if self.sums else 0.0,
        )

    def cpu_us(self) -> float:
        """Mean microseconds of CPU that a cluster member took in a second on this machine; not the same twice."""
        return self.spent * 1e6 / self.trial.gateways / (self.trial.seconds / 2)

    def _since_death(self, by_dead: dict[str, dict[str, int]]) -> tuple[float, float]:
        """Seconds from a death until other gateways' times, their median and 99th; 0 where there are none."""
        took = [(at - self.died[dead]) / SECOND for dead, by in by_dead.items() for at in by.values()]
        return (float(numpy.median(took)), float(numpy.quantile(took, 0.99))) if took else (0.0, 0.0)

    def _arm(self, name: str) -> None:
        self.engine.at(max(self.all[name].due() * TENTH, self.engine.now + TENTH), self._tick, name)

    def _tick(self, name: str) -> None:
        if name in self.died:
            return
        if (until := self.until.get(name, 0)) > self.engine.now:
            self.engine.at(until + 1, self._tick, name)
            return
        self._do_due(name)
        self._arm(name)

    def _send(self, name: str, words: list[tuple[str, ClusterMessage]]) -> None:
        sender = self.all[name].me
        for to, word in words:
            if self.engine.now >= self.half:
                self.bytes += HEADER + len(CODEC.encode(word)[1])
            if self.chance.random() >= self.trial.loss:
                way = int(self.trial.way_ms * 1000 * (0.5 + self.chance.random()))
                self.engine.after(way, self._arrive, to, sender, word)

    def _arrive(self, to: str, sender: Member, word: ClusterMessage) -> None:
        if to in self.died:
            return
        if (until := self.until.get(to, 0)) > self.engine.now:
            self.engine.at(until + 2, self._arrive, to, sender, word)  # it waits in the socket
            return
        self._step(to, lambda: self.all[to].handle_message(self.now(), sender, word))
        self.engine.at(max(self.all[to].due() * TENTH, self.engine.now + 1), self._due, to)

    def _due(self, name: str) -> None:
        """A probe made on another's word may be due before this gateway's own next reminder."""
        if name not in self.died and self.until.get(name, 0) <= self.engine.now:
            self._do_due(name)

    def _do_due(self, name: str) -> None:
        if self.now() >= self.all[name].due():
            self._step(name, lambda: self.all[name].tick(self.now(), self.wall_ms()))

    def _step(self, name: str, step: Callable[[], list[OutgoingMessage]]) -> None:
        """What a gateway does, the time that it takes, and what comes of it."""
        begun = process_time()
        sent = step()
        if self.engine.now >= self.half:
            self.spent += process_time() - begun
        self._send(name, sent)
        self._look(name)

    def _look(self, name: str) -> None:
        """What this gateway has come to believe of others since it was looked at."""
        believes, counted = self.seen[name], self.engine.now >= self.first
        self._audit(name)
        for other in self.all[name].failure_detector.take_changes():
            if believes.get(other.name) is other.state:
                continue
            believes[other.name] = other.state
            if other.name in self.died:
                if other.state is MemberState.DEAD:
                    self.known[other.name].setdefault(name, self.now())
            elif counted and other.name not in self.stalls and other.state is not MemberState.ALIVE:
                (self.suspicions if other.state is MemberState.SUSPECT else self.deaths).add(
                    (other.name, other.refutations)
                )

    def _audit(self, name: str) -> None:
        """Parts shrink by themselves and grow only at what a gateway does, so the sum is judged then."""
        one, now = self.all[name], self.now()
        if (part := one.part(now)) != self.believed[name]:
            self.whole += part - self.believed[name]
            self.believed[name] = part
            if self.whole > self.most:
                self._all_parts()
        view = one.agreement.view
        if view and one.agreement.active:
            self.numbers.add(view.number)
            there = {member.name for member in view.members}
            for dead in self.died:
                if dead not in there:
                    self.without[dead].setdefault(name, now)

    def _all_parts(self) -> None:
        for name, one in self.all.items():
            self.believed[name] = one.part(self.now()) if name not in self.died else Fraction(0)
        self.whole = sum(self.believed.values(), Fraction(0))
        self.most = max(self.most, self.whole)

    def _sample(self) -> None:
        self._all_parts()
        self.sums.append(float(self.whole))
        self.engine.after(SAMPLE, self._sample)

    def seconds(self) -> float:
        """Since things are counted."""
        return (self.engine.now - self.first) / 1e6

    def _die(self, name: str) -> None:
        self.marks.append((self.seconds(), f"{name} dies"))
        self.died[name], self.known[name], self.without[name] = self.now(), {}, {}
        if self.trial.back_s:
            self.engine.after(int(self.trial.back_s * 1e6), self._back, name)

    def _back(self, name: str) -> None:
        self.marks.append((self.seconds(), f"{name} is back"))
        del self.died[name], self.known[name], self.without[name]
        self.all[name] = self._make_member(name)
        self._arm(name)

    def _stall_at(self, moment: int, name: str) -> None:
        def stall() -> None:
            if name not in self.died:
                self.until[name] = self.engine.now + int(self.trial.stall_s * 1e6)
            self._stall_at(self.engine.now + 10**7, name)

        self.engine.at(moment, stall)


def watched(trial: Trial, seed: int) -> Seen:
    """Play a trial. Raises RuntimeError where it does not come to an end."""
    return Watchers(trial, seed).play()
