"""The seven rules, judged from what clients and stores wrote down. An edge is believed in nothing.

Each rule is one function from what passed to the breaks found. `SLACK` covers the way of a message between two
processes of one machine; it is given to the edge, for its own clock is not asked.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tansykeel.audit.join import READY, HandOff, Passed, TaskSeen
from tansykeel.audit.records import Up
from tansykeel.interface import Category, DeduplicationScope, Plan, RepeatSafety, SchedulerConfig
from tansykeel.settings.shape import Shape, borne

SLACK = 250_000  # microseconds
TENTH = 100
NACKED = 1
SECOND = 1_000_000


class Break(NamedTuple):
    rule: str
    what: str
    task: int = 0


class Law(NamedTuple):
    """What the rules' figures are on this day."""

    facts: SchedulerConfig
    shape: Shape
    plan_of: dict[str, Plan]  # by volume

    def category(self, name: str) -> Category:
        return next(c for c in self.facts.categories if c.name == name)


def one_answer(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 1: exactly one final answer in time, nothing sent after it, and it says what is so."""
    rule, grace = "one_answer", law.facts.answer_grace * TENTH
    for record in passed.invented:
        yield Break(rule, f"{record.store} got a task from {record.edge} that no client sent", record.task)
    for task, seen in passed.tasks.items():
        sent, edge = seen.sent, seen.sent.edge
        if not edge:
            continue  # never sent: no edge could be reached
        if len(seen.got) > 1:
            yield Break(rule, f"{edge} answered {len(seen.got)} times", task)
        if any(got.wrong for got in seen.got):
            yield Break(rule, f"{edge} delivered bytes that nobody wrote", task)
        due = sent.at + sent.patience + grace
        limit = due + SLACK // 5
        late = seen.got and seen.got[0].at > limit and not passed.client_stood(sent.client, limit, seen.got[0].at)
        if not seen.got or late:
            why = seen.gave.why if seen.gave else "nothing"
            if why == "vanished" or passed.stood_at(edge, due, SLACK):
                continue
            if why == "edge lost" and seen.gave and was_killed(passed, edge, sent.at, seen.gave.at):
                continue
            yield Break(rule, f"no answer of {edge} in time: {'late' if late else why}", task)
        if seen.over is not None:
            for hand_off in seen.hand_offs:
                if hand_off.at > seen.over + SLACK and not passed.stood_at(edge, seen.over, SLACK):
                    after = (hand_off.at - seen.over) / 1000
                    yield Break(rule, f"{edge} sent it to {hand_off.store} {after:.0f} ms after its end", task)


def was_killed(passed: Passed, edge: str, after: int, before: int) -> bool:
    return any(after - SLACK <= at <= before for at in passed.killed.get(edge, []))


def no_effect_twice(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 2: by the mark of a piece of work, over all its tries and all stores."""
    rule = "no_effect_twice"
    effects: dict[int, int] = defaultdict(int)
    for task, seen in passed.tasks.items():
        category = law.category(seen.sent.category)
        if category.repeat is RepeatSafety.IDEMPOTENT:
            continue
        effects[seen.sent.mark] += sum(h.effect for h in seen.hand_offs)
        may_have_run = [h for h in seen.hand_offs if not h.never_ran]
        if category.repeat is RepeatSafety.AT_MOST_ONCE:
            for hand_off in seen.hand_offs:
                if any(other.at < hand_off.at and other.number < hand_off.number for other in may_have_run):
                    yield Break(rule, f"{hand_off.edge} sent a one-shot task again that may have run", task)
        sure = category.repeat is RepeatSafety.DEDUPLICATED and category.scope is DeduplicationScope.ALL
        if may_have_run and not sure and any(got.result == NACKED for got in seen.got):
            yield Break(rule, f"{seen.sent.edge} nacked a task that may have run", task)
    for mark, count in effects.items():
        if count > 1:
            yield Break(rule, f"the work with mark {mark} took effect {count} times")


def drains(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 3: nothing new to a store later than the grace after this edge was told that it drains or is gone."""
    grace = law.facts.listing.drain_grace * TENTH
    by_edge: dict[str, list[HandOff]] = defaultdict(list)
    for hand_off in passed.hand_offs:
        by_edge[hand_off.edge].append(hand_off)
    for edge, sent in by_edge.items():
        told = told_of(passed, edge)
        for hand_off in sent:
            since = next((start for start, end in told.get(hand_off.store, []) if start < hand_off.at < end), None)
            if since is not None and hand_off.at > since + grace + SLACK / 5:
                after = (hand_off.at - since) / 1000
                yield Break(
                    "drains",
                    f"{edge} sent to {hand_off.store} {after:.0f} ms after it was told that it drains or is gone",
                    hand_off.task,
                )


def told_of(passed: Passed, edge: str) -> dict[str, list[tuple[int, int]]]:
    """For each store the spans in which this edge knew it as draining or gone. A process that stood when the news
    came heard it when it went on; one that was killed knows nothing any more."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    known: set[str] = set()
    news: list[tuple[int, dict[str, str] | None, bool]] = [(at, None, False) for at in passed.killed.get(edge, [])]
    for listed in passed.listed.get(edge, []):
        stood = passed.stood_at(edge, listed.at, 0)
        at = stood.until if stood else listed.at
        news.append((at, {name: state for name, state, _ in listed.rows}, listed.full))
    for at, rows, full in sorted(news, key=lambda n: n[0]):
        states = dict(rows or {})
        if rows is None or full:
            states |= {name: "gone" if rows is not None else READY for name in known - set(states)}
        known |= set(states)
        for name, state in states.items():
            if state != READY:
                since.setdefault(name, at)
            elif name in since:
                spans[name].append((since.pop(name), at))
    for name, start in since.items():
        spans[name].append((start, 1 << 62))
    return spans


def cold_stores(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 4: all edges together stay within what a cold store bears, in every window of the stated time."""
    for fell in passed.fells:
        yield Break("cold_stores", f"{fell.store} fell over")
    for up, most, at in cold_margins(passed, law):
        if most > 1.0:
            yield Break(
                "cold_stores",
                f"{up.store} was sent {most:.2f} times what it bears, {(at - up.at) / 1000:.0f} ms after its start",
            )


def cold_margins(passed: Passed, law: Law) -> Iterator[tuple[Up, float, int]]:
    """For each cold start the most that was sent in a window, as a part of what is borne, and when."""
    cold = law.facts.slow_start
    if cold is None:
        return
    span, shape = cold.span * TENTH, law.shape
    for up in passed.ups:
        if not up.cold:
            continue
        sent = [(h.at, h.units) for h in passed.hand_offs if h.store == up.store and h.boot == up.boot]
        worst, when, total, first = 0.0, up.at, 0.0, 0
        for at, units in sent:
            total += units
            while sent[first][0] <= at - span:
                total -= sent[first][1]
                first += 1
            age = max((at - span - up.at) / 1000, 0.0)
            if age > shape.cold_s * 1000:
                break
            bearable = borne(shape, age, age + span / 1000, up.full_units)
            if total / bearable > worst:
                worst, when = total / bearable, at
        yield up, worst, when


def order(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 5: tasks of ordered categories with one key run one at a time, in the order in which an edge took them."""
    ordered = {c.name for c in law.facts.categories if c.ordered}
    rest = law.facts.key_rest * TENTH
    lines: dict[tuple[str, int], list[TaskSeen]] = defaultdict(list)
    for seen in passed.tasks.values():
        if seen.sent.category in ordered and seen.sent.edge and seen.sent.key:
            lines[seen.sent.edge, seen.sent.key].append(seen)
    for (edge, key), line in lines.items():
        line.sort(key=lambda seen: seen.sent.at)
        sent = sorted((h for seen in line for h in seen.hand_offs), key=lambda h: h.at)
        for index, hand_off in enumerate(sent):
            for other in sent[:index]:
                if other.task != hand_off.task and hand_off.at < free_again(other, rest):
                    yield Break(
                        "order",
                        f"{edge}, key {key}: sent while task {other.task} was out or its key had to rest",
                        hand_off.task,
                    )
        for earlier, later in zip(line, line[1:], strict=False):
            # Which of two was taken first can't be told from outside where they came close together.
            apart = later.sent.at - earlier.sent.at > SLACK / 5
            if apart and any(a.at < b.at - SLACK / 5 for a in later.hand_offs for b in earlier.hand_offs):
                yield Break(
                    "order",
                    f"{edge}, key {key}: sent before task {earlier.sent.task}, which came earlier",
                    later.sent.task,
                )


def free_again(hand_off: HandOff, rest: int) -> float:
    """From when on another task may go out on this one's key. An edge that let it go must have its key rest."""
    if hand_off.ended is not None and (hand_off.told is None or hand_off.ended <= hand_off.told):
        return hand_off.ended + rest - SLACK / 5
    return hand_off.told if hand_off.told is not None else float("inf")


def budget(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 6: further hand-offs of an edge in any window within the stated few and share of the tasks it took."""
    rule = law.facts.retry_budget
    if rule is None:
        return
    span, jitter = rule.span * TENTH, SLACK / 5
    taken: dict[str, list[int]] = defaultdict(list)
    for seen in passed.tasks.values():
        stood = passed.stood_at(seen.sent.edge, seen.sent.at, 0)  # what came meanwhile is taken when it goes on
        taken[seen.sent.edge].append(stood.until if stood else seen.sent.at)
    extras: dict[str, list[int]] = defaultdict(list)
    for hand_off in passed.hand_offs:
        if hand_off.number:
            extras[hand_off.edge].append(hand_off.at)
    for edge, times in extras.items():
        for at in times:
            made = sum(at - span + jitter < other <= at for other in times)
            tasks = sum(at - span - jitter < other <= at + jitter for other in taken[edge])
            if made > rule.free + rule.share * tasks:
                yield Break("budget", f"{edge} made {made} further hand-offs in {span / SECOND:g} s for {tasks} tasks")
                break


def limits(passed: Passed, law: Law) -> Iterator[Break]:
    """Rule 7: what all edges together sent first for a volume stays within its limit's store."""
    firsts: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for seen in passed.tasks.values():
        first = min(seen.hand_offs, key=lambda h: h.number, default=None)
        if first is not None and first.how != "moot":
            firsts[seen.sent.volume].append((first.at, first.units))
    for volume, sent in firsts.items():
        plan = law.plan_of[volume]
        if not plan.limit:
            continue
        level, last = plan.limit_depth, 0
        for at, units in sorted(sent):
            level = min(level + plan.limit * (at - last) / SECOND, plan.limit_depth) if last else level
            level, last = level - units, at
            if level < -plan.limit_slack - plan.limit * SLACK / 5 / SECOND - 1e-6:
                yield Break("limits", f"{volume} was sent {-level:.1f} units past its limit")
                break


RULES: dict[str, Callable[[Passed, Law], Iterator[Break]]] = {
    "one_answer": one_answer,
    "no_effect_twice": no_effect_twice,
    "drains": drains,
    "cold_stores": cold_stores,
    "order": order,
    "budget": budget,
    "limits": limits,
}
