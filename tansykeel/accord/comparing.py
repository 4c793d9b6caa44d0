"""Whether the new version serves worse than the old one, while it goes on: a test that may be looked at at any time.

For each class a betting process after Waudby-Smith and Ramdas ("Estimating means of bounded random variables by
betting", JRSS B 2024): its capital against "the new ones serve no worse than the old ones by more than `allowed`"
passes 1/alpha with a chance of alpha at most if that is so, whenever it is looked at (Ville's inequality). Each sample
pairs one stretch of time of one zone: what the old ones served of a class there less what the new ones did. What is
common to both (a bad store, a surge) falls out by the pairing. Changed: the bet is a fixed few, averaged, not tuned as
it goes; classes share alpha evenly, so one that alone is worse shows too. Without I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

BETS = (0.1, 0.3, 0.6)  # parts of the most that may be bet; their mean is a capital too
MOST_CAPITAL = 1e12


class Terms(Struct, frozen=True):
    """`allowed`: part of what is served by which the new ones may be worse. `alpha`: chance of a halt for nothing.
    `least`: tasks of each side in a stretch for it to count. `enough`: samples after which no worse is taken for so."""

    allowed: float = 0.02
    alpha: float = 0.005
    least: int = 5
    enough: int = 20


class Seen(Struct, frozen=True):
    """Of one class in one zone and stretch of time, by those that are new or old: tasks, and how many were served."""

    tasks: int
    served: int


class Comparison:
    """One wave's. `put` for each stretch; `worse` names the classes that are told to be."""

    def __init__(self, terms: Terms, classes: int) -> None:
        self.terms, self.classes = terms, max(classes, 1)
        self.capital: dict[str, list[float]] = {}
        self.samples: dict[str, int] = {}

    def put(self, new: Mapping[tuple[str, int], Seen], old: Mapping[tuple[str, int], Seen]) -> None:
        """By class and zone, what each side did in the same stretch of time."""
        for (name, zone), seen in sorted(new.items()):
            other = old.get((name, zone))
            if other is None or seen.tasks < self.terms.least or other.tasks < self.terms.least:
                continue
            worse = other.served / other.tasks - seen.served / seen.tasks
            capital = self.capital.setdefault(name, [1.0] * len(BETS))
            # A sample lies in -1 to 1 and is allowed `allowed` in the mean: a stake of b/(1 + allowed) never loses all.
            for at, bet in enumerate(BETS):
                stake = bet / (1 + self.terms.allowed)
                capital[at] = min(capital[at] * (1 + stake * (worse - self.terms.allowed)), MOST_CAPITAL)
            self.samples[name] = self.samples.get(name, 0) + 1

    def worse(self) -> list[str]:
        """Classes of which it is told that the new ones serve them worse, with a chance of alpha to be wrong in all."""
        needed = self.classes / self.terms.alpha
        return [name for name, capital in self.capital.items() if sum(capital) / len(capital) >= needed]

    def settled(self) -> bool:
        """Whether every class that has tasks was compared for long enough, and none is told to be worse."""
        return bool(self.samples) and not self.worse() and all(
            count >= self.terms.enough for count in self.samples.values())
