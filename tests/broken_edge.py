"""Runs a gateway with a planted fault that breaks one rule of the audit: `broken_edge.py FAULT SETTINGS …`

The functions up to `main` are the faults. Each plants itself and returns the facts for the gateway.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import replace
from pathlib import Path

from tansykeel.brain import Scheduler
from tansykeel.cli.logs import set_up
from tansykeel.cli.records import allotment_recorder
from tansykeel.cluster.member import ClusterMember
from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.edge.core import Core
from tansykeel.edge.program import Edge
from tansykeel.settings.build import facts_of, load
from tansykeel.transport.leash import leash
from tansykeel.transport.sockets import run


def answers_twice(facts):
    """Every twentieth task id gets a second final answer, if the answer has no body."""

    def answer_twice(self, held, final, body, sent, answer=Edge.answer):
        answer(self, held, final, body, sent)
        if held.id % 20 == 0 and not body:
            answer(self, held, final, body, lambda: None)

    Edge.answer = answer_twice
    return facts


def sends_one_shots_again(facts):
    """Any task is sent again, also a one-shot one that may have run."""

    def may_hand_off(self, task):
        return task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline

    Scheduler.may_hand_off = may_hand_off
    Scheduler.may_go_to = lambda self, task, store: True
    return facts


def hears_of_no_drain(facts):
    """Every store of the list counts as ready."""

    def apply_as_ready(self, now, update, apply=Core.apply_list_update):
        import msgspec

        rows = tuple(msgspec.structs.replace(row, state="ready") for row in update.rows)
        apply(self, now, msgspec.structs.replace(update, rows=rows))

    Core.apply_list_update = apply_as_ready
    return facts


def knows_no_cold_store(facts):
    """Restarted stores get as much as warm ones."""
    return replace(facts, slow_start=None)


def keeps_no_order(facts):
    """Ordered categories are treated as unordered ones."""
    return replace(facts, categories=tuple(replace(c, ordered=False) for c in facts.categories))


def has_no_budget(facts):
    """Hand-offs beyond the first are not limited by the budget."""
    return replace(facts, retry_budget=None)


def knows_no_limit(facts):
    """The volumes' limits are ignored."""
    return replace(facts, plans=tuple(replace(p, limit=0.0) for p in facts.plans))


def counts_without_leases(facts):
    """The gateway counts its part of a view as soon as it knows the view, without a lease and for good."""
    ClusterMember.counts = lambda self, now: (
        self.agreement.number,
        SAFE_FRACTION / len(self.placements) + (self.agreement.view.part(self.me) if self.agreement.view else 0),
        now + 10**6,
    )
    return facts


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("fault")
    options.add_argument("settings", type=Path)
    for name in ("--number", "--count", "--seed"):
        options.add_argument(name, type=int)
    options.add_argument("--leashed", action="store_true")
    options.add_argument("--record", type=Path)
    arguments = options.parse_args()
    set_up("json")
    settings = load(arguments.settings)
    facts = globals()[arguments.fault](facts_of(settings, arguments.number, arguments.count))

    async def serve():
        edge = Edge(
            settings,
            facts,
            arguments.seed,
            allotment_observer=allotment_recorder(arguments.record) if arguments.record else None,
        )
        leash(edge.stopping.set)
        await edge.serve(lambda port: print(json.dumps({"port": port}), flush=True))

    run(serve)


if __name__ == "__main__":
    main()
