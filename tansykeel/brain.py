"""The decisions of tansykeel: which task goes to which store, when, and what becomes of it.

One Scheduler for each gateway: `serve(task)` gives a task's generator; lists and words of other gateways come
in between. Reasons are in docs/design.md. Times are whole tenths of a millisecond, rates units a tenth.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Generator, Iterable
from heapq import heappop, heappush
from itertools import takewhile

from tansykeel.interface import (
    BreakOff, BudgetRule, Category, ColdRule, Desk, EvenParts, Facts, HandOff, How, Nack, Outcome, Parts,
    Plan, Repeat, Scope, Signal, State, Store, Task, Volume, Wait, Want, Word,
)

SECOND, ROUND = 10_000, 100  # a round every 10 ms (design)
LONG = 10 * ROUND  # at most so long is a round put off that would find no room at a cold node
RESET = SECOND  # the bucket is emptied once a second (design)
DEFICIT = 50.0  # tokens that a reserved volume may sink below nothing (paper)
DONATED = 0.9  # part of a reserved volume's surplus that goes to the bucket (paper)
FLOOR = 0.1  # part of the node rate that the slices always share (design)
READ_COST, WRITE_COST = 1.0, 1.5  # tokens for a unit
AIM_PART = 0.3  # part of the tightest soft limit that work may spend at a node
MARGIN, MOST_MARGIN = 1.5, 0.75  # times the lag left to a held task's soft limit; at most this part of that
MOST_OUT = 24  # hand-offs out at a node (design: 32)
LEAST_RATE = 4  # the least rates of all gateways together, in usual tasks within a tightest soft limit
USE = 4  # times what was used lately that a falling rate starts from at most
RISE = 2_000  # the rate about doubles in this time while tasks are held and the lag is far under its target
FALL, DEEPEST = 0.2, 0.9  # part that it loses with the lag at twice its target, and at most in one fall
FRESH = SECOND  # samples that tell of the present, if the queue that they saw is not longer
DRAIN = 0.5  # time of waiting that a queue loses in a unit of time
LAST = 32  # of a volume's last hand-offs and answers, where it is used is worked out
SAMPLES, LATEST = 24, 4  # outcomes that a node's figures are worked out from; those that tell of its queue
STALE = 2 * SECOND  # samples of an overload count this long, and a node's rate for new nodes
RANKING = 500  # the ranking for new objects is renewed every 50 ms
EVEN = 0.2  # part of what a cold node bears that gateways share evenly, the rest goes by what is asked
FORGET, LEFT = 600 * SECOND, 30 * SECOND  # lines that nothing was sent for are let go after this; nodes gone
PATIENCE, LOSING = 4, 10 * SECOND  # times the lag after which an answer can be lost; while one tells of more
NEW, TOLD = 2 * SECOND, 6 * SECOND  # gateways started within this are a new fleet; a start is told by then
ASK = 800  # gateways asked for units of a limit have answered after 80 ms or will not
ASKED, ALL = 6, 6 * SECOND  # so many are asked at once; all gateways at most once in a while
PAUSE = 2_000  # rest of a node that cannot be reached, grows with every failure in a row


class Line:
    """One volume at one node. What it earns or owes while it holds no tasks is worked out when needed."""

    def __init__(self, node: Node, number: int, volume: Volume) -> None:
        self.node, self.number, self.volume = node, number, volume  # number: its place in the round
        self.held: deque[Task] = deque()
        self.reserve = volume.plan.reserve / SECOND  # read tokens a tenth, over all gateways and nodes
        self.earns = self.balance = self.tokens = 0.0  # earns: this gateway's and node's part of the reserve
        self.at, self.paid = node.accrued, 0.0  # up to when balance and tokens are worked out
        self.full_at, self.clear_at = 0, 0.0  # when its balance is full; after which slices it owes nothing
        self.asked_at, self.sized = 0, 0.0  # when a first try last came; units that the volume is sized for

    def earn(self, earns: float) -> None:
        if self.node.lines.get(self.volume) is self:
            self.node.earn += earns - self.earns
            if self in self.node.full:
                self.node.full_earn += earns - self.earns
            elif not self.held:
                self.balance += self.earns * (self.node.accrued - self.at)
                self.at, self.earns = self.node.accrued, earns
                self.node.fill(self)
        self.earns = earns


def cost_of(task: Task) -> float:
    return task.units * (WRITE_COST if task.category.writes else READ_COST)


class Young:
    """Keeps what all send to a store that has just started within what it surely bears: some of that evenly,
    and the part of what is asked of it that it bears, for it starts with a known share of its power."""

    def __init__(self, rule: ColdRule, gateways: int, me: int, largest: float) -> None:
        self.rule, self.largest = rule, largest
        self.even, self.phase = EVEN * rule.always_safe / max(gateways, 1), (me + 0.5) / max(gateways, 1)
        self.due = self.suspected = 0  # when the last task will find room; when it may have started
        self.since, self.at, self.credit = -rule.warm_after - rule.span, 0, 0.0

    def bears(self, store: Store, now: int, proof: int) -> float:
        """What it bears by now, as a part of what it does when warm; 0 if it is."""
        # Guards against a cut link taken for a restart: it answers, and no start was told when it had to be.
        doubt = proof <= self.suspected or now < self.suspected + TOLD
        age = now - (started := max(store.started, self.suspected if doubt else 0))
        if started <= 0 or age >= self.rule.warm_after + self.rule.span:
            return 0.0
        if started > self.since + self.rule.span:  # the list and the store tell of one start a little apart
            self.at, self.credit = started, 0.0
        self.since = started
        # The power at the start of the window bounds the whole window, for power never sinks on the way up.
        since = max(age - self.rule.span, 0) / max(self.rule.warm_after, 1)
        grown = 1 + since * (1 / self.rule.share - 1) if self.rule.share > 0 else 1.0
        evenly, self.at = self.even * grown * (now - self.at) / self.rule.span, now
        self.credit = min(self.credit + evenly, self.largest)
        return max(self.rule.multiple * self.rule.share * grown, 1e-9)

    def room(self, store: Store, now: int, units: float, proof: int) -> bool:
        warm, short = not self.bears(store, now, proof), units * self.phase - self.credit
        self.due = now + int(min(short * self.rule.span / max(self.even, 1e-9), LONG)) if short > 0 else 0
        return warm or short <= 0


def left(seen: Iterable[tuple[int, float]], now: int, limit: int) -> list[float]:
    """What is left of queues seen some time ago: a short one drains, one past the tightest limit stays."""
    return [wait if wait > limit else max(wait - DRAIN * (now - at), 0.0)
            for at, wait in seen if now - at <= (STALE if wait > limit else FRESH)]


class Waits:
    """When each node was last heard of, and its queueing then."""

    def __init__(self) -> None:
        self.seen: dict[Store, tuple[int, float]] = {}  # the newest last
        self.newest, self.changes, self.known, self.lost = -STALE, 0, (-1, -1, 0.0), 0  # lost: until when

    def put(self, store: Store, now: int, wait: float) -> None:
        self.seen.pop(store, None)
        self.seen[store] = now, wait
        self.newest, self.changes = now, self.changes + 1

    def middle(self, now: int, limit: int) -> float:
        """The lower middle of what was heard lately, so that one sick node does not speak for the others."""
        if self.known[:2] != (now, self.changes):
            seen = takewhile(lambda sample: sample[0] >= now - STALE, reversed(self.seen.values()))
            waits = sorted(left(seen, now, limit))
            self.known = now, self.changes, waits[(len(waits) - 1) // 2] if len(waits) > 1 else 0.0
        return self.known[2]


class Node:
    """One store as this gateway sees it."""

    def __init__(self, store: Store, desk: Desk, rate: float, least: float, usual: float, tightest: int,
                 young: Young | None, waits: Waits, gateways: int) -> None:
        self.store, self.desk, self.young, self.waits = store, desk, young, waits
        self.rate, self.least, self.usual, self.tightest = rate, least, usual, tightest
        self.floor = LEAST_RATE * usual / tightest / max(gateways, 1)
        self.lines, self.holding = dict[Volume, Line](), list[Line]()  # holding: with held tasks, in order
        # Of the others: those whose balance is full (each has `has` for a token it earns), when more will be,
        # those that held a task lately, those in debt, and the slices after which they owe nothing.
        self.full, self.fills = dict[Line, None](), list[tuple[int, int, Line]]()
        self.late, self.owing = dict[Line, int](), dict[Line, None]()
        self.debts = list[tuple[float, int, Line]]()
        self.earn = self.full_earn = self.has = self.paid = 0.0  # paid: all slices so far, of one line
        self.count = self.notes = self.first = 0  # first: where the next round of slices starts
        self.bucket, self.out, self.tokens_out, self.held, self.held_tokens = 0.0, 0, 0.0, 0, 0.0
        self.heard = self.accrued = self.reset_at = desk.now
        self.sent: dict[Task, int] = {}  # hand-offs out, in order, with their times
        self.grants: deque[tuple[int, float]] = deque(maxlen=SAMPLES)  # the last hand-offs: when, tokens
        self.lags: deque[tuple[int, int, float]] = deque(maxlen=SAMPLES)  # when, lag, units
        self.ends: deque[bool] = deque(maxlen=SAMPLES)  # whether each outcome was a good one
        self.changes, self.seen, self.waited, self.unit = 0, (-1, -1, -1), 0.0, 0.0  # what is worked out once
        self.resting = self.fell = self.troubles = self.proof = 0  # proof: when the last answered was sent
        self.round_set = self.starved = False  # starved: tokens or bound held something back

    def sample(self, lag: int, units: float) -> None:
        self.lags.append((self.desk.now, lag, units))
        self.changes += 1
        times = sorted([lag / units for _, lag, units in self.lags])
        self.unit = times[len(times) // 4]  # tenths that a unit takes here when nothing waits

    def queueing(self) -> float:
        """Time that the last hand-offs waited; without fresh ones the middle of others (design: average)."""
        now = self.desk.now
        if self.seen != (seen := (now, self.changes, self.waits.changes)):
            self.seen = seen
            # Silence tells of a node that stands still; where a later answer came, the one missing is lost.
            first = next((sent for sent in self.sent.values() if sent >= self.proof), now)
            silence = now - max(self.heard, first)
            samples = [(at, lag - units * self.unit) for at, lag, units in list(self.lags)[-LATEST:]]
            waits = left(samples, now, self.tightest)
            wait = sum(waits) / len(waits) if waits else self.waits.middle(now, self.tightest)
            self.waited = max(wait, silence - self.usual * self.unit)
        return self.waited

    def lag(self, units: float) -> float:
        return self.queueing() + units * self.unit

    def gap(self) -> float:
        """How far the lag of a usual task stays under its target, as a part of it."""
        return 1 - self.lag(self.usual) / (self.tightest * AIM_PART)

    def free(self) -> bool:
        """Whether a fresh sample, of this node or another, shows a lag under its target."""
        return self.waits.newest >= self.desk.now - FRESH and self.gap() > 0

    def bound(self) -> float:
        """Tokens that may be out; one largest task, but not where many gateways' would keep a queue full."""
        least = self.least if self.gap() >= 0 and not self.troubles else 0.0
        return max(self.rate * self.tightest * AIM_PART, least)

    def usable(self) -> bool:
        return self.store.state is State.READY and self.desk.now >= self.resting

    def fits(self, task: Task, cost: float) -> bool:
        if not self.usable() or self.out >= MOST_OUT:
            return False
        if self.out and self.tokens_out + cost > self.bound():
            self.starved = True
            return False
        return not self.young or self.young.room(self.store, self.desk.now, task.units, self.proof)

    def asked(self, line: Line, units: float, rate: float) -> None:
        """A first try has come. For a young store it counts within what its volume was sized for, `rate`."""
        if self.young and (part := self.young.bears(self.store, self.desk.now, self.proof)):
            most = max(rate * self.young.rule.span, self.young.largest)
            line.sized = min(line.sized + rate * (self.desk.now - line.asked_at), most)
            line.asked_at, counts = self.desk.now, min(units, line.sized)
            line.sized -= counts
            # With no queue there all send it less than its power, which is that much under what it bears.
            clear = bool(self.lags) and self.lags[-1][0] >= self.desk.now - FRESH and self.gap() > 0
            earned = (1 - EVEN) * part * counts * (self.young.rule.multiple if clear else 1)
            self.young.credit = min(self.young.credit + earned, self.young.largest)

    def hold(self, line: Line, task: Task) -> None:
        if not line.held:
            self.rouse(line)
        (line.held.appendleft if task.hand_offs else line.held.append)(task)
        self.held, self.held_tokens = self.held + 1, self.held_tokens + cost_of(task)
        self.round()

    def drop(self, line: Line, task: Task) -> None:
        if task in line.held:
            line.held.remove(task)
            self.held, self.held_tokens = self.held - 1, self.held_tokens - cost_of(task)
            if not line.held:
                self.lull(line)

    def rouse(self, line: Line) -> None:
        insort(self.holding, line, key=lambda other: other.number)
        if line in self.full:
            del self.full[line]
            self.full_earn -= line.earns
            line.balance = self.has * line.earns
        else:
            line.balance += line.earns * (self.accrued - line.at)
        if line in self.owing:
            del self.owing[line]
            line.tokens += self.paid - line.paid
        self.late.pop(line, None)
        line.full_at = 0

    def lull(self, line: Line) -> None:
        self.holding.remove(line)
        line.at, line.paid = self.accrued, self.paid
        self.late[line] = self.desk.now
        if line.tokens < 0:
            self.owing[line], line.clear_at = None, self.paid - line.tokens
            self.notes += 1
            heappush(self.debts, (line.clear_at, self.notes, line))
        else:
            self.bucket, line.tokens = self.bucket + line.tokens, 0.0
        self.fill(line)

    def fill(self, line: Line) -> None:
        missing = 3 * ROUND * line.earns - line.balance
        if line.earns and missing > 0:
            line.full_at = line.at + int(missing / line.earns) + 1
            self.notes += 1
            heappush(self.fills, (line.full_at, self.notes, line))
        else:
            self.settle(line)

    def settle(self, line: Line) -> None:
        """Its balance is full: it gives to the bucket as all such lines do. Those longest so are let go."""
        self.bucket += line.balance - self.has * line.earns
        self.full[line], line.at, line.full_at = None, self.accrued, 0
        self.full_earn += line.earns
        while (oldest := next(iter(self.full))).at < self.desk.now - FORGET and oldest not in self.owing:
            del self.full[oldest], self.lines[oldest.volume]
            self.earn, self.full_earn = self.earn - oldest.earns, self.full_earn - oldest.earns

    def round(self) -> None:
        self.accrue()
        if self.held and self.usable():
            for line in list(self.holding):
                while line.earns and line.held and line.balance > -min(DEFICIT, line.earns * RESET):
                    cost = cost_of(line.held[0])
                    if not self.fits(line.held[0], cost):
                        break
                    line.balance -= cost
                    self.grant(line, cost)
            self.slices()
        if self.held and not self.round_set:
            self.round_set = True
            self.desk.alarm(max(self.desk.now + ROUND, self.young.due if self.young else 0), self.next_round)

    def next_round(self) -> None:
        self.round_set = False
        self.round()

    def slices(self) -> None:
        start = bisect_left(self.holding, self.first, key=lambda line: line.number)
        for line in self.holding[start:] + self.holding[:start]:
            while line.held:
                cost = cost_of(line.held[0])
                if (short := cost - line.tokens) > self.bucket:
                    self.starved = True
                    # An idle node lends if the work is in time, to a line in debt only on a fresh sample.
                    if self.out or self.gap() < 1 - 1 / AIM_PART or (line.tokens < 0 and not self.free()):
                        break
                if not self.fits(line.held[0], cost):
                    self.first = line.number
                    return
                drawn = min(max(short, 0.0), max(self.bucket, 0.0))
                self.bucket, line.tokens = self.bucket - drawn, line.tokens + drawn - cost
                self.grant(line, cost)
        self.first = (self.first + 1) % max(self.count, 1)

    def accrue(self) -> None:
        now = self.desk.now
        span, self.accrued = now - self.accrued, now
        if self.starved and (gap := self.gap()) > 0:
            # By time and not by outcomes: where few tasks come by, a rate once low would stay low.
            rate = self.rate * (1 + gap * min(span, ROUND) / RISE)
            # What MOST_OUT hand-offs can be at the lag seen: a store far quicker than the target does more.
            lag = self.lag(self.usual) if self.lags else self.tightest * AIM_PART
            self.rate = min(rate, MOST_OUT * self.usual / max(lag, 1))
        self.starved = False
        if now >= self.reset_at:
            self.bucket, self.reset_at = 0.0, now + RESET
        if not span:
            return
        while self.fills and self.fills[0][0] <= now:
            moment, _, line = heappop(self.fills)
            if line.full_at == moment:
                line.balance += line.earns * (now - line.at)
                self.settle(line)
        most = 3 * ROUND
        surplus = max(self.has + span - most, 0.0) * DONATED
        self.has, self.bucket = self.has + span - surplus, self.bucket + surplus * self.full_earn
        while self.late and next(iter(self.late.values())) <= now - RESET:
            del self.late[next(iter(self.late))]
        active = len(self.holding) + len(self.late) + sum(line not in self.late for line in self.owing)
        if not active:
            return
        part = max(self.rate - self.earn, self.rate * FLOOR) * span / active
        self.paid += part
        self.bucket += part * (active - len(self.holding) - len(self.owing))
        while self.debts and self.debts[0][0] <= self.paid:
            debt, _, line = heappop(self.debts)
            if line in self.owing and line.clear_at == debt:
                del self.owing[line]
                self.bucket, line.tokens = self.bucket + self.paid - debt, 0.0
        for line in self.holding:
            line.tokens += part
            line.balance += line.earns * span
            surplus = max(line.balance - most * line.earns, 0.0) * DONATED
            line.balance, self.bucket = line.balance - surplus, self.bucket + surplus

    def grant(self, line: Line, cost: float) -> None:
        task = line.held.popleft()
        self.changes += 1
        self.held, self.held_tokens = self.held - 1, self.held_tokens - cost
        self.out, self.tokens_out = self.out + 1, self.tokens_out + cost
        self.sent[task] = self.desk.now
        self.grants.append((self.desk.now, cost))
        if self.young:
            self.young.credit -= task.units
        if not line.held:
            self.lull(line)
        self.desk.wake(task, Signal.TURN)

    def release(self, cost: float) -> None:
        self.out, self.tokens_out = self.out - 1, self.tokens_out - cost
        self.round()

    def recall(self, task: Task) -> None:
        del self.sent[task]
        self.changes += 1
        self.release(cost_of(task))

    def fall(self, part: float, rest: int) -> None:
        """Lower the rate, once in the time that a step shows, from a few times its use: all must feel it."""
        if self.desk.now >= self.fell:
            used = sum(cost for at, cost in self.grants if at >= self.desk.now - SECOND) / SECOND
            self.rate = max(min(self.rate, USE * used) * (1 - part), self.floor)
            self.fell = self.desk.now + rest

    def learn(self, task: Task, outcome: Outcome) -> None:
        now, cost, sent = self.desk.now, cost_of(task), self.sent.pop(task)
        long = outcome.how is How.TIMED_OUT and outcome.lag >= PATIENCE * self.lag(task.units)
        lost = long and sent < self.proof  # guards against short patience and slow nodes, which look like it
        self.changes, self.waits.lost = self.changes + 1, now + LOSING if lost else self.waits.lost
        if outcome.how is How.TIMED_OUT and not lost:
            # Guards against work that goes on at the store after its client left: it stays on the books.
            self.desk.alarm(now + self.tightest, lambda: self.release(cost))
        else:
            self.heard, self.out, self.tokens_out = now, self.out - 1, self.tokens_out - cost
        if outcome.how not in (How.MOOT, How.CANCELLED):
            self.ends.append(outcome.how is How.DELIVERED)
        if outcome.how is How.DELIVERED or outcome.how is How.TIMED_OUT and now >= self.waits.lost:
            self.proof = max(self.proof, sent if outcome.how is How.DELIVERED else 0)
            self.sample(outcome.lag, task.units)
            self.waits.put(self.store, now, self.queueing())
            self.troubles = 0
            if (gap := self.gap()) < 0:
                self.fall(min(FALL * -gap, DEEPEST), min(outcome.lag, self.tightest) // 2)
        elif outcome.how is How.FULL:
            self.troubles += 1
            self.fall(FALL, ROUND)
            self.resting = now + ROUND * 5 * min(self.troubles, 10)
        elif outcome.how is How.NO_CONNECTION:
            # Guards against a restart that the list has not told: tried ever more seldom, it counts as cold.
            self.troubles += 1
            if self.young and self.troubles > 1:
                self.young.suspected = self.young.at = now
                self.young.credit = min(self.young.credit, 0.0)
            self.resting = now + PAUSE * min(self.troubles, 5)
            self.desk.alarm(self.resting, self.round)


class KeyLine:  # tasks of ordered categories that carry one key, in the order taken
    def __init__(self, rests_until: int) -> None:
        self.tasks, self.rests_until = deque[Task](), rests_until


class Extras:  # further hand-offs within each window's budget; an earlier life may have used up the first
    def __init__(self, rule: BudgetRule, now: int) -> None:
        self.rule, self.taken, self.extras, self.opens = rule, deque[int](), deque[int](), now + rule.span

    def room(self, now: int) -> bool:
        while self.taken and self.taken[0] <= now - self.rule.span + 1:  # rounding never in our favour
            self.taken.popleft()
        while self.extras and self.extras[0] < now - self.rule.span - 1:
            self.extras.popleft()
        return now > self.opens and len(self.extras) + 1 <= self.rule.free + self.rule.share * len(self.taken)


class VolumeState:
    """A volume over all nodes, and its limit's part here; units passed on are gone before they come."""

    def __init__(self, hosts: float, limit: float, depth: float, born: int, parts: Parts) -> None:
        self.hosts, self.limit, self.depth, self.units, self.at = hosts, limit, depth, 0.0, born
        self.parts, self.started = parts, False  # started: it is settled that the part starts full, or empty
        self.peers: dict[int, None] = {}  # other gateways heard to have tasks of the volume
        self.asked = self.ask_due = self.all_due = born  # last; when some, or all, may be again
        self.pause, self.wish, self.got = 0, 0.0, 0.0  # between asks; what the last was for, and brought
        self.short, self.shards = dict[Task, None](), dict[int, None]()  # who waits for units; of first tries
        self.sent, self.by_line = deque[tuple[Line, float]](), dict[Line, float]()  # of the last hand-offs
        self.told = deque[tuple[float, float]]()  # of the last answers: units here, by all gateways
        self.told_at, self.here, self.all, self.total = born, 0.0, 0.0, 0.0  # their sums

    def tell(self, units: float, outcome: Outcome, plan: Plan, now: int) -> None:
        """Take in the volume's use: through others since the last answer, or by the meter, through all."""
        used = (outcome.used or 0) / 100 * plan.rate * min(now - self.told_at, STALE) / SECOND
        self.told_at, by_all = now, used if outcome.elsewhere is None else units + outcome.elsewhere
        self.told.append((units, by_all))
        was = self.told.popleft() if len(self.told) > LAST else (0.0, 0.0)
        self.here, self.all = self.here + units - was[0], self.all + by_all - was[1]

    def send(self, line: Line, units: float) -> None:
        self.sent.append((line, units))
        self.by_line[line], self.total = self.by_line.get(line, 0.0) + units, self.total + units
        if len(self.sent) > LAST:
            line, units = self.sent.popleft()
            self.by_line[line], self.total = self.by_line[line] - units, self.total - units
            if self.by_line[line] <= 0:
                del self.by_line[line]

    def part(self, usual: float) -> float:
        """This gateway's part of the volume's use; the even part weighs in as a usual task."""
        return (self.here + usual / self.hosts) / (max(self.here, self.all) + usual)

    def fill(self, now: int, more: float = 0.0) -> None:
        span, most = self.parts.earned(self.at, now)
        self.units, self.at = min(self.units + self.limit * span + more, self.depth * most), now


class Scheduler:
    def __init__(self, facts: Facts, seed: int, desk: Desk) -> None:
        self.facts, self.desk = facts, desk
        self.chance, self.born = random.Random(seed), desk.now
        self.new: bool | None = None  # whether all gateways are, where another has said so
        if facts.allowed.peers:
            desk.alarm(desk.now, lambda: desk.tell(None, Word(None, 0.0, False)))
        self.tightest = min(category.soft_limit for category in facts.categories)
        self.least, self.usual = max(facts.sizes.largest, 1.0), max(facts.sizes.usual, 1.0)
        self.nodes, self.by_shard = dict[Store, Node](), dict[int, Node]()
        self.waits, self.keys, self.asks = Waits(), dict[int, KeyLine](), 0
        self.ranked, self.rank_due = list[Node](), 0
        self.extras = Extras(facts.budget, desk.now) if facts.budget else None
        self.patience: dict[Category, deque[int]] = {}  # of the last tasks: time left when they came
        if facts.listing.must_ask:
            desk.watch()

    def list_changed(self, stores: list[Store], confirmed: bool) -> None:
        if confirmed:
            self.asks = 0
        cold, gateways = self.facts.cold, self.facts.gateways
        for store in stores:
            if store not in self.nodes and store.state is not State.GONE:
                young = Young(cold, gateways, self.facts.me, self.least) if cold else None
                self.nodes[store] = Node(store, self.desk, self.average_rate(), self.least, self.usual,
                                         self.tightest, young, self.waits, gateways)
        for node in [n for n in self.nodes.values() if n.store.state is State.GONE]:
            if not node.out and not node.held and self.desk.now - node.heard >= LEFT:
                del self.nodes[node.store]
                self.waits.seen.pop(node.store, None)
        self.by_shard = {}
        for node in self.nodes.values():
            best = self.by_shard.get(node.store.shard)
            if node.store.state is State.READY and (best is None or node.store.started >= best.store.started):
                self.by_shard[node.store.shard] = node
        self.rank()
        for node in list(self.nodes.values()):
            if self.by_shard.get(node.store.shard) is node:
                node.round()
                continue
            for task in [task for line in node.lines.values() for task in line.held]:
                self.desk.wake(task, Signal.MOVED)

    def list_failed(self) -> None:
        wait = int(self.chance.uniform(0.5, 1.5) * SECOND * min(2**self.asks, 8))
        self.asks += 1
        self.desk.alarm(self.desk.now + wait, self.desk.watch)

    def average_rate(self) -> float:
        """What a new node counts as; before any was heard, the rate that fills the least bound."""
        heard = [n.rate for n in self.nodes.values() if n.lags and self.desk.now - n.lags[-1][0] < STALE]
        return sum(heard) / len(heard) if heard else self.least / (self.tightest * AIM_PART)

    def rank(self) -> None:
        """Order the nodes for new objects by the time a task would spend there, failures counted in."""
        self.rank_due = self.desk.now + RANKING

        def dwell(node: Node) -> float:
            failing = node.ends.count(False) / max(len(node.ends), 1)
            return node.lag(self.usual) + node.held_tokens / node.rate + failing * self.tightest
        ready = [node for node in self.by_shard.values() if node.usable()]
        self.ranked = sorted(ready, key=lambda node: (dwell(node), self.chance.uniform(0, 1)))

    def node_for(self, task: Task) -> Node | None:
        if task.shard is not None:
            return self.by_shard.get(task.shard)
        if self.desk.now >= self.rank_due:
            self.rank()
        for node in self.ranked:
            if node.usable() and node.held_tokens + node.tokens_out + cost_of(task) <= node.bound() / 2:
                return node
        return min(self.ranked, key=lambda n: (n.held_tokens + n.tokens_out) / n.rate, default=None)

    def serve(self, task: Task) -> Generator[Want, Signal | Outcome | None, None]:
        """The ordinary path: find the node, wait for the turn, hand off, judge the outcome."""
        now = self.desk.now
        state, aim = self.state_of(task.volume), self.aim_of(task)
        if late := aim <= now:  # worth little any more: it goes only where nothing waits
            aim = min(now + task.category.soft_limit, task.cut_off)
        if self.extras:
            self.extras.taken.append(now)
        node, line, first = None, None, not task.again and task.shard is not None
        try:
            in_turn = not (task.category.ordered and task.key) or (yield from self.turn_on_key(task, aim))
            while in_turn and self.may_hand_off(task):
                node = self.node_for(task)
                if node is None or not self.in_group(task, node.store) or late and not node.free():
                    break
                line = self.line_of(node, task.volume)
                if first:
                    first, state.shards[node.store.shard] = False, None
                    rate = task.volume.plan.rate / SECOND * state.part(self.usual) / len(state.shards)
                    node.asked(line, task.units, rate)
                latest = aim - int(min(node.lag(task.units) * MARGIN, (aim - now) * MOST_MARGIN))
                wait = self.limit_wait(task, state)
                if self.desk.now + wait >= latest:
                    break
                if wait:
                    state.short[task] = None
                    yield Wait(self.desk.now + wait)
                    state.short.pop(task, None)
                    continue
                node.hold(line, task)
                signal = yield Wait(latest)
                if signal is not Signal.TURN:
                    node.drop(line, task)
                    if signal is Signal.MOVED:
                        continue
                    break
                legal = self.may_hand_off(task) and self.in_group(task, node.store)
                if not legal or self.limit_wait(task, state):
                    # The limit is charged at the turn: charged before, a held line could leave in one burst.
                    node.recall(task)
                    continue
                self.spend(task, line, state)
                sent, outcome = self.desk.now, (yield HandOff(node.store, self.time_out(task, node, aim)))
                assert isinstance(outcome, Outcome)
                node.learn(task, outcome)
                if outcome.how is How.DELIVERED and (outcome.elsewhere, outcome.used) != (None, None):
                    state.tell(task.units, outcome, task.volume.plan, self.desk.now)
                if not outcome.never_ran:
                    task.may_have_run.append((node.store, sent))
                    if outcome.how in (How.TIMED_OUT, How.RESET, How.CANCELLED) and task.key in self.keys:
                        self.keys[task.key].rests_until = self.desk.now + self.facts.key_rest
                node.round()
                if outcome.over or outcome.how is How.DELIVERED:
                    return
            yield self.final(task)
        finally:
            if node and line:
                node.drop(line, task)
            state.short.pop(task, None)
            self.leave_key(task)

    def time_out(self, task: Task, node: Node, aim: int) -> int:
        """After what time a harmless task goes again, if answers are lost and it can be in time, else 0."""
        now, sure = self.desk.now, task.category.repeat is Repeat.HARMLESS
        if task.hand_offs != 1 or not sure or now >= self.waits.lost:
            return 0
        patience = max(PATIENCE * (lag := int(node.lag(task.units))), self.tightest // 2)
        return patience if now + patience + lag * MARGIN < aim else 0

    def aim_of(self, task: Task) -> int:
        """When the soft limit ends, from the first try on: who has less time left than others, but more than
        that limit, tries again or met a stall."""
        times = self.patience.setdefault(task.category, deque(maxlen=SAMPLES))
        times.append(task.cut_off - self.desk.now)
        age = max(times) - times[-1] if times[-1] >= task.category.soft_limit else 0
        return min(self.desk.now + task.category.soft_limit - age, task.cut_off)

    def line_of(self, node: Node, volume: Volume) -> Line:
        if volume not in node.lines:
            line = node.lines[volume] = Line(node, node.count, volume)
            node.count += 1
            line.earn(line.reserve / self.state_of(volume).hosts / max(len(self.by_shard), 1))
        return node.lines[volume]

    def state_of(self, volume: Volume) -> VolumeState:
        if volume.state is None:
            plan, hosts = volume.plan, volume.gateways if volume.gateways >= 1 else self.facts.gateways
            rate, depth = plan.limit / SECOND / hosts, plan.limit_depth / hosts
            parts = self.desk.parts if hosts == self.facts.gateways else EvenParts()  # views divide among all
            volume.state = VolumeState(hosts, rate, depth, self.born, parts)
        return volume.state

    def spend(self, task: Task, line: Line, state: VolumeState) -> None:
        if not task.hand_offs:
            state.units -= task.units
        elif self.extras:
            self.extras.extras.append(self.desk.now)
        task.hand_offs += 1
        state.send(line, task.units)
        total = state.total / state.part(self.usual)
        for other, units in state.by_line.items() if line.reserve else ():
            other.earn(other.reserve * units / total)

    def limit_wait(self, task: Task, state: VolumeState) -> int:
        """Tenths until the limit has a first hand-off's units. A part starts empty, in a new fleet full."""
        now = self.desk.now
        if not state.started and self.new is not None and now >= self.born + ASK:
            state.started = True
            state.fill(now, state.depth if self.new else 0.0)
        if task.hand_offs or not state.limit:
            return 0
        state.fill(now)
        wait = 0 if state.units >= task.units else int((task.units - state.units) / state.limit) + 1
        return min(wait, self.ask(task.volume, state) or wait) if wait else 0

    def ask(self, volume: Volume, state: VolumeState) -> int:
        """Ask some gateways of the volume for units, all while some are unknown; how long that may take."""
        now = self.desk.now
        if not self.facts.allowed.peers or state.hosts <= 1:
            return 0
        if now >= state.ask_due:
            state.pause = ASK if 2 * state.got >= state.wish else min(2 * state.pause, SECOND)
            state.asked, state.ask_due, state.got = now, now + state.pause, 0.0
            state.wish = state.depth - state.units
            some: list[int | None] = [*self.chance.sample([*state.peers], min(ASKED, len(state.peers)))]
            if len(state.peers) < state.hosts - 1 and now >= state.all_due:
                some, state.all_due = [None], now + ALL
            for peer in some:
                each = state.wish / (state.hosts - 1 if peer is None else len(some))
                self.desk.tell(peer, Word(volume, each, False))
        return max(state.asked + ASK - now, 0)

    def heard(self, peer: int, word: Word) -> None:
        """Another gateway gives units, asks for some (half at most; none where no task came) or greets."""
        if word.volume is None:
            if not (long := self.desk.now >= self.born + NEW):
                self.new = self.new is not False and not word.units
            if not word.gift:
                self.desk.tell(peer, Word(None, float(long), True))
        elif (state := word.volume.state) is not None:
            state.fill(self.desk.now, word.units if word.gift else 0.0)
            gift = min(word.units, max(state.units, 0.0) / 2)
            if word.gift:
                state.got += word.units
                for task in state.short:
                    self.desk.wake(task, Signal.MOVED)
            elif gift >= 1 or peer not in state.peers:
                state.units -= gift
                self.desk.tell(peer, Word(word.volume, gift, True))
            state.peers[peer] = None

    def may_hand_off(self, task: Task) -> bool:
        """Whether a (further) hand-off is legal now, wherever it goes."""
        if task.hand_offs >= self.facts.allowed.hand_offs or self.desk.now >= task.cut_off:
            return False
        if task.hand_offs and self.extras and not self.extras.room(self.desk.now):
            return False
        return not (task.may_have_run and task.category.repeat is Repeat.ONE_SHOT)

    def in_group(self, task: Task, store: Store) -> bool:
        """Whether a stamped task that may have run may go to this store: same group, within its memory."""
        if not task.may_have_run or task.category.repeat is Repeat.HARMLESS:
            return True
        (first, sent), scope = task.may_have_run[0], task.category.scope
        near = store.zone == first.zone if scope is Scope.ZONE else store.shard == first.shard
        return (scope is Scope.ALL or near) and self.desk.now < sent + task.category.window

    def final(self, task: Task) -> Want:
        """The answer of a task given up on: a nack wherever its promise holds."""
        repeat, allowed = task.category.repeat, self.facts.allowed
        sure = repeat is Repeat.HARMLESS or (repeat is Repeat.STAMPED and task.category.scope is Scope.ALL)
        if task.may_have_run and not sure:
            return BreakOff()
        return Nack(min(self.tightest, allowed.longest_come_back) if allowed.come_back else 0)

    def turn_on_key(self, task: Task, aim: int) -> Generator[Want, Signal | Outcome | None, bool]:
        """Wait until the task is first on its key and the key has rested; False if that comes too late."""
        line = self.keys.setdefault(task.key, KeyLine(self.born + self.facts.key_rest))  # of an earlier life
        line.tasks.append(task)
        while line.tasks[0] is not task or self.desk.now < line.rests_until:
            if self.desk.now >= aim:
                return False
            yield Wait(min(line.rests_until, aim) if line.tasks[0] is task else aim)
        return True

    def leave_key(self, task: Task) -> None:
        line = self.keys.get(task.key) if task.category.ordered else None
        if line is None or task not in line.tasks:
            return
        line.tasks.remove(task)
        if line.tasks:
            self.desk.wake(line.tasks[0], Signal.MOVED)
        elif self.desk.now >= line.rests_until:
            del self.keys[task.key]
