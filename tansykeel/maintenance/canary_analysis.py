"""Sequential test of whether gateways with the new version serve worse than those with the old one.

An e-process for two Bernoulli streams (Turner, Ly, Gruenwald, "Generic E-variables for exact sequential k-sample tests
that allow for optional stopping", JSPI 2024). For each time interval and zone it multiplies in a likelihood ratio: that
of the counts if the new version serves worse, over that if both serve at the weighted mean rate. If the new version is
no worse, the product reaches 1/alpha with probability alpha at most, however often it is looked at, and whatever else
changes from interval to interval for both versions alike.

Differences from the paper: the rates are estimated from earlier intervals, that of the new version at least `allowed`
below that of the old one, so that harm of less than half of `allowed` halts no rollout; and the request classes share
alpha evenly. The number of tasks that arrive must not depend on how many were served; clients that retry violate this
slightly. Without I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import log

from msgspec import Struct

RATE_WINDOW = 24  # latest counts, one per interval and zone, from which the rates are estimated
MIN_RATE, MAX_RATE = 0.01, 0.99  # estimated rates are clamped to this range
# Harm is ruled out once it would have been expected to bring so many times the evidence needed for a halt.
HARM_EVIDENCE_FACTOR = 3.5


class Terms(Struct, frozen=True):
    """Parameters of the test, as fractions.

    `allowed`: by how much the new version's share of served tasks may be lower. `alpha`: probability of a false halt in
    one release. `harm`: the loss that has to be detected before the second wave.
    """

    allowed: float = 0.03
    alpha: float = 0.002
    harm: float = 0.1


class Seen(Struct, frozen=True, array_like=True):
    """Task counts of one request class, zone, interval and version: tasks, and how many of them were served."""

    tasks: int
    served: int


class ClassTest:
    """The test of one request class: the evidence so far, and what would be expected by now if harm were present."""

    def __init__(self) -> None:
        self.evidence = self.expected_evidence = 0.0  # logarithms
        self.recent: deque[tuple[Seen, Seen]] = deque(maxlen=RATE_WINDOW)

    def add(self, new: Seen, old: Seen, terms: Terms) -> None:
        """Add the counts of one interval and zone; neither version is without tasks.

        The first counts bring no evidence: no earlier ones give the rates to test them with.
        """
        both = [(a, b) for a, b in self.recent if a.tasks and b.tasks]
        old_rate = _rate([b for _, b in both] or [old])
        new_rate = min(_rate([a for a, _ in both]), old_rate - terms.allowed) if both else old_rate - terms.allowed
        new_rate = max(new_rate, MIN_RATE)
        if both:
            self.evidence += _log_likelihood_ratio(new, old, new_rate, old_rate)
        harmed_rate = max(old_rate - terms.harm, MIN_RATE)
        mean_rate = (new.tasks * harmed_rate + old.tasks * old_rate) / (new.tasks + old.tasks)
        self.expected_evidence += new.tasks * relative_entropy(harmed_rate, mean_rate) + old.tasks * relative_entropy(
            old_rate, mean_rate
        )
        self.recent.append((new, old))


def _rate(counts: list[Seen]) -> float:
    """Estimate the rate with one pseudo-task of each outcome added, so that it is never 0 or 1."""
    rate = (sum(one.served for one in counts) + 1) / (sum(one.tasks for one in counts) + 2)
    return min(max(rate, MIN_RATE), MAX_RATE)


def _log_likelihood_ratio(new: Seen, old: Seen, new_rate: float, old_rate: float) -> float:
    """Return the log of the likelihood with these rates over that with their weighted mean for both versions."""
    mean_rate = (new.tasks * new_rate + old.tasks * old_rate) / (new.tasks + old.tasks)
    return sum(
        counts.served * log(rate / mean_rate) + (counts.tasks - counts.served) * log((1 - rate) / (1 - mean_rate))
        for counts, rate in ((new, new_rate), (old, old_rate))
    )


def relative_entropy(rate: float, other: float) -> float:
    """Return the mean evidence per task for `rate` against `other`, if `rate` is true (Kullback-Leibler divergence)."""
    return rate * log(rate / other) + (1 - rate) * log((1 - rate) / (1 - other))


class Comparison:
    """The tests of one release, by request class. `classes`: number of request classes that share alpha."""

    def __init__(self, terms: Terms, classes: int) -> None:
        self.terms, self.needed_evidence = terms, log(max(classes, 1) / terms.alpha)
        self.tests: dict[str, ClassTest] = {}

    def add(self, new: Mapping[tuple[str, int], Seen], old: Mapping[tuple[str, int], Seen]) -> None:
        """Add the counts of both versions in one interval, by class and zone; zones without both are left out."""
        for (name, zone), counts in sorted(new.items()):
            other = old.get((name, zone))
            if other is not None and counts.tasks and other.tasks:
                self.tests.setdefault(name, ClassTest()).add(counts, other, self.terms)

    def worse(self) -> list[str]:
        """Return the classes for which there is enough evidence that the new version serves them worse."""
        return [name for name, test in self.tests.items() if test.evidence >= self.needed_evidence]

    def harm_ruled_out(self) -> bool:
        """Whether harm would have been found by now in every class that has tasks, and none was."""
        return not self.worse() and all(
            test.expected_evidence >= HARM_EVIDENCE_FACTOR * self.needed_evidence for test in self.tests.values()
        )
