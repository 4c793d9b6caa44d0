"""The audit's judgement on small made-up days: what breaks a rule is found, what comes near is not."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tansykeel.audit.join import join
from tansykeel.audit.records import (
    Arrived,
    Ended,
    Fell,
    Gave,
    Got,
    Killed,
    Lagged,
    Listed,
    Ran,
    Recorder,
    Sent,
    Stood,
    Told,
    Up,
    read,
)
from tansykeel.audit.report import answer_of, quantiles, worst
from tansykeel.audit.rules import RULES, Law
from tansykeel.audit.service import count
from tansykeel.interface import (
    AllowedActions,
    Category,
    DeduplicationScope,
    Plan,
    RepeatSafety,
    RetryBudgetRule,
    SchedulerConfig,
    SlowStartRule,
    StoreListRule,
    TaskSizes,
)
from tansykeel.settings.shape import Shape

S = 1_000_000
READ = Category("read", 3_000, 20_000, 1.0, 0.1, RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, False, False, 0.0)
POST = replace(READ, name="post", repeat=RepeatSafety.AT_MOST_ONCE, ordered=True)
PAY = replace(READ, name="pay", repeat=RepeatSafety.DEDUPLICATED, scope=DeduplicationScope.SHARD, window=50_000)
PLAN = Plan("basic", 10.0, 2.0, 1.0, 1.0, 5.0, 20.0, 1.0)
SHAPE = Shape(cores=1, unit_ms=10.0, cold_share=0.1, cold_s=10, fall_multiple=2.0, fall_s=1.0)
LAW = Law(
    SchedulerConfig(
        2,
        0,
        0,
        (READ, POST, PAY),
        (PLAN,),
        TaskSizes(4.0, 1.0),
        AllowedActions(3, True, 0, False, True, False),
        StoreListRule(False, 0, 5_000),
        500,
        SlowStartRule(0.1, 100_000, 2.0, 10_000, 20.0),
        RetryBudgetRule(10_000, 1, 0.1),
        2_000,
        (),
    ),
    SHAPE,
    {"v": PLAN},
)


def sent(task, at=10 * S, category="read", key=0, edge="e0", patience=2 * S, mark=None, units=1.0, tries=0):
    return Sent(at, task, mark or task, tries, "c", edge, "v", category, key, units, 0, patience)


def got(task, at, result=0, wrong=False):
    return Got(at, task, result, 0, wrong, "")


def came(task, at, number=0, store="s0", edge="e0", key=0, units=1.0, boot=1):
    return Arrived(at, store, boot, edge, task, number, "v", key, units)


def told(task, at, how="delivered", number=0, store="s0"):
    return Told(at, store, task, number, how)


def broken(*records):
    passed = join(list(records))
    return {name for name, rule in RULES.items() if any(rule(passed, LAW))}


WELL = [sent(1), came(1, 10 * S + 100), told(1, 10 * S + 200), got(1, 10 * S + 300)]
DRAINING = Listed(5 * S, "e0", False, (("s0", "draining", 1),))
UP = Up(9 * S, "s0", 1, 0, 0, True, 100.0)


@pytest.mark.parametrize(
    "rule, records",
    [
        (None, WELL),
        ("one_answer", [*WELL, got(1, 11 * S)]),
        ("one_answer", [*WELL[:3], got(1, 10 * S + 300, wrong=True)]),
        ("one_answer", [sent(1)]),
        ("one_answer", [sent(1), Gave(12 * S, 1, "patience")]),
        ("one_answer", [sent(1), Gave(11 * S, 1, "edge lost")]),
        (None, [sent(1), Killed(11 * S, "e0"), Gave(11 * S + 100, 1, "edge lost")]),
        (None, [sent(1), Gave(10 * S + 20, 1, "vanished")]),
        ("one_answer", [sent(1), got(1, 12 * S + 200_000)]),
        (None, [sent(1), got(1, 12 * S + 200_000), Lagged(12 * S, "c", 12 * S + 190_000)]),
        ("one_answer", [sent(1), got(1, 12 * S + 200_000), Lagged(12 * S, "c", 12 * S + 120_000)]),
        (None, [sent(1), Gave(12 * S, 1, "patience"), Stood(11 * S, "e0", 13 * S)]),
        ("one_answer", [sent(1), Gave(12 * S, 1, "patience"), Stood(10 * S, "e0", 11 * S)]),
        ("one_answer", [*WELL, came(1, 11 * S, 1), told(1, 11 * S + 10, number=1)]),
        ("one_answer", [*WELL, came(99, 10 * S), told(99, 10 * S + 10)]),
        (None, [sent(1, edge=""), Gave(10 * S, 1, "no edge")]),
        (
            "no_effect_twice",
            [
                sent(1, category="post"),
                came(1, 10 * S),
                told(1, 10 * S + 9, "error"),
                came(1, 10 * S + 20, 1),
                told(1, 10 * S + 30, number=1),
                got(1, 10 * S + 40),
            ],
        ),
        (
            None,
            [
                sent(1, category="post"),
                came(1, 10 * S),
                told(1, 10 * S + 9, "full"),
                sent(2, at=8 * S),
                sent(3, at=9 * S + S // 2),
                came(1, 10 * S + 20, 1),
                told(1, 10 * S + 30, number=1),
                got(1, 10 * S + 40),
                got(2, 8 * S),
                got(3, 10 * S),
            ],
        ),
        (
            "no_effect_twice",
            [sent(1, category="post"), came(1, 10 * S), told(1, 10 * S + 9, "error"), got(1, 10 * S + 40, 1)],
        ),
        (
            "no_effect_twice",
            [
                sent(1, category="pay", mark=7),
                came(1, 10 * S),
                Ran(10 * S + 5, "s0", 1, 0, 7, True),
                told(1, 10 * S + 9),
                got(1, 10 * S + 10),
                sent(2, 11 * S, "pay", mark=7, tries=1),
                came(2, 11 * S + 5),
                Ran(11 * S + 9, "s0", 2, 0, 7, True),
                told(2, 11 * S + 10),
                got(2, 11 * S + 20),
            ],
        ),
        ("drains", [DRAINING, *WELL]),
        (None, [Listed(10 * S - 200_000, "e0", False, (("s0", "draining", 1),)), *WELL]),
        (None, [DRAINING, Listed(6 * S, "e0", False, (("s0", "ready", 2),)), *WELL]),
        (None, [Listed(5 * S, "e1", False, (("s0", "gone", 1),)), *WELL]),
        (
            "drains",
            [
                Listed(4 * S, "e0", True, (("s0", "ready", 1), ("s1", "ready", 1))),
                Listed(5 * S, "e0", True, (("s1", "ready", 1),)),
                *WELL,
            ],
        ),
        (None, [DRAINING, Stood(4 * S, "e0", 10 * S), *WELL]),
        (
            "cold_stores limits",
            [UP, sent(1, units=60.0), came(1, 10 * S, units=60.0), told(1, 10 * S + 9), got(1, 10 * S + 10)],
        ),
        ("cold_stores", [Fell(10 * S, "s0"), *WELL]),
        (
            "order",
            [
                sent(1, category="post", key=5),
                sent(2, 10 * S + 5, "post", 5),
                came(1, 10 * S + 9, key=5),
                came(2, 10 * S + 19, key=5),
                told(1, 10 * S + 30),
                told(2, 10 * S + 40),
                got(1, 10 * S + 50),
                got(2, 10 * S + 50),
            ],
        ),
        (
            "order",
            [
                sent(1, category="post", key=5),
                sent(2, 10 * S + 200_000, "post", 5),
                came(2, 10 * S + 300_000, key=5),
                told(2, 10 * S + 300_009),
                came(1, 10 * S + 400_000, key=5),
                told(1, 10 * S + 400_009),
                got(1, 10 * S + 500_000),
                got(2, 10 * S + 500_000),
            ],
        ),
        (
            "order",
            [
                sent(1, category="post", key=5),
                came(1, 10 * S + 9, key=5),
                Ended(10 * S + 100, "s0", 1, 0),
                told(1, 10 * S + 100, "cancelled"),
                got(1, 10 * S + 100, 2),
                sent(2, 10 * S + 100_000, "post", 5),
                came(2, 10 * S + 110_000, key=5),
                told(2, 10 * S + 110_009),
                got(2, 10 * S + 111_000),
            ],
        ),
        (
            "budget",
            [
                sent(1),
                *(r for n in range(3) for r in (came(1, 10 * S + n * 9, n), told(1, 10 * S + n * 9 + 1, "error", n))),
                got(1, 10 * S + 90, 1),
            ],
        ),
        (
            "limits",
            [
                r
                for n in range(1, 26)
                for r in (sent(n), came(n, 10 * S + n), told(n, 10 * S + n + 1), got(n, 10 * S + n + 2))
            ],
        ),
        (
            None,
            [
                r
                for n in range(1, 21)
                for r in (sent(n), came(n, 10 * S + n), told(n, 10 * S + n + 1), got(n, 10 * S + n + 2))
            ],
        ),
    ],
)
def test_what_breaks_a_rule_is_found_and_what_comes_near_is_not(rule, records):
    assert broken(*records) == set((rule or "").split())


def test_tasks_that_came_while_a_gateway_stood_count_as_taken_when_it_goes_on():
    waited = [r for n in range(2, 12) for r in (sent(n, at=8 * S + n), got(n, 10 * S + 50, 1))]
    further = [sent(1), got(1, 10 * S + 90, 1)]
    further += [r for n in range(3) for r in (came(1, 10 * S + n * 9, n), told(1, 10 * S + n * 9 + 1, "error", n))]
    assert broken(*waited, *further) == {"budget"}
    assert broken(*waited, *further, Stood(7 * S, "e0", 10 * S)) == set()


def test_each_task_counts_once_by_what_became_of_it():
    passed = join(
        [
            *WELL,
            sent(2),
            got(2, 11 * S, 1),
            sent(3),
            got(3, 11 * S, 2),
            sent(4),
            Gave(11 * S, 4, "vanished"),
            sent(5),
            Gave(11 * S, 5, "edge lost"),
        ]
    )
    assert [answer_of(passed.tasks[n]) for n in range(1, 6)] == [
        "delivered",
        "nacked",
        "broken_off",
        "client_left",
        "edge_killed",
    ]


def service(*records):
    return count(join(list(records)), LAW, 0.5, 0.1, {0: 10.0})


def test_service_counts_the_reserve_in_full_and_what_lies_beyond_for_less():
    """The reserve holds 2 a second and a largest task of 4: six units in full; a node of 10 has 7 to share."""
    in_time = [r for n in range(1, 7) for r in (sent(n), got(n, 10 * S + 10))]
    assert service(*in_time).whole == 1.0
    nacked = [r for n in range(7, 9) for r in (sent(n), got(n, 10 * S + 10, 1))]
    assert service(*in_time, *nacked).whole == pytest.approx(6 / (6 + 2 * 0.5))
    late = [r for n in range(1, 7) for r in (sent(n), got(n, 10 * S + S))]
    assert service(*late).whole == pytest.approx(0.1)


def test_a_further_try_belongs_to_its_first():
    again = [sent(1), got(1, 10 * S + 100, 1), sent(2, 10 * S + 200_000, mark=1, tries=1)]
    assert service(*again, got(2, 10 * S + 290_000)).whole == 1.0
    assert service(*again, got(2, 10 * S + 310_000)).whole == pytest.approx(0.1)


def test_what_is_asked_past_a_limit_is_not_due():
    asked = [r for n in range(1, 31) for r in (sent(n), got(n, 10 * S + 10, 0 if n <= 20 else 1))]
    assert service(*asked).whole == 1.0


def test_the_worst_seconds_and_the_quantiles():
    assert worst({0: (1.0, 1.0), 1: (0.0, 1.0), 2: (1.0, 1.0)}, 2) == pytest.approx(0.5)
    assert quantiles([1000] * 99 + [50_000])["p50"] == 1.0 and quantiles([]) == {}
    assert quantiles([1000, 50_000])["max"] == 50.0


def test_a_record_cut_off_by_a_kill_is_left_out_and_one_that_is_none_named(tmp_path):
    path = tmp_path / "a.rec"
    recorder = Recorder(path)
    for record in WELL:
        recorder.add(record)
    recorder.close()
    assert list(read(path)) == WELL
    path.write_bytes(path.read_bytes()[:-3])
    assert list(read(path)) == WELL[:-1]
    path.write_bytes(b"\xff" * 40)
    with pytest.raises(ValueError, match="a.rec: at byte 0: a record of"):
        list(read(path))
