"""Gateways that are broken on purpose, one for each rule: `broken_edge.py FAULT SETTINGS …`"""

from __future__ import annotations

import argparse
import json
from dataclasses import replace
from pathlib import Path

from tansykeel.brain import Scheduler
from tansykeel.cli.logs import set_up
from tansykeel.cli.records import allotment_recorder
from tansykeel.cluster.member import ClusterMember
from tansykeel.cluster.membership import SAFE
from tansykeel.edge.core import Core
from tansykeel.edge.program import Edge
from tansykeel.settings.build import facts_of, load
from tansykeel.transport.leash import leash
from tansykeel.transport.sockets import run


def answers_twice(facts):
    def twice(self, held, answer, body, sent, once=Edge.answer):
        once(self, held, answer, body, sent)
        if held.id % 20 == 0 and not body:
            once(self, held, answer, body, lambda: None)

    Edge.answer = twice
    return facts


def sends_one_shots_again(facts):
    def again(self, task):
        return task.hand_offs < self.config.allowed.hand_offs and self.runtime.now < task.deadline

    Scheduler.may_hand_off = again
    Scheduler.may_go_to = lambda self, task, store: True
    return facts


def hears_of_no_drain(facts):
    def listed(self, now, update, heard=Core.listed):
        import msgspec

        rows = tuple(msgspec.structs.replace(row, state="ready") for row in update.rows)
        heard(self, now, msgspec.structs.replace(update, rows=rows))

    Core.listed = listed
    return facts


def knows_no_cold_store(facts):
    return replace(facts, slow_start=None)


def keeps_no_order(facts):
    return replace(facts, categories=tuple(replace(c, ordered=False) for c in facts.categories))


def has_no_budget(facts):
    return replace(facts, retry_budget=None)


def knows_no_limit(facts):
    return replace(facts, plans=tuple(replace(p, limit=0.0) for p in facts.plans))


def counts_without_leases(facts):
    """By a view as soon as it is heard of, for good."""
    ClusterMember.counts = lambda self, now: (
        self.agreement.number,
        SAFE / len(self.places) + (self.agreement.view.part(self.me) if self.agreement.view else 0),
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
    told = options.parse_args()
    set_up("json")
    made = load(told.settings)
    facts = globals()[told.fault](facts_of(made, told.number, told.count))

    async def serve():
        edge = Edge(made, facts, told.seed, counted=allotment_recorder(told.record) if told.record else None)
        leash(edge.stopping.set)
        await edge.serve(lambda port: print(json.dumps({"port": port}), flush=True))

    run(serve)


if __name__ == "__main__":
    main()
