"""Who of the fleet seems to be there: a hint for whoever proposes views, and never what anything is divided by.

SWIM (Das, Gupta, Motivala, DSN 2002): each period one gateway is pinged, in an order drawn anew each time round; if it
does not answer, a few others are asked to try; then it is suspected, and dead if it does not deny that in time. News
travel on these messages alone, so bytes a gateway hang on no size of the fleet. From Lifeguard (Dadgar, Phillips,
Currey, 2017): a gateway that hears little doubts itself first (periods and time-outs grow with its `doubt`), helpers
say that they got no answer either, and a suspicion lasts shorter the more gateways share it. Changed: whoever suspects
a gateway goes on to ping it, so that it can deny that; a late reminder counts as a stall of this gateway, which judges
nobody by what it slept through; one that is called dead and comes back again and again counts as steady only after
longer and longer. Without I/O. Times are tenths of a millisecond.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from msgspec import Struct

from tansykeel.cluster.gossip import GossipItem, GossipQueue, MemberState

SECOND = 10_000


class Ping(Struct, frozen=True, array_like=True):
    seq: int
    news: tuple[GossipItem, ...] = ()


class Ack(Struct, frozen=True, array_like=True):
    seq: int
    news: tuple[GossipItem, ...] = ()


class Try(Struct, frozen=True, array_like=True):
    """Asks a helper to ping `name`."""

    seq: int
    name: str
    news: tuple[GossipItem, ...] = ()


class NoAnswer(Struct, frozen=True, array_like=True):
    """A helper's word that its own ping was not answered so far: it is the asker's own link that works."""

    seq: int
    news: tuple[GossipItem, ...] = ()


DetectorMessage = Ping | Ack | Try | NoAnswer
OutgoingMessage = tuple[str, DetectorMessage]


@dataclass(frozen=True, slots=True)
class DetectorConfig:
    """Tenths, but for counts. A suspicion lasts `least` to `most` periods, times the logarithm of the fleet's size."""

    period: int = SECOND
    ack_timeout: int = 3_000  # an answer comes within this, or others are asked
    helpers: int = 3
    least: float = 2.0
    most: float = 6.0
    sharers: int = 3  # who suspect too, after which a suspicion lasts the least time
    doubts: int = 8  # the most that a gateway doubts itself
    news: int = 6  # told with one message; where more wait, a third of them, `crowd` at most
    crowd: int = 64
    repeats: float = 3.0  # times the logarithm of the size, each is told
    stable_after: int = 2 * SECOND  # who is alive for so long, and as much again for each fall lately, counts as steady
    flap_window: int = 60 * SECOND  # a fall is forgotten after this


@dataclass(eq=False, slots=True)
class Other:
    name: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    refutations: int = 0
    since: int = 0
    suspected_by: set[str] = field(default_factory=set)
    falls: list[int] = field(default_factory=list)  # when it was called dead, or denied that it was


@dataclass(eq=False, slots=True)
class Probe:
    """One gateway's turn to be pinged; `asked_for`: whose helper this is, and under which number."""

    other: Other
    due: int
    helped: bool = False
    silent: int = 0  # helpers that have said nothing yet
    asked_for: tuple[str, int] | None = None


class FailureDetector:
    def __init__(
        self, me: str, names: Iterable[str], life: int, pace: DetectorConfig, chance: Random, now: int
    ) -> None:
        self.me, self.life, self.pace, self.chance = me, life, pace, chance
        self.others = {name: Other(name, since=now) for name in names if name != me}
        self.denials = self.health_score = self.seq = 0
        self.leaving = False
        self.changed: dict[Other, None] = {}  # who seems otherwise since `take_changes` was called
        self.order: list[Other] = []
        self.probes: dict[int, Probe] = {}
        self.next_ping = now + chance.randrange(max(pace.period, 1))  # a fleet that starts at once is no herd
        self.telling = GossipQueue()
        self.ends: dict[Other, int] = {}  # when each suspicion makes its gateway dead
        self.telling.put(GossipItem(me, MemberState.ALIVE, life, 0))

    # What it says

    def steady(self, now: int) -> list[str]:
        """Who may be taken into a view: alive for long enough, and longer the more often it fell lately."""

        def long_enough(other: Other) -> bool:
            other.falls = [at for at in other.falls if now - at < self.pace.flap_window]
            return now - other.since >= self.pace.stable_after * 2 ** min(len(other.falls), 5)

        found = [
            o.name for o in self.others.values() if o.state is MemberState.ALIVE and o.incarnation and long_enough(o)
        ]
        return sorted([self.me, *found])

    def take_changes(self) -> list[Other]:
        """Who came to seem otherwise since this was called last: a large fleet need not be looked through."""
        changed, self.changed = list(self.changed), {}
        return changed

    def due(self) -> int:
        """When `tick` must be called next."""
        return min([self.next_ping, *(probe.due for probe in self.probes.values()), *self.ends.values()])

    # What comes in

    def tick(self, now: int) -> list[OutgoingMessage]:
        late = now - self.due()
        if late > self.pace.ack_timeout:
            return self._slept(now, late)
        sent: list[OutgoingMessage] = []
        for seq, probe in [(s, p) for s, p in self.probes.items() if now >= p.due]:
            sent += self._unanswered(now, seq, probe)
        for other in [o for o, end in self.ends.items() if now >= end]:
            self._take(now, GossipItem(other.name, MemberState.DEAD, other.incarnation, other.refutations, self.me))
        if now >= self.next_ping:
            self.next_ping = now + self.pace.period * (1 + self.health_score)
            if (turn := self._next()) is not None:
                sent.append(self._ping(now, turn, None))
            # Guards against a suspicion that its gateway hears of too late to deny it: whoever raised it tells it so.
            sent += [self._ping(now, o, None) for o in self.ends if self.me in o.suspected_by and o is not turn]
        return sent

    def heard(self, now: int, sender: str, word: DetectorMessage) -> list[OutgoingMessage]:
        if sender not in self.others:
            return []
        for news in word.news:
            self._take(now, news)
        match word:
            case Ping(seq):
                return [(sender, Ack(seq, self._news(sender)))]
            case Try(seq, name):
                if name in self.others:
                    return [self._ping(now, self.others[name], (sender, seq))]
            case Ack(seq):
                if (probe := self.probes.pop(seq, None)) is not None:
                    if probe.asked_for:
                        return [(probe.asked_for[0], Ack(probe.asked_for[1], self._news(probe.asked_for[0])))]
                    self._doubts(-1)
            case NoAnswer(seq):
                if (probe := self.probes.get(seq)) is not None and probe.helped:
                    probe.silent -= 1
        return []

    def observe_incarnation(self, now: int, name: str, life: int) -> None:
        """A message came from this life of a gateway."""
        if name in self.others and life > self.others[name].incarnation:
            self._take(now, GossipItem(name, MemberState.ALIVE, life, 0))

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Tell those that seem to be there that this gateway ends: nobody needs to wait until it is missed."""
        self.leaving = True
        return [self._ping(now, other, None) for other in self.others.values() if other.state is MemberState.ALIVE]

    # Within

    def _slept(self, now: int, late: int) -> list[OutgoingMessage]:
        """Guards against a gateway that stood still and finds all its probes overdue: it was not they who were away."""
        self._doubts(self.pace.doubts)
        self.probes.clear()
        self.ends = {other: end + late for other, end in self.ends.items()}
        self.next_ping = now + 1
        return []

    def _ping(self, now: int, other: Other, asked_for: tuple[str, int] | None) -> OutgoingMessage:
        self.seq += 1
        wait = self.pace.ack_timeout * (1 if asked_for else 1 + self.health_score)
        self.probes[self.seq] = Probe(other, now + wait, asked_for=asked_for)
        return other.name, Ping(self.seq, self._news(other.name))

    def _unanswered(self, now: int, seq: int, probe: Probe) -> list[OutgoingMessage]:
        if probe.asked_for:
            del self.probes[seq]
            asker, theirs = probe.asked_for
            return [(asker, NoAnswer(theirs, self._news(asker)))]
        if not probe.helped:
            helpers = [o for o in self.others.values() if o.state is MemberState.ALIVE and o is not probe.other]
            helpers = self.chance.sample(helpers, min(self.pace.helpers, len(helpers)))
            probe.helped, probe.silent = True, len(helpers)
            probe.due = now + 2 * self.pace.ack_timeout * (1 + self.health_score)
            return [(o.name, Try(seq, probe.other.name, self._news(o.name))) for o in helpers]
        del self.probes[seq]
        # Helpers that are silent too tell of this gateway's own links.
        self._doubts(1 + probe.silent)
        other = probe.other
        self._take(now, GossipItem(other.name, MemberState.SUSPECT, other.incarnation, other.refutations, self.me))
        return []

    def _doubts(self, more: int) -> None:
        self.health_score = min(max(self.health_score + more, 0), self.pace.doubts)

    def _next(self) -> Other | None:
        """Whose turn it is: each once in a round, in an order drawn anew; the dead too, now and then, in their turn."""
        if not self.order:
            self.order = list(self.others.values())
            self.chance.shuffle(self.order)
        return self.order.pop() if self.order else None

    def _size(self) -> float:
        return max(math.log10(len(self.others) + 2), 1.0)

    def _lasts(self, sharers: int) -> int:
        """How long a suspicion lasts that so many gateways share (Lifeguard)."""
        least, most = (times * self.pace.period * self._size() for times in (self.pace.least, self.pace.most))
        shorter = math.log(sharers) / math.log(self.pace.sharers + 1) if sharers > 1 else 0.0
        return int(max(most - (most - least) * shorter, least))

    def _take(self, now: int, news: GossipItem) -> None:
        """News of a gateway, old or new: what is later of its lives, then its denials, then the worse word, holds."""
        if news.name == self.me:
            if self.leaving or news.seems is MemberState.ALIVE or news.life > self.life:
                return
            if (news.life, news.denials) >= (self.life, self.denials):
                self.denials = max(self.denials, news.denials) + 1
                self._doubts(1)
            # Told anew even where it was denied before. Guards against a denial whose few repeats all went into
            # connections that others had closed: it would be called dead for good.
            self.telling.put(GossipItem(self.me, MemberState.ALIVE, self.life, self.denials))
            return
        other = self.others.get(news.name)
        if other is None:
            return
        known = (other.incarnation, other.refutations, other.state)
        if (news.life, news.denials, news.seems) <= known:
            if (news.life, news.denials, news.seems) == known and news.seems is MemberState.SUSPECT:
                self._shared(other, news.by)
            return
        came_back = other.state is MemberState.DEAD and news.seems is MemberState.ALIVE
        if other.state is not news.seems or news.life != other.incarnation:
            other.since = now
            self.changed[other] = None
        if came_back or news.seems is MemberState.DEAD and other.state is not MemberState.DEAD:
            other.falls = [*other.falls[-7:], now]
        other.incarnation, other.refutations, other.state = news.life, news.denials, news.seems
        self.ends.pop(other, None)
        other.suspected_by = set()
        if news.seems is MemberState.SUSPECT:
            other.since = now
            self._shared(other, news.by)
        self.telling.put(news)

    def _shared(self, other: Other, by: str) -> None:
        if by and by not in other.suspected_by and len(other.suspected_by) <= self.pace.sharers:
            other.suspected_by.add(by)
            self.ends[other] = other.since + self._lasts(len(other.suspected_by))
            if len(other.suspected_by) > 1:
                self.telling.put(GossipItem(other.name, MemberState.SUSPECT, other.incarnation, other.refutations, by))

    def _news(self, to: str) -> tuple[GossipItem, ...]:
        """What is told with a message: first what was told least; to one that is suspected, that it is."""
        if self.leaving:  # guards against its own farewell that is crowded out, or told too often to go on
            return (GossipItem(self.me, MemberState.DEAD, self.life, self.denials, self.me),)
        # Guards against a fleet that starts, or loses a third, and knows itself after minutes: a crowd of news.
        count = max(self.pace.news, min(len(self.telling) // 3, self.pace.crowd))
        told = self.telling.take(count, math.ceil(self.pace.repeats * self._size()))
        other = self.others[to]
        if other.state is not MemberState.ALIVE and all(news.name != to for news in told):
            told += (GossipItem(to, other.state, other.incarnation, other.refutations, self.me),)
        return told
