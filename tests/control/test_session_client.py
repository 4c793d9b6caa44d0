"""The session client, driven event by event against scripted control nodes."""

from fractions import Fraction
from random import Random

import pytest

from tansykeel.cluster.membership import SAFE_FRACTION
from tansykeel.control.actions import (
    WHOLE_UNITS,
    ConnectToNode,
    DisconnectFromNode,
    SendToControl,
    SessionTerms,
    gateway_part,
)
from tansykeel.control.back_off import MAX_DELAY, SECOND
from tansykeel.control.gateway_session import RefusedRenewal
from tansykeel.control.session_client import SessionClient, SessionState
from tansykeel.protocol.frames import (
    Goodbye,
    Heartbeat,
    LeaseRenewal,
    SessionAccepted,
    SessionClose,
    SessionOpen,
    SessionRejected,
)

NODES = ("control-0", "control-1", "control-2")
TERMS = SessionTerms(lease=3 * SECOND, heartbeat=SECOND, drift=0.01, admissions_per_second=100.0)
GATEWAYS = 10
SAFE_PART = SAFE_FRACTION / GATEWAYS
UNITS = WHOLE_UNITS // GATEWAYS
START = 1_000 * SECOND


class Harness:
    """A session client and a clock; the tests supply the answers of the control nodes."""

    def __init__(self, nodes=NODES):
        self.now = START
        self.client = SessionClient("cluster", "north", "edge-0", GATEWAYS, nodes, TERMS, Random(1), START)
        self.sessions = 0
        self.leases = 0

    def run(self, span):
        """Advance the clock by `span`, with a tick whenever one is due; return the actions with their times."""
        done, end = [], self.now + span
        while self.client.due() <= end:
            self.now = max(self.now, self.client.due())
            done += [(self.now, action) for action in self.client.tick(self.now)]
        self.now = end
        return done

    def connect(self):
        """Connect to the node that the client asks for now; return its name."""
        asked = [action for _, action in self.run(0) if isinstance(action, ConnectToNode)][-1]
        sent = self.client.connected(self.now, asked.node)
        assert sent == [SendToControl(asked.node, SessionOpen(cluster="cluster", gateway="edge-0", region="north"))]
        return asked.node

    def accept(self, node, cluster="cluster", name=None):
        """Accept the session at `node`; return the client's actions."""
        self.sessions += 1
        answer = SessionAccepted(
            cluster=cluster, node=name or node, session=self.sessions, heartbeat_every=TERMS.heartbeat * 100
        )
        return self.client.handle_record(self.now, node, answer)

    def renewal(self, asked_at, units=UNITS, valid_for=TERMS.lease, **changed):
        """Return a renewal with the next lease number."""
        self.leases += 1
        fields = dict(
            session=self.sessions, asked_at=asked_at, lease=self.leases, units=units, valid_for=valid_for * 100
        )
        return LeaseRenewal(**(fields | changed))

    def open(self, units=UNITS):
        """Open a session and answer its first heartbeat with a lease; return the node."""
        done = self.run(0)
        assert [type(action) for _, action in done] == [ConnectToNode]
        node = done[0][1].node
        self.client.connected(self.now, node)
        heartbeat = first_heartbeat(self.accept(node))
        assert self.client.handle_record(self.now, node, self.renewal(heartbeat.asked_at, units)) == []
        return node

    def answer(self, done, units=UNITS):
        """Answer the last heartbeat among the actions `done`."""
        at, action = [each for each in done if isinstance(getattr(each[1], "record", None), Heartbeat)][-1]
        return self.client.handle_record(self.now, action.node, self.renewal(at, units))


def first_heartbeat(actions):
    """Return the first heartbeat among the actions."""
    return next(action.record for action in actions if isinstance(getattr(action, "record", None), Heartbeat))


@pytest.fixture
def harness():
    return Harness()


def test_lease_is_valid_from_its_heartbeat_and_expires_by_itself(harness):
    asked = harness.now
    node = harness.open()
    assert harness.client.state is SessionState.OPEN
    held = harness.client.effective_lease(harness.now)
    assert (held.node, held.units, held.until) == (node, UNITS, asked + TERMS.lease)
    assert harness.client.part(held.until - 1) == gateway_part(UNITS, GATEWAYS) == SAFE_PART + Fraction(4, 5) / GATEWAYS
    assert harness.client.part(held.until) == SAFE_PART
    # The allotments end with the lease, though no tick took place.
    earned, even_parts = harness.client.allotments.accrued(asked, asked + 2 * TERMS.lease)
    assert earned == pytest.approx(TERMS.lease * (1 + float(SAFE_FRACTION)))
    assert even_parts == pytest.approx(float(SAFE_FRACTION))


def test_each_heartbeat_acknowledges_the_newest_lease_and_extends_it(harness):
    node = harness.open()
    for count in range(1, 5):
        done = harness.run(SECOND)
        assert done == [(harness.now, SendToControl(node, Heartbeat(session=1, asked_at=harness.now, lease=count)))]
        harness.answer(done)
        assert harness.client.effective_lease(harness.now).until == harness.now + TERMS.lease


def test_smaller_part_applies_before_it_is_acknowledged(harness):
    harness.open()
    done = harness.run(SECOND)
    harness.answer(done, units=0)
    assert harness.client.part(harness.now) == SAFE_PART


def test_next_node_is_asked_within_200_ms_of_a_loss_and_the_lease_stays_in_effect(harness):
    node = harness.open()
    assert harness.client.connection_lost(harness.now, node) == []
    assert harness.client.state is SessionState.DISCONNECTED
    done = harness.run(SECOND // 5)
    assert done[0][1] == ConnectToNode(harness.client.order[1])
    assert harness.client.part(harness.now) == gateway_part(UNITS, GATEWAYS)


def test_back_off_doubles_up_to_its_maximum_and_cycles_through_all_nodes(harness):
    asked, waits = [], []
    for _ in range(60):
        begun = harness.client.due()
        done = harness.run(max(begun - harness.now, 0))
        asked.append(done[-1][1].node)
        harness.client.connection_lost(harness.now, asked[-1])
        waits.append(harness.client.due() - harness.now)
    assert asked == list(harness.client.order) * 20
    assert all(wait <= SECOND // 5 << count for count, wait in enumerate(waits[:5]))
    assert max(waits) <= MAX_DELAY and max(waits[10:]) > 0.8 * MAX_DELAY > 10 * min(waits[10:])


def test_session_without_answers_is_abandoned_after_one_and_a_half_heartbeats(harness):
    node = harness.open()
    begun = harness.now
    done = harness.run(int(1.5 * SECOND))
    assert [type(action) for _, action in done] == [SendToControl, DisconnectFromNode]
    assert done[-1][0] == begun + int(1.5 * SECOND)
    assert harness.client.handle_record(harness.now, node, harness.renewal(begun + SECOND)) == []
    # The late answer did not extend the lease.
    assert harness.client.effective_lease(harness.now).until == begun + TERMS.lease


def test_gateway_that_stalled_sends_a_heartbeat_before_it_abandons_the_session(harness):
    node = harness.open()
    harness.now += 10 * SECOND
    actions = harness.client.tick(harness.now)
    assert actions == [SendToControl(node, Heartbeat(session=1, asked_at=harness.now, lease=1))]
    assert harness.client.part(harness.now) == SAFE_PART
    assert isinstance(harness.run(SECOND // 2)[-1][1], DisconnectFromNode)


def test_goodbye_ends_the_session_at_once_and_the_lease_stays_in_effect(harness):
    node = harness.open()
    assert [type(action) for action in harness.client.handle_record(harness.now, node, Goodbye())] == [
        DisconnectFromNode
    ]
    assert harness.client.part(harness.now) == gateway_part(UNITS, GATEWAYS)


@pytest.mark.parametrize(
    ("changed", "refusal"),
    [
        ({"session": 7}, RefusedRenewal.OTHER_SESSION),
        ({"lease": 1}, RefusedRenewal.OLD_LEASE),
        ({"asked_at": START + 7}, RefusedRenewal.NEVER_ASKED),
        ({"asked_at": START}, RefusedRenewal.NEVER_ASKED),  # answered already
        ({"valid_for": TERMS.lease + 1}, RefusedRenewal.BEYOND_TERMS),
        ({"units": WHOLE_UNITS + 1}, RefusedRenewal.BEYOND_WHOLE),
    ],
)
def test_invalid_renewal_is_refused_and_counted(harness, changed, refusal):
    node = harness.open()
    held = harness.client.effective_lease(harness.now)
    harness.run(SECOND)
    assert (
        harness.client.handle_record(harness.now, node, harness.renewal(**({"asked_at": harness.now} | changed))) == []
    )
    assert harness.client.refusals == {refusal: 1}
    assert harness.client.effective_lease(harness.now) == held


def reject(harness, node, retry_after):
    """Have the node reject the session; `retry_after` in tenths of a millisecond."""
    answer = SessionRejected(cluster="cluster", node=node, reason="busy", retry_after=retry_after * 100)
    assert [type(action) for action in harness.client.handle_record(harness.now, node, answer)] == [DisconnectFromNode]
    return harness.now


def test_node_with_a_short_retry_after_is_asked_again_once(harness):
    node = harness.connect()
    rejected = reject(harness, node, 3_000)
    (at, action), *_ = harness.run(SECOND)
    assert action == ConnectToNode(node) and 3_000 < at - rejected < 3_000 + SECOND // 4
    harness.client.connected(harness.now, node)
    reject(harness, node, 3_000)
    assert harness.run(SECOND)[0][1] == ConnectToNode(harness.client.order[1])


def test_node_with_a_long_retry_after_is_skipped_until_then(harness):
    first = harness.connect()
    rejected, asked = reject(harness, first, 3 * SECOND), []
    while first not in asked:
        for _, action in harness.run(SECOND // 100):
            if isinstance(action, ConnectToNode):
                asked.append(action.node)
                harness.client.connection_lost(harness.now, action.node)
    assert harness.now - rejected > 3 * SECOND and set(harness.client.order[1:]) <= set(asked)


def test_permanent_rejection_keeps_its_reason_and_delays_the_next_attempt(harness):
    node = harness.connect()
    answer = SessionRejected(cluster="cluster", node=node, reason="no gateway 'edge-0'", retry_after=0)
    harness.client.handle_record(harness.now, node, answer)
    assert harness.client.state is SessionState.REJECTED
    assert harness.client.rejected_reason == f"{node}: no gateway 'edge-0'"
    assert 15 * SECOND <= harness.client.due() - harness.now <= 45 * SECOND


def test_control_node_of_another_cluster_or_name_is_rejected_with_both_names(harness):
    node = harness.connect()
    assert [type(action) for action in harness.accept(node, cluster="other")] == [DisconnectFromNode]
    assert "'other'" in harness.client.rejected_reason and "'cluster'" in harness.client.rejected_reason
    other = Harness()
    other.accept(other.connect(), name="control-9")
    assert "'control-9'" in other.client.rejected_reason and node in other.client.rejected_reason


def open_at_second(harness):
    """Lose the session at the preferred node and open one with a lease at the second; return that node."""
    first = harness.open()
    harness.client.connection_lost(harness.now, first)
    harness.run(SECOND // 5)
    second = harness.client.order[1]
    harness.client.connected(harness.now, second)
    heartbeat = first_heartbeat(harness.accept(second))
    harness.client.handle_record(harness.now, second, harness.renewal(heartbeat.asked_at))
    return second


def run_answering(harness, node, span):
    """Advance the clock by `span` and answer all heartbeats to `node`; return the other actions with their times."""
    session, end, others = harness.sessions, harness.now + span, []
    while harness.now < end:
        for _, action in harness.run(min(SECOND // 20, end - harness.now)):
            if isinstance(action, SendToControl) and action.node == node and isinstance(action.record, Heartbeat):
                renewal = harness.renewal(action.record.asked_at, session=session)
                harness.client.handle_record(harness.now, node, renewal)
            else:
                others.append((harness.now, action))
    return others


def test_return_to_preferred_node_closes_the_old_session_only_after_units_are_granted(harness):
    second = open_at_second(harness)
    begun, session = harness.now, harness.sessions
    while not (done := run_answering(harness, second, SECOND // 10)):
        assert harness.now - begun < 46 * SECOND
    first = harness.client.order[0]
    assert done[0][1] == ConnectToNode(first) and harness.now - begun > 14 * SECOND
    harness.client.connected(harness.now, first)
    heartbeat = first_heartbeat(harness.accept(first))
    empty = harness.renewal(heartbeat.asked_at, units=0)
    assert harness.client.handle_record(harness.now, first, empty) == []  # the new node grants nothing yet
    assert harness.client.effective_lease(harness.now).node == second
    harness.run(SECOND)  # both sessions have sent a heartbeat by then, the new one later
    assert harness.client.effective_lease(harness.now).node == second
    actions = harness.client.handle_record(harness.now, first, harness.renewal(harness.now))
    assert actions[0] == SendToControl(second, SessionClose(session=session))
    assert isinstance(actions[1], DisconnectFromNode)
    assert harness.client.effective_lease(harness.now).node == harness.client.node == first


def test_unreachable_preferred_node_does_not_affect_the_session(harness):
    second = open_at_second(harness)
    asked = 0
    for _ in range(200):
        for _, action in run_answering(harness, second, SECOND):
            asked += action == ConnectToNode(harness.client.order[0])
            harness.client.connection_lost(harness.now, harness.client.order[0])
    assert 4 <= asked <= 10 and harness.client.node == second
    assert harness.client.part(harness.now) == gateway_part(UNITS, GATEWAYS)


def test_gateway_moves_from_a_node_that_grants_no_units_to_one_that_does(harness):
    node = harness.open(units=0)
    asked = []
    while not asked:
        done = harness.run(SECOND // 20)
        asked = [action for _, action in done if isinstance(action, ConnectToNode)]
        if any(isinstance(getattr(action, "record", None), Heartbeat) for _, action in done):
            harness.answer(done, units=0)
        assert harness.now - START < 5 * SECOND
    other = asked[0].node
    assert other != node and harness.now - START >= TERMS.lease
    harness.client.connected(harness.now, other)
    heartbeat = first_heartbeat(harness.accept(other))
    actions = harness.client.handle_record(harness.now, other, harness.renewal(heartbeat.asked_at))
    assert actions[0] == SendToControl(node, SessionClose(session=1))
    assert harness.client.node == other and harness.client.part(harness.now) == gateway_part(UNITS, GATEWAYS)


def test_newer_lease_of_the_same_node_replaces_the_older_one_even_without_units(harness):
    """The node regards the older lease as replaced once the newer one is acknowledged, even one of another session."""
    harness = Harness(nodes=("control-0",))
    node = harness.open()
    harness.client.connection_lost(harness.now, node)
    harness.run(SECOND // 5)
    harness.client.connected(harness.now, node)
    heartbeat = first_heartbeat(harness.accept(node))
    assert harness.client.part(harness.now) == gateway_part(UNITS, GATEWAYS)
    harness.client.handle_record(harness.now, node, harness.renewal(heartbeat.asked_at, units=0))
    assert harness.client.part(harness.now) == SAFE_PART


def test_close_drops_the_lease_before_it_closes_the_session(harness):
    node = harness.open()
    actions = harness.client.close(harness.now)
    assert actions[0] == SendToControl(node, SessionClose(session=1)) and isinstance(actions[1], DisconnectFromNode)
    assert harness.client.part(harness.now) == SAFE_PART
    assert harness.run(100 * SECOND) == []
