"""How much the checker of the control plane sees: faults planted in its rules, one at a time, against drawn trials.

    python benchmarks/control_mutants.py [--trials 20] [--only NAME]

Each trial is drawn from its number: gateways, leases, drift, losses, ways, restarts, stalls and a fault of a control
node or zone every few seconds for two minutes of simulated time. The first line is the code as it is: it must find
nothing. A line names the mutant, in how many trials something was found, and by which rules.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from tansykeel.cluster.view_agreement import LeaseTerms  # noqa: E402
from tansykeel.control.actions import SessionTerms  # noqa: E402
from tansykeel.control.budget_agent import BudgetAgent  # noqa: E402
from tansykeel.control.gateway_session import MICROSECONDS_PER_TICK, GatewaySession  # noqa: E402
from tansykeel.control.session_table import SessionTable  # noqa: E402
from tansykeel.emulator.control_simulation import ControlSimulation  # noqa: E402
from tansykeel.emulator.control_trial import SECOND, ControlFault, ControlTrial, FaultKind  # noqa: E402

TRIAL_S = 120
LAST_FAULT_S = 110.0


def drawn_faults(chance: Random) -> tuple[ControlFault, ...]:
    """Return faults of every kind, some while others last."""
    faults = []
    at_s = 2.0
    while at_s < LAST_FAULT_S:
        kind = chance.choice(list(FaultKind))
        lasts_s = chance.choice([0.05, 0.3, 1, 3, 8, 20])
        faults.append(ControlFault(kind, at_s, lasts_s, region=chance.randrange(2), zone=chance.randrange(5)))
        at_s += chance.uniform(0.5, 12)
    return tuple(faults)


def drawn_trial(number: int) -> ControlTrial:
    """Return the trial of this number."""
    chance = Random(number)
    faults = drawn_faults(chance)
    lease_s = chance.choice([1, 3, 6])
    drift = chance.choice([0.01, 0.05, 0.1])
    loss = chance.choice([0, 0.01, 0.1])
    return ControlTrial(
        gateways=chance.choice([6, 12, 30]),
        seconds=TRIAL_S,
        settle_s=10 + 2 * lease_s,
        seed=number,
        restarts=chance.choice([0, 30, 100]),
        stalls=chance.choice([0, 20]),
        loss=loss,
        lost_between_nodes=loss,
        way_ms=chance.choice([1, 20, 100]),
        faults=faults,
        terms=SessionTerms(lease_s * SECOND, min(SECOND, lease_s * SECOND // 3), drift, 100.0),
    )


@dataclass(frozen=True)
class Mutant:
    """One method that is replaced while its trials are played."""

    name: str
    owner: type
    method: str
    instead: Callable[..., Any]

    @contextmanager
    def planted(self) -> Iterator[None]:
        """Plant it for a while."""
        real = self.owner.__dict__[self.method]
        setattr(self.owner, self.method, self.instead)
        try:
            yield
        finally:
            setattr(self.owner, self.method, real)


_follow_view, _release, _apply_renewal = BudgetAgent._follow_view, BudgetAgent._release, GatewaySession.apply_renewal


def keeps_its_term(self: BudgetAgent, now: int, view: Any) -> bool:
    """Go on with the record of before, whatever view was followed."""
    first, term, record, pending = self.view is None, self.term, self.record, self.pending
    if not _follow_view(self, now, view) or first:
        return first
    self.term, self.record, self.pending, self.registering = term, record, pending, True
    return False


def acknowledges_all(self: SessionTable, session: Any, lease: int) -> bool:
    """Take the acknowledged lease itself for over too."""
    if lease > session.acknowledged:
        session.acknowledged = lease
        self._remove_grants(session.gateway_incarnation, lambda grant: True)
    return True


def counts_from_receipt(self: GatewaySession, now: int, renewal: Any) -> Any:
    """Count a lease from when it came in, not from when it was asked for."""
    return replace(_apply_renewal(self, now, renewal), until=now + renewal.valid_for // MICROSECONDS_PER_TICK)


def reclaims_early(self: BudgetAgent, now: int) -> bool:
    """Reclaim also in a view that is not active."""
    replicated_log = self.member.replicated_log
    return replicated_log is not None and replicated_log.leads


MUTANTS = (
    Mutant("outstanding without drift", SessionTable, "outstanding_duration", lambda self, valid_for: valid_for),
    Mutant("acknowledged lease taken for over", SessionTable, "acknowledge", acknowledges_all),
    Mutant("no new term", BudgetAgent, "_follow_view", keeps_its_term),
    Mutant("grants what it released", BudgetAgent, "budget", lambda self: self.record.units if self.record else 0),
    Mutant(
        "releases what is outstanding",
        BudgetAgent,
        "_release",
        lambda self, now, record, outstanding: _release(self, now, record, 0),
    ),
    Mutant("reclaims in a view that is not active", BudgetAgent, "may_reclaim", reclaims_early),
    Mutant(
        "registers in a view that is not active",
        BudgetAgent,
        "may_register",
        lambda self, now: self.member.agreement.leased(now) and now >= self.register_from,
    ),
    Mutant(
        "its own lease bounds no lease it grants",
        BudgetAgent,
        "remaining_lease",
        lambda self, now: self.terms.lease if self.lease_end > now else 0,
    ),
    Mutant("a grant between nodes binds nobody", LeaseTerms, "granter_duration", lambda self: 1),
    Mutant("gateway counts from receipt", GatewaySession, "apply_renewal", counts_from_receipt),
)


def line(name: str, trials: int) -> str:
    """Play the trials with whatever is planted now."""
    found = observed = 0
    rules = Counter[str]()
    for number in range(trials):
        seen = ControlSimulation(drawn_trial(number)).play()
        found += bool(seen.findings)
        observed += seen.observed
        rules.update({finding.split(":")[0] for finding in seen.findings})
    named = ", ".join(f"{rule} in {count}" for rule, count in rules.most_common())
    return f"{name:<42} {found:>3} of {trials} trials, {observed:>9,} records  {named}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--only", default="", help="the name of one mutant; 'none' plays the code as it is alone")
    given = parser.parse_args()
    if given.only in ("", "none"):
        print(line("the code as it is", given.trials), flush=True)
    for mutant in MUTANTS:
        if given.only in ("", mutant.name):
            with mutant.planted():
                print(line(mutant.name, given.trials), flush=True)


if __name__ == "__main__":
    main()
