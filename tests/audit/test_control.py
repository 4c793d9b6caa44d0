"""The checker of the control plane: what is broken on purpose is found and named, what is kept is not."""

from dataclasses import replace

import pytest
from control_records import (
    FACTS,
    LEASE,
    MS,
    NODES,
    SECOND,
    UNITS,
    VIEW,
    between_nodes,
    claim,
    node_leases,
    renewal,
    session,
    session_close,
    to_gateway,
    to_node,
)

from tansykeel.audit.control import ControlChecker, check_folder
from tansykeel.audit.control_findings import ControlRule
from tansykeel.audit.records import FrameSeen, LeaseClaimed, Recorder, RecordsError
from tansykeel.cluster.membership import Decided, Form, LeaseRequest, View
from tansykeel.cluster.replicated_log import InstallSnapshot, LogAccept, LogAccepted, LogPromise
from tansykeel.protocol.frames import Heartbeat, LeaseRenewal, SessionAccepted

HALF = UNITS // 2
START = [*node_leases(1_000), *session(2_000, 0, 0), *session(2_000, 1, 1)]  # leases of nodes last until 3.001 s
ZERO = (0, 0, "")


def findings(records, facts=FACTS):
    checker = ControlChecker(facts)
    for record in sorted(records, key=lambda record: record.at):
        checker.observe(record)
    return checker.finish()


def rules(records, facts=FACTS):
    return {finding.rule for finding in findings(records, facts)}


def only(records, facts=FACTS):
    """The one finding there is."""
    (finding,) = findings(records, facts)
    return finding


def test_leases_within_the_whole_are_kept():
    """Two gateways in full; then one shrinks, says so, and only then the other grows; then one moves and closes."""
    records = [
        *START,
        *renewal(10_000, 0, 0, HALF),
        claim(10_400, 0, 0, HALF),
        *renewal(11_000, 1, 1, HALF),
        claim(11_400, 1, 1, HALF),
        *renewal(300_000, 0, 0, 1, lease=2, acknowledged=1),
        claim(300_400, 0, 0, 1, lease=2),
        to_node(400_000, 0, 0, Heartbeat(1, 4_000, 2)),
        *renewal(500_000, 1, 1, UNITS - 1, lease=2, acknowledged=1),
        claim(500_400, 1, 1, UNITS - 1, lease=2),
        *session(600_000, 0, 2),
        *renewal(700_000, 0, 2, 1),
        claim(700_400, 0, 2, 1),
        session_close(700_500, 0, 0),
        LeaseClaimed(800_000, "gateway-0", 10),
        session_close(800_100, 0, 2),
    ]
    assert findings(records) == []


def test_a_lease_that_ends_frees_its_units():
    records = [*START, *renewal(10_000, 0, 0, UNITS), claim(10_400, 0, 0, UNITS)]
    after = [*renewal(SECOND + 10_001, 1, 1, UNITS), claim(SECOND + 10_401, 1, 1, UNITS)]
    assert findings([*records, *after]) == []


@pytest.mark.parametrize("claimed", [True, False])
def test_a_sum_over_the_regions_units_is_named(claimed):
    """A node that ignores its budget: seen in what reached gateways, also where they claim nothing."""
    records = [*START, *renewal(10_000, 0, 0, HALF), *renewal(11_000, 1, 1, HALF + 1)]
    claims = [claim(10_400, 0, 0, HALF), claim(11_400, 1, 1, HALF + 1)]
    found = findings([*records, *(claims if claimed else [])])
    assert {finding.rule for finding in found} == {ControlRule.SUMS}
    assert len(found) == 1 + claimed
    assert found[0].who == "region north" and f"gateway-1 {HALF + 1}, gateway-0 {HALF}" in found[0].what
    assert [type(record) for record in found[0].records] == [FrameSeen, FrameSeen]


def test_units_of_another_incarnation_count_until_their_lease_ends():
    """A gateway that was killed and is back: what it had is not free yet."""
    records = [*START, *renewal(10_000, 0, 0, UNITS), *session(20_000, 0, 1, number=2, incarnation=11)]
    early = renewal(500_000, 0, 1, UNITS, number=2, incarnation=11)
    late = renewal(SECOND + 20_000, 0, 1, UNITS, number=2, incarnation=11)
    assert rules([*records, *early]) == {ControlRule.SUMS}
    assert findings([*records, *late]) == []


@pytest.mark.parametrize(("node", "broken"), [(0, set()), (2, {ControlRule.SUMS})])
def test_a_lease_without_units_takes_the_place_of_its_own_nodes_alone(node, broken):
    """A gateway that comes back to its node, or asks another one beside it, and is granted nothing there."""
    records = [
        *START,
        *renewal(10_000, 0, 0, UNITS),
        *session(20_000, 0, node, number=2),
        *renewal(30_000, 0, node, 0, number=2),
        *renewal(40_000, 1, 1, UNITS),
    ]
    assert rules(records) == broken


@pytest.mark.parametrize(("node", "broken"), [(0, {ControlRule.GATEWAY_LEASES}), (2, set())])
def test_a_lease_without_units_is_acknowledged_beside_another_nodes_alone(node, broken):
    """A gateway with two sessions is granted nothing in the newer one, and then something in the older one."""
    records = [
        *START,
        *session(3_000, 0, node, number=2),
        *renewal(10_000, 0, node, 0, number=2),
        *renewal(20_000, 0, 0, HALF),
        claim(20_400, 0, 0, HALF),
        to_node(30_000, 0, node, Heartbeat(2, 300, 1)),
    ]
    assert rules(records) == broken


def test_a_lease_of_an_older_session_counts_after_one_without_units_of_a_newer_one():
    records = [
        *START,
        *session(3_000, 0, 2, number=2),
        *renewal(10_000, 0, 2, 0, number=2),
        *renewal(20_000, 0, 0, UNITS),
        *renewal(30_000, 1, 1, UNITS),
    ]
    assert rules(records) == {ControlRule.SUMS}


def test_the_whole_is_judged_over_all_regions():
    facts = replace(FACTS, region_units={"north": UNITS, "south": UNITS})
    south = [*session(2_000, 9, 9), *renewal(10_000, 9, 9, UNITS)]
    found = findings([*START, *renewal(10_000, 0, 0, UNITS), *south], facts)
    assert {(finding.rule, finding.who) for finding in found} == {(ControlRule.SUMS, "the whole")}


COUNTED = [*START, *renewal(10_000, 0, 0, HALF), *renewal(300_000, 0, 0, HALF // 2, lease=2, acknowledged=1)]


@pytest.mark.parametrize(
    ("records", "said"),
    [
        ([claim(11_000, 0, 0, HALF, until=10_000 + SECOND + 30 * MS)], "for 30 ms after it ended"),
        ([claim(350_000, 0, 0, HALF + 1, until=SECOND)], f"which gave it {HALF}"),
        ([claim(11_000, 0, 0, HALF, lease=3)], "lease 3 of control-0, which never reached it"),
        ([claim(11_000, 0, 0, HALF, number=5)], "session 5 of control-0, which it never had"),
        ([claim(11_000, 0, 0, HALF, incarnation=11)], "which it never had"),
        ([claim(10_400, 0, 0, HALF), session_close(20_000, 0, 0)], "and went on counting"),
        ([session_close(20_000, 0, 0), claim(21_000, 0, 0, HALF)], "after it closed that"),
        (
            [claim(10_400, 0, 0, HALF), to_node(400_000, 0, 0, Heartbeat(1, 4_000, 2))],
            f"acknowledged lease 2 of control-0 with {HALF // 2} units and went on counting {HALF}",
        ),
        (
            [to_node(400_000, 0, 0, Heartbeat(1, 4_000, 2)), claim(400_100, 0, 0, HALF, until=SECOND)],
            f"after it acknowledged lease 2 with {HALF // 2}",
        ),
        ([to_node(400_000, 0, 0, Heartbeat(1, 4_000, 3))], "acknowledged lease 3 of control-0, which never"),
    ],
)
def test_a_gateway_that_counts_what_it_may_not_is_named(records, said):
    finding = only([*COUNTED, *records])
    assert (finding.rule, finding.who) == (ControlRule.GATEWAY_LEASES, "gateway-0")
    assert said in finding.what and set(finding.records) & set(records)


def test_a_gateway_that_goes_back_to_an_older_session_is_named():
    records = [
        *START,
        *session(3_000, 0, 1, number=2),
        *renewal(10_000, 0, 0, HALF),
        *renewal(11_000, 0, 1, HALF, number=2),
        claim(11_400, 0, 1, HALF, number=2),
        claim(12_000, 0, 0, HALF, until=SECOND),
    ]
    assert "after it counted by a newer one" in only(records).what


def test_a_gateway_of_no_settings_is_named():
    records = [*START, *session(2_000, 5, 0), *renewal(10_000, 5, 0, 1), claim(10_400, 5, 0, 1)]
    assert only(records).what == "counts, and is no gateway of the settings"


def test_a_lease_within_that_of_its_node_is_kept():
    """Up to the end of what two of three voters, the node among them, granted last."""
    last = renewal(LEASE - 500_000, 0, 0, UNITS, valid_for=501_000)
    assert findings([*START, *last]) == []


@pytest.mark.parametrize(
    ("at", "valid_for", "said"),
    [
        (LEASE - 500_000, 503_000, "gave gateway-0 a lease that lasts 2 ms longer than its own"),
        (LEASE + 11_000, 1, "renewed the lease of gateway-0, 10 ms after its own lease ended"),
    ],
)
def test_a_renewal_beyond_the_nodes_own_lease_is_named(at, valid_for, said):
    """A follower that was deposed and goes on: by nobody's word but that of the grants which reached it."""
    finding = only([*START, *renewal(at, 0, 0, UNITS, valid_for=valid_for)])
    assert (finding.rule, finding.who, finding.what) == (ControlRule.NODE_LEASES, "control-0", said)
    assert [record.message for record in finding.records] == ["LeaseRenewal", "Heartbeat", "LeaseGrant"]


def test_a_node_that_is_the_only_voter_of_a_view_grants_itself_its_lease_until_it_follows_a_later_one():
    alone = between_nodes(SECOND, 0, 1, Decided(View(8, NODES[:1], NODES[:1], NODES)))
    records = [*START, alone, *renewal(20 * SECOND, 0, 0, HALF), claim(20 * SECOND + 400, 0, 0, HALF)]
    assert findings(records) == []
    assert rules([*START, alone, *renewal(20 * SECOND, 1, 1, HALF)]) == {ControlRule.NODE_LEASES}
    moved = between_nodes(16 * SECOND, 0, 1, LeaseRequest(9, 160_000))
    assert rules([*records, moved]) == {ControlRule.NODE_LEASES}


def test_a_renewal_by_grants_that_never_arrived_is_named():
    kept = [record for record in START if record.receiver != "control-0" or record.message != "LeaseGrant"]
    finding = only([*kept, *renewal(10_000, 0, 0, UNITS)])
    assert finding.what == "renewed the lease of gateway-0, without one of its own"


def test_a_renewal_that_nobody_asked_for_is_named():
    finding = only([*START, to_gateway(10_000, 0, 0, LeaseRenewal(1, 100, 1, UNITS, SECOND))])
    assert finding.what == "sent gateway-0 lease 1, for which it did not ask"


LED = [
    between_nodes(0, 0, 1, Decided(VIEW)),
    between_nodes(10_000, 1, 0, LogPromise((7, 1, "control-0"), ZERO, 0, b"", (), 0)),
    between_nodes(11_000, 0, 1, InstallSnapshot((7, 1, "control-0"), 0, b"", (b"a",), 0, 1)),
    between_nodes(12_000, 1, 0, LogAccepted((7, 1, "control-0"), 1, 1)),
    between_nodes(13_000, 0, 1, LogAccept((7, 1, "control-0"), 1, (b"b",), 1, 1)),
    between_nodes(14_000, 0, 2, LogAccept((7, 1, "control-0"), 0, (b"a", b"b"), 2, 1)),
]
SECOND_LED = [
    between_nodes(SECOND, 2, 1, LogPromise((7, 2, "control-1"), ZERO, 0, b"", (), 0)),
    between_nodes(SECOND + 1_000, 1, 2, InstallSnapshot((7, 2, "control-1"), 0, b"", (b"a", b"b", b"c"), 2, 1)),
]


def test_one_leader_after_another_is_kept():
    assert findings([*LED, *SECOND_LED]) == []
    anew = View(900, NODES, NODES)
    formed = [
        between_nodes(3 * SECOND, 0, 1, Form(anew)),
        between_nodes(3 * SECOND, 1, 0, LogPromise((900, 1, "control-0"), ZERO, 0, b"", (), 0)),
        between_nodes(3 * SECOND + 1_000, 0, 1, InstallSnapshot((900, 1, "control-0"), 0, b"", (b"lost",), 1, 1)),
    ]
    assert findings([*LED, *SECOND_LED, *formed]) == []


@pytest.mark.parametrize(
    ("who", "record", "said"),
    [
        (2, InstallSnapshot((7, 3, "control-2"), 0, b"", (b"a", b"b"), 2, 1), "with promises of 1 of 3 voters"),
        (2, LogAccept((7, 2, "control-1"), 2, (), 2, 1), "under which control-1 led"),
        (2, LogAccept((7, 3, "control-0"), 2, (), 2, 1), "which is another's"),
        (0, LogAccept((7, 1, "control-0"), 2, (b"x",), 2, 1), None),
        (2, LogAccepted((7, 1, "control-0"), 3, 1), "after it took part in (7, 2, 'control-1')"),
        (1, LogAccept((7, 2, "control-1"), 2, (b"d",), 2, 1), "told another entry 3 under ballot"),
        (1, LogAccept((7, 2, "control-1"), 0, (b"z",), 2, 1), "told another entry 1 under ballot"),
    ],
)
def test_two_leaders_are_named(who, record, said):
    """A deposed leader that does not know it may tell more entries; nobody may accept them."""
    found = findings([*LED, *SECOND_LED, between_nodes(2 * SECOND, who, 1 - who % 2, record)])
    if said is None:
        assert found == []
        return
    assert {finding.rule for finding in found} == {ControlRule.ONE_LEADER}
    assert found[0].who == f"control-{who}" and said in found[0].what


def test_another_order_of_committed_entries_is_named():
    forgetful = [
        between_nodes(SECOND, 2, 1, LogPromise((7, 2, "control-1"), ZERO, 0, b"", (), 0)),
        between_nodes(SECOND + 1_000, 1, 2, InstallSnapshot((7, 2, "control-1"), 0, b"", (b"b", b"a"), 2, 1)),
    ]
    finding = only([*LED, *forgetful])
    assert finding.what == "led to entry 1 of the log, which is committed as another"


def test_records_of_several_files_are_judged_in_their_order(tmp_path):
    links, gateway = Recorder(tmp_path / "links.rec"), Recorder(tmp_path / "gateway.rec")
    for record in sorted([*START, *renewal(10_000, 0, 0, HALF)], key=lambda record: record.at):
        links.add(record)
    gateway.add(claim(10_400, 0, 0, HALF))
    links.close(), gateway.close()
    checker = check_folder(tmp_path, FACTS)
    assert checker.findings == [] and checker.observed == len(START) + 3


def test_what_cannot_be_judged_is_an_error(tmp_path):
    with pytest.raises(RecordsError, match="holds no records"):
        check_folder(tmp_path, FACTS)
    with pytest.raises(RecordsError, match="in the order of `at`"):
        checker = ControlChecker(FACTS)
        checker.observe(claim(2, 0, 0, 1))
        checker.observe(claim(1, 0, 0, 1))
    bad = FrameSeen(1, 2, "control-0", 1, "gateway-0", 1, "to-gateway", SessionAccepted.__name__, b"\xc1")
    with pytest.raises(RecordsError, match="SessionAccepted of control-0"):
        findings([bad])
