"""The admission limiter, and the session table: its leases stay within the budget whatever gateways acknowledge."""

from __future__ import annotations

import random

from tansykeel.control.actions import SessionTerms
from tansykeel.control.admission import MAX_RETRY_AFTER, SECOND, AdmissionLimiter
from tansykeel.control.session_table import MAX_GRANTS, SessionTable

TERMS = SessionTerms(lease=30_000, heartbeat=10_000, drift=0.01, admissions_per_second=100.0)
BUDGET = 900


def test_burst_is_admitted_up_to_capacity_and_rejected_gateways_get_distinct_retry_times():
    admission = AdmissionLimiter(100.0, 0)
    answers = [admission.admit(0) for _ in range(150)]
    assert answers[:50] == [0] * 50
    retries = answers[50:]
    assert retries == sorted(set(retries)) and retries[0] >= SECOND // 100 and retries[-1] <= SECOND + SECOND // 20
    answers_to_retries = [admission.admit(retry_at) for retry_at in retries]
    assert answers_to_retries.count(0) == len(retries)
    assert (admission.admitted, admission.rejected) == (150, 100)


def test_retry_time_is_capped_at_max_retry_after():
    admission = AdmissionLimiter(1.0, 0)
    assert max(admission.admit(0) for _ in range(100)) == MAX_RETRY_AFTER
    assert admission.admit(MAX_RETRY_AFTER + SECOND) == 0


def table_of(*gateways):
    """Return a table with one open session for each gateway, and these sessions."""
    table = SessionTable(TERMS)
    return table, [table.open(0, number, (name, 1)) for number, name in enumerate(gateways)]


def test_new_gateway_is_granted_units_only_after_others_acknowledge_smaller_leases():
    table, (first, second) = table_of("g0", "g1")
    assert [table.renew(0, one, BUDGET, BUDGET, 30_000) for one in (first, second)] == [450, 450]
    third = table.open(1, 9, ("g2", 1))
    assert table.renew(1, third, BUDGET, BUDGET, 30_000) == 0
    assert table.renew(2, first, BUDGET, BUDGET, 30_000) == 300
    assert table.renew(2, third, BUDGET, BUDGET, 30_000) == 0  # g0 may not have received its smaller lease
    assert table.acknowledge(first, first.lease)
    assert table.renew(3, third, BUDGET, BUDGET, 30_000) == 150
    assert table.outstanding(3) == BUDGET


def test_lease_is_outstanding_until_it_expires_with_drift_or_is_released():
    table, (first, second) = table_of("g0", "g1")
    table.renew(0, first, BUDGET, BUDGET, 30_000)
    table.renew(0, second, BUDGET, BUDGET, 30_000)
    table.end(first)  # its connection was lost
    assert table.outstanding(30_500) == BUDGET
    assert table.outstanding_duration(30_000) == 30_607 and table.outstanding(30_608) == 0
    table.renew(40_000, second, BUDGET, BUDGET, 30_000)
    table.release_grants(second)
    assert table.outstanding(40_000) == 0


def test_new_session_of_the_same_incarnation_is_granted_the_same_units_at_once():
    table, (first, second) = table_of("g0", "g1")
    assert [table.renew(0, one, BUDGET, BUDGET, 30_000) for one in (first, second)] == [450, 450]
    table.end(first)
    again = table.open(1, 5, ("g0", 1))
    assert table.renew(1, again, BUDGET, BUDGET, 30_000) == 450 and table.outstanding(1) == BUDGET
    restarted = table.open(2, 6, ("g9", 2))
    assert table.renew(2, restarted, BUDGET, BUDGET, 30_000) == 0


def test_acknowledging_a_lease_that_was_never_granted_fails():
    table, (first, _) = table_of("g0", "g1")
    table.renew(0, first, BUDGET, BUDGET, 30_000)
    assert table.acknowledge(first, 1) and not table.acknowledge(first, 2)


def test_grants_of_a_gateway_that_acknowledges_nothing_are_bounded():
    table, (first,) = table_of("g0")
    granted = [table.renew(now, first, BUDGET, BUDGET, 30_000) for now in range(100)]
    assert granted.count(BUDGET) == MAX_GRANTS and granted[-1] == 0
    assert table.renew(40_000, first, BUDGET, BUDGET, 30_000) == BUDGET  # the earlier ones have expired


def test_outstanding_units_cover_gateways_and_stay_within_budget_for_random_events():
    rng = random.Random(3)
    table, now, budget = SessionTable(TERMS), 0, BUDGET
    # Units of each gateway's lease, and when it expires by the slowest clock.
    effective: dict[str, tuple[int, int]] = {}
    received: dict[str, int] = {}  # by gateway: the newest lease that it received
    for step in range(6_000):
        now += rng.randrange(4_000)
        name = f"g{rng.randrange(5)}"
        session = table.by_gateway.get(name)
        effective = {gateway: lease for gateway, lease in effective.items() if lease[1] > now}
        if session is None:
            table.open(now, step, (name, 1))
            received[name] = 0
        elif rng.random() < 0.05:
            table.end(session)
        elif rng.random() < 0.05:
            effective.pop(name, None)
            table.release_grants(session)
            table.end(session)
        else:
            assert table.acknowledge(session, received[name])
            valid_for = rng.randrange(1, TERMS.lease)
            units = table.renew(now, session, budget, budget, valid_for)
            if rng.random() < 0.8:  # otherwise the connection is lost with the renewal
                received[name] = session.lease
                effective[name] = units, now + table.outstanding_duration(valid_for)
            else:
                table.end(session)
        assert sum(units for units, _ in effective.values()) <= table.outstanding(now) <= budget
    assert len(table._holders) <= 5 and len(table._expiries) <= 5
