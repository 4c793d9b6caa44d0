"""Admission of new sessions, and leases within a budget whatever the gateways acknowledge."""

from __future__ import annotations

import random

from tansykeel.control.actions import SessionTerms
from tansykeel.control.admission import MAX_RETRY_AFTER, SECOND, AdmissionLimiter
from tansykeel.control.session_table import MOST_GRANTS, SessionTable

TERMS = SessionTerms(lease=30_000, heartbeat=10_000, drift=0.01, admissions_per_second=100.0)
BUDGET = 900


def test_a_herd_is_admitted_at_the_rate_and_each_is_told_its_own_turn():
    admission = AdmissionLimiter(100.0, 0)
    answers = [admission.admit(0) for _ in range(150)]
    assert answers[:50] == [0] * 50
    turns = answers[50:]
    assert turns == sorted(set(turns)) and turns[0] >= SECOND // 100 and turns[-1] <= SECOND + SECOND // 20
    back = [admission.admit(turn) for turn in turns]
    assert back.count(0) == len(turns)  # whoever comes at its turn is accepted
    assert (admission.admitted, admission.rejected) == (150, 100)


def test_a_turn_is_never_further_off_than_the_longest_back_off():
    admission = AdmissionLimiter(1.0, 0)
    assert max(admission.admit(0) for _ in range(100)) == MAX_RETRY_AFTER
    assert admission.admit(MAX_RETRY_AFTER + SECOND) == 0


def table_of(*gateways):
    table = SessionTable(TERMS)
    return table, [table.open(0, number, (name, 1)) for number, name in enumerate(gateways)]


def test_a_gateway_that_joins_is_granted_what_others_gave_up_and_not_before():
    table, (first, second) = table_of("g0", "g1")
    assert [table.renew(0, one, BUDGET, BUDGET, 30_000) for one in (first, second)] == [450, 450]
    third = table.open(1, 9, ("g2", 1))
    assert table.renew(1, third, BUDGET, BUDGET, 30_000) == 0
    assert table.renew(2, first, BUDGET, BUDGET, 30_000) == 300
    assert table.renew(2, third, BUDGET, BUDGET, 30_000) == 0  # g0 may not have received its smaller lease
    assert table.acknowledge(first, first.lease)
    assert table.renew(3, third, BUDGET, BUDGET, 30_000) == 150
    assert table.outstanding(3) == BUDGET


def test_a_lease_is_outstanding_until_it_is_over_by_the_slowest_clock_or_given_back():
    table, (first, second) = table_of("g0", "g1")
    table.renew(0, first, BUDGET, BUDGET, 30_000)
    table.renew(0, second, BUDGET, BUDGET, 30_000)
    table.end(first)  # its connection was lost
    assert table.outstanding(30_500) == BUDGET
    assert table.outstanding_duration(30_000) == 30_607 and table.outstanding(30_608) == 0
    table.renew(40_000, second, BUDGET, BUDGET, 30_000)
    table.give_back(second)
    assert table.outstanding(40_000) == 0


def test_a_gateway_that_opens_another_session_goes_on_with_what_it_has():
    table, (first, second) = table_of("g0", "g1")
    assert [table.renew(0, one, BUDGET, BUDGET, 30_000) for one in (first, second)] == [450, 450]
    table.end(first)
    again = table.open(1, 5, ("g0", 1))
    assert table.renew(1, again, BUDGET, BUDGET, 30_000) == 450 and table.outstanding(1) == BUDGET
    restarted = table.open(2, 6, ("g9", 2))
    assert table.renew(2, restarted, BUDGET, BUDGET, 30_000) == 0


def test_a_lease_that_was_never_granted_is_not_acknowledged():
    table, (first, _) = table_of("g0", "g1")
    table.renew(0, first, BUDGET, BUDGET, 30_000)
    assert table.acknowledge(first, 1) and not table.acknowledge(first, 2)


def test_a_gateway_that_acknowledges_nothing_costs_bounded_memory():
    table, (first,) = table_of("g0")
    granted = [table.renew(now, first, BUDGET, BUDGET, 30_000) for now in range(100)]
    assert granted.count(BUDGET) == MOST_GRANTS and granted[-1] == 0
    assert table.renew(40_000, first, BUDGET, BUDGET, 30_000) == BUDGET  # the earlier ones are over


def test_whatever_gateways_do_the_sum_stays_within_the_budget_and_covers_what_they_count():
    chance = random.Random(3)
    table, now, budget = SessionTable(TERMS), 0, BUDGET
    counts: dict[str, tuple[int, int]] = {}  # by gateway: what it counts, and until when by the slowest clock
    received: dict[str, int] = {}
    for step in range(6_000):
        now += chance.randrange(4_000)
        name = f"g{chance.randrange(5)}"
        session = table.by_gateway.get(name)
        counts = {gateway: lease for gateway, lease in counts.items() if lease[1] > now}
        if session is None:
            table.open(now, step, (name, 1))
            received[name] = 0
        elif chance.random() < 0.05:
            table.end(session)
        elif chance.random() < 0.05:
            counts.pop(name, None)
            table.give_back(session)
            table.end(session)
        else:
            assert table.acknowledge(session, received[name])
            valid_for = chance.randrange(1, TERMS.lease)
            units = table.renew(now, session, budget, budget, valid_for)
            if chance.random() < 0.8:  # else the renewal is lost with a connection that breaks
                received[name] = session.lease
                counts[name] = units, now + table.outstanding_duration(valid_for)
            else:
                table.end(session)
        assert sum(units for units, _ in counts.values()) <= table.outstanding(now) <= budget
    assert len(table._holders) <= 5 and len(table._looks) <= 5
