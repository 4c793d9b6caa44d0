"""Whether the new version serves worse than the old one, while it goes on: a test that may be looked at at any time.

An e-process for two streams of yes and no (Turner, Ly, Gruenwald, "Generic E-variables for exact sequential k-sample
tests that allow for optional stopping", JSPI 2024): of each stretch of time and zone, the likelihood of what was served
with the new ones worse, over that with both alike at the rate between. Its product passes 1/alpha with a chance of
alpha at most if the new ones are no worse, whenever it is looked at, and whatever else changes from stretch to stretch
for both. Changed: the rates are those of the stretches before, the new ones' at least `allowed` under the old ones', so
that less than half of that halts nothing; classes share alpha evenly. How many tasks arrive must not hang on how many
were served: clients that come again bend that a little. Without I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import log

from msgspec import Struct

STRETCHES = 24  # of which the rates are taken
LEAST, MOST = 0.01, 0.99  # rates that are reckoned with
HARM_EVIDENCE_FACTOR = 3.5  # times the evidence that a harm should have brought before it is taken not to be there


class Terms(Struct, frozen=True):
    """`allowed`: part of what is served by which the new ones may be worse. `alpha`: chance of a halt for nothing in
    one release. `harm`: what is to be found before the second wave."""

    allowed: float = 0.03
    alpha: float = 0.002
    harm: float = 0.1


class Seen(Struct, frozen=True, array_like=True):
    """Of one class in one zone and stretch of time, by those that are new or old: tasks, and how many were served."""

    tasks: int
    served: int


class Stream:
    """One class: the evidence so far, and what it would be by now with the harm there."""

    def __init__(self) -> None:
        self.evidence = self.wanted = 0.0  # logarithms
        self.last: deque[tuple[Seen, Seen]] = deque(maxlen=STRETCHES)

    def put(self, new: Seen, old: Seen, terms: Terms) -> None:
        both = [(a, b) for a, b in self.last if a.tasks and b.tasks]
        of_old = _rate([b for _, b in both] or [old])
        of_new = min(_rate([a for a, _ in both]), of_old - terms.allowed) if both else of_old - terms.allowed
        of_new = max(of_new, LEAST)
        if both:
            self.evidence += _gain(new, old, of_new, of_old)
        worse = max(of_old - terms.harm, LEAST)
        between = (new.tasks * worse + old.tasks * of_old) / (new.tasks + old.tasks)
        self.wanted += new.tasks * relative_entropy(worse, between) + old.tasks * relative_entropy(of_old, between)
        self.last.append((new, old))


def _rate(seen: list[Seen]) -> float:
    """With one task of each outcome beside them, so that nothing is sure."""
    rate = (sum(one.served for one in seen) + 1) / (sum(one.tasks for one in seen) + 2)
    return min(max(rate, LEAST), MOST)


def _gain(new: Seen, old: Seen, of_new: float, of_old: float) -> float:
    """The logarithm of the likelihood with these rates over that with one between for both."""
    between = (new.tasks * of_new + old.tasks * of_old) / (new.tasks + old.tasks)
    return sum(
        seen.served * log(rate / between) + (seen.tasks - seen.served) * log((1 - rate) / (1 - between))
        for seen, rate in ((new, of_new), (old, of_old))
    )


def relative_entropy(one: float, other: float) -> float:
    """What a task tells of the one rate against the other, in the mean (Kullback and Leibler)."""
    return one * log(one / other) + (1 - one) * log((1 - one) / (1 - other))


class Comparison:
    """One release's. `put` for each stretch; `worse` names the classes that are told to be."""

    def __init__(self, terms: Terms, classes: int) -> None:
        self.terms, self.needed = terms, log(max(classes, 1) / terms.alpha)
        self.streams: dict[str, Stream] = {}

    def put(self, new: Mapping[tuple[str, int], Seen], old: Mapping[tuple[str, int], Seen]) -> None:
        """By class and zone, what each side did in the same stretch of time."""
        for (name, zone), seen in sorted(new.items()):
            other = old.get((name, zone))
            if other is not None and seen.tasks and other.tasks:
                self.streams.setdefault(name, Stream()).put(seen, other, self.terms)

    def worse(self) -> list[str]:
        """Classes of which it is told that the new ones serve them worse."""
        return [name for name, stream in self.streams.items() if stream.evidence >= self.needed]

    def settled(self) -> bool:
        """Whether a harm would have been found by now in each class that has tasks, and none was."""
        return not self.worse() and all(
            stream.wanted >= HARM_EVIDENCE_FACTOR * self.needed for stream in self.streams.values()
        )
