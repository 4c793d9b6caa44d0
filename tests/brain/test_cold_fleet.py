"""Slow start held by all gateways together, where the store answers at once however much it gets.

A store that has just started was sent nearly everything that was asked of it while its answers showed no queue: 350
requests in 3 s where 301 and 36 of slack are allowed, and 1,080 during a surge where 559 and 49 are. `Node.asked`
credited each request 2.5 times over as long as latencies stayed under their target, on the ground that all gateways
together then send less than the store's power. A store that answers quickly although it is overloaded breaks that
ground, and nothing else bounded what a gateway sends in one window: a volume's own bound let a window's worth through
at its beginning and another while it lasted. The fleet below showed it: windows 6% to 18% over what is allowed at an
even load and 75% to 80% in a surge, as much as was counted on loopback (1.78 times). Now what first tries earn in any
window is bounded by `SpanBudget`, whatever the answers show.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest
from helpers import PLAN, scheduler, store

from tansykeel.interface import SlowStartRule, Volume

SECOND = 10_000  # in the scheduler's unit of time
ROUND = 100
UNITS = 2.0  # of a request of mean work
START = 1_000_000
RULE = SlowStartRule(share=0.2, warm_after=28 * SECOND, multiple=2.5, span=3 * SECOND, always_safe=0.0)
PLANS_PART = 0.8  # of a store's capacity, for which the volumes' plans are sized
ASKED_PART = 0.6  # of a store's capacity, which is asked for at an even load
KEPT_FOR = SECOND // 2  # for which a request is held until it is given up
ANSWER_TIME = 10


@dataclass
class Gateway:
    """One scheduler's view of the store, and the requests that it holds for it."""

    node: object
    queue: object
    runtime: object
    held: deque[int] = field(default_factory=deque)

    def ask(self, now, rate):
        self.node.record_demand(self.queue, UNITS, rate)
        self.held.append(now)

    def send(self, now):
        """Send what there is room for; return how many requests that were."""
        self.node.add_sample(ANSWER_TIME, UNITS)
        while self.held and self.held[0] < now - KEPT_FOR:
            self.held.popleft()
        sent = 0
        while self.held and self.node.slow_start.admits(self.node.store, now, UNITS, 0):
            self.held.popleft()
            self.node.slow_start.credit -= UNITS
            sent += 1
        return sent


def fleet(gateways, capacity):
    """`capacity`: requests a second that the store does when it is warm."""
    rule = replace(RULE, always_safe=0.7 * budget(capacity, START) * UNITS)
    made = []
    for me in range(gateways):
        brain, runtime = scheduler([store(started=START)], slow_start=rule, gateways=gateways, gateway_index=me)
        node = next(iter(brain.nodes.values()))
        made.append(Gateway(node, brain.queue_of(node, Volume("v", PLAN)), runtime))
    return made


def budget(capacity, now):
    """Return the requests that the store may get in the window that ends now."""
    age = max(now - START - RULE.span, 0)
    power = RULE.share + (1 - RULE.share) * min(age / RULE.warm_after, 1.0)
    return RULE.multiple * power * capacity * RULE.span / SECOND


def worst_window(gateways, capacity, load_at, seconds=12, seed=1, plans_part=PLANS_PART, asked_part=ASKED_PART):
    """Return by how much the fullest window is over what is allowed with its slack, as a part of that."""
    made, chance = fleet(gateways, capacity), random.Random(seed)
    rate = plans_part * capacity * UNITS / SECOND / gateways
    sent, worst = deque(), -1.0
    due = float(START)
    for now in range(START, START + seconds * SECOND, ROUND):
        for gateway in made:
            gateway.runtime.now = now
        while due <= now:
            chance.choice(made).ask(now, rate)
            due += chance.expovariate(load_at((now - START) / SECOND) * asked_part * capacity / SECOND)
        for gateway in made:
            sent.extend([now] * gateway.send(now))
        while sent and sent[0] <= now - RULE.span:
            sent.popleft()
        allowed = budget(capacity, now)
        allowed += 2 * allowed**0.5 + 2
        worst = max(worst, len(sent) / allowed - 1)
    return worst


def even(second):
    return 1.0


def surge(second):
    return 3.0 if 6 <= second < 9 else 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load_at", [even, surge])
@pytest.mark.parametrize("gateways, capacity", [(2, 200), (6, 400), (20, 400)])
def test_no_window_gets_more_than_its_budget(gateways, capacity, load_at, seed):
    assert worst_window(gateways, capacity, load_at, seed=seed) <= 0


@pytest.mark.parametrize("plans_part", [1.0, 4.0])
@pytest.mark.parametrize("load_at", [even, surge])
@pytest.mark.parametrize("gateways, capacity", [(2, 120), (6, 240)])
def test_no_window_gets_more_than_its_budget_where_all_that_a_store_can_do_is_asked(
    gateways, capacity, load_at, plans_part
):
    """Plans that are sized for more than the stores do bound nothing: what was asked before has to."""
    assert worst_window(gateways, capacity, load_at, plans_part=plans_part, asked_part=1.0) <= 0


def test_no_window_gets_more_than_its_budget_from_a_fleet_whose_gateways_are_each_asked_little():
    """A hundred gateways, each asked for two requests a second: what one sees is too little to tell a surge by."""
    assert worst_window(100, 400, surge) <= 0
