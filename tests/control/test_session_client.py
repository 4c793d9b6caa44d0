"""The gateway's side of the control plane, step by step."""

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


class Stage:
    """A client with control nodes that are played by hand; `now` moves by what is asked for."""

    def __init__(self, nodes=NODES):
        self.now = START
        self.client = SessionClient("cluster", "north", "edge-0", GATEWAYS, nodes, TERMS, Random(1), START)
        self.sessions = 0
        self.leases = 0

    def run(self, span):
        """Tick whenever due for so long; return what was done, with its time."""
        done, end = [], self.now + span
        while self.client.due() <= end:
            self.now = max(self.now, self.client.due())
            done += [(self.now, action) for action in self.client.tick(self.now)]
        self.now = end
        return done

    def connect(self):
        """Run until a node is asked for, and connect; return its name."""
        asked = [action for _, action in self.run(0) if isinstance(action, ConnectToNode)][-1]
        sent = self.client.connected(self.now, asked.node)
        assert sent == [SendToControl(asked.node, SessionOpen(cluster="cluster", gateway="edge-0", region="north"))]
        return asked.node

    def accept(self, node, cluster="cluster", name=None):
        """Accept the session; return what the client does."""
        self.sessions += 1
        answer = SessionAccepted(
            cluster=cluster, node=name or node, session=self.sessions, heartbeat_every=TERMS.heartbeat * 100
        )
        return self.client.handle_record(self.now, node, answer)

    def renewal(self, asked_at, units=UNITS, valid_for=TERMS.lease, **changed):
        """Return the next lease."""
        self.leases += 1
        fields = dict(
            session=self.sessions, asked_at=asked_at, lease=self.leases, units=units, valid_for=valid_for * 100
        )
        return LeaseRenewal(**(fields | changed))

    def open(self, units=UNITS):
        """Open a session whose first heartbeat is answered with a lease; return its node."""
        done = self.run(0)
        assert [type(action) for _, action in done] == [ConnectToNode]
        node = done[0][1].node
        self.client.connected(self.now, node)
        beat = heartbeat_in(self.accept(node))
        assert self.client.handle_record(self.now, node, self.renewal(beat.asked_at, units)) == []
        return node

    def answer(self, done, units=UNITS):
        """Answer the last heartbeat that was sent."""
        at, action = [each for each in done if isinstance(getattr(each[1], "record", None), Heartbeat)][-1]
        return self.client.handle_record(self.now, action.node, self.renewal(at, units))


def heartbeat_in(actions):
    return next(action.record for action in actions if isinstance(getattr(action, "record", None), Heartbeat))


@pytest.fixture
def stage():
    return Stage()


def test_a_lease_counts_from_its_heartbeat_and_ends_by_itself(stage):
    asked = stage.now
    node = stage.open()
    assert stage.client.state is SessionState.OPEN
    held = stage.client.effective_lease(stage.now)
    assert (held.node, held.units, held.until) == (node, UNITS, asked + TERMS.lease)
    assert stage.client.part(held.until - 1) == gateway_part(UNITS, GATEWAYS) == SAFE_PART + Fraction(4, 5) / GATEWAYS
    assert stage.client.part(held.until) == SAFE_PART
    # The scheduler earns by the lease up to its end without being told.
    earned, now_counts = stage.client.allotments.earned(asked, asked + 2 * TERMS.lease)
    assert earned == pytest.approx(TERMS.lease * (1 + float(SAFE_FRACTION)))
    assert now_counts == pytest.approx(float(SAFE_FRACTION))


def test_each_heartbeat_acknowledges_the_newest_lease_and_prolongs_it(stage):
    node = stage.open()
    for count in range(1, 5):
        done = stage.run(SECOND)
        assert done == [(stage.now, SendToControl(node, Heartbeat(session=1, asked_at=stage.now, lease=count)))]
        stage.answer(done)
        assert stage.client.effective_lease(stage.now).until == stage.now + TERMS.lease


def test_a_part_that_shrinks_counts_before_it_is_acknowledged(stage):
    stage.open()
    done = stage.run(SECOND)
    stage.answer(done, units=0)
    assert stage.client.part(stage.now) == SAFE_PART


def test_a_lost_node_is_followed_by_the_next_within_200_ms_while_the_lease_counts(stage):
    node = stage.open()
    assert stage.client.connection_lost(stage.now, node) == []
    assert stage.client.state is SessionState.DISCONNECTED
    done = stage.run(SECOND // 5)
    assert done[0][1] == ConnectToNode(stage.client.order[1])
    assert stage.client.part(stage.now) == gateway_part(UNITS, GATEWAYS)


def test_back_off_doubles_up_to_its_longest_and_goes_round_all_nodes(stage):
    asked, waits = [], []
    for _ in range(60):
        begun = stage.client.due()
        done = stage.run(max(begun - stage.now, 0))
        asked.append(done[-1][1].node)
        stage.client.connection_lost(stage.now, asked[-1])
        waits.append(stage.client.due() - stage.now)
    assert asked == list(stage.client.order) * 20
    assert all(wait <= SECOND // 5 << count for count, wait in enumerate(waits[:5]))
    assert max(waits) <= MAX_DELAY and max(waits[10:]) > 0.8 * MAX_DELAY > 10 * min(waits[10:])


def test_a_silent_session_is_given_up_after_one_and_a_half_heartbeats(stage):
    node = stage.open()
    begun = stage.now
    done = stage.run(int(1.5 * SECOND))
    assert [type(action) for _, action in done] == [SendToControl, DisconnectFromNode]
    assert done[-1][0] == begun + int(1.5 * SECOND)
    assert stage.client.handle_record(stage.now, node, stage.renewal(begun + SECOND)) == []
    assert (
        stage.client.effective_lease(stage.now).until == begun + TERMS.lease
    )  # nothing was prolonged by the late answer


def test_a_gateway_that_stood_still_asks_again_before_it_takes_the_node_for_silent(stage):
    node = stage.open()
    stage.now += 10 * SECOND
    actions = stage.client.tick(stage.now)
    assert actions == [SendToControl(node, Heartbeat(session=1, asked_at=stage.now, lease=1))]
    assert stage.client.part(stage.now) == SAFE_PART
    assert isinstance(stage.run(SECOND // 2)[-1][1], DisconnectFromNode)


def test_a_node_that_ends_is_left_at_once_and_its_lease_counts_on(stage):
    node = stage.open()
    assert [type(action) for action in stage.client.handle_record(stage.now, node, Goodbye())] == [DisconnectFromNode]
    assert stage.client.part(stage.now) == gateway_part(UNITS, GATEWAYS)


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
def test_a_renewal_against_the_rules_is_refused(stage, changed, refusal):
    node = stage.open()
    held = stage.client.effective_lease(stage.now)
    stage.run(SECOND)
    assert stage.client.handle_record(stage.now, node, stage.renewal(**({"asked_at": stage.now} | changed))) == []
    assert stage.client.refusals == {refusal: 1}
    assert stage.client.effective_lease(stage.now) == held


def reject(stage, node, retry_after):
    """Have the node reject the session; `retry_after` in tenths of a millisecond."""
    answer = SessionRejected(cluster="cluster", node=node, reason="busy", retry_after=retry_after * 100)
    assert [type(action) for action in stage.client.handle_record(stage.now, node, answer)] == [DisconnectFromNode]
    return stage.now


def test_a_short_wait_for_a_node_that_rejects_is_waited_for_once(stage):
    node = stage.connect()
    rejected = reject(stage, node, 3_000)
    (at, action), *_ = stage.run(SECOND)
    assert action == ConnectToNode(node) and 3_000 < at - rejected < 3_000 + SECOND // 4
    stage.client.connected(stage.now, node)
    reject(stage, node, 3_000)
    assert stage.run(SECOND)[0][1] == ConnectToNode(stage.client.order[1])


def test_a_node_that_rejects_for_longer_is_not_asked_before_and_the_others_are(stage):
    first = stage.connect()
    rejected, asked = reject(stage, first, 3 * SECOND), []
    while first not in asked:
        for _, action in stage.run(SECOND // 100):
            if isinstance(action, ConnectToNode):
                asked.append(action.node)
                stage.client.connection_lost(stage.now, action.node)
    assert stage.now - rejected > 3 * SECOND and set(stage.client.order[1:]) <= set(asked)


def test_a_rejection_for_good_keeps_its_reason_and_is_tried_again_much_later(stage):
    node = stage.connect()
    answer = SessionRejected(cluster="cluster", node=node, reason="no gateway 'edge-0'", retry_after=0)
    stage.client.handle_record(stage.now, node, answer)
    assert stage.client.state is SessionState.REJECTED
    assert stage.client.rejected_reason == f"{node}: no gateway 'edge-0'"
    assert 15 * SECOND <= stage.client.due() - stage.now <= 45 * SECOND


def test_a_control_node_of_another_cluster_or_name_is_refused_with_both(stage):
    node = stage.connect()
    assert [type(action) for action in stage.accept(node, cluster="other")] == [DisconnectFromNode]
    assert "'other'" in stage.client.rejected_reason and "'cluster'" in stage.client.rejected_reason
    other = Stage()
    other.accept(other.connect(), name="control-9")
    assert "'control-9'" in other.client.rejected_reason and node in other.client.rejected_reason


def open_at_second(stage):
    """Lose the first choice, and hold a session with a lease at the second."""
    first = stage.open()
    stage.client.connection_lost(stage.now, first)
    stage.run(SECOND // 5)
    second = stage.client.order[1]
    stage.client.connected(stage.now, second)
    beat = heartbeat_in(stage.accept(second))
    stage.client.handle_record(stage.now, second, stage.renewal(beat.asked_at))
    return second


def run_answering(stage, node, span):
    """Run with all heartbeats to `node` answered; return the other actions with their times."""
    session, end, others = stage.sessions, stage.now + span, []
    while stage.now < end:
        for _, action in stage.run(min(SECOND // 20, end - stage.now)):
            if isinstance(action, SendToControl) and action.node == node and isinstance(action.record, Heartbeat):
                renewal = stage.renewal(action.record.asked_at, session=session)
                stage.client.handle_record(stage.now, node, renewal)
            else:
                others.append((stage.now, action))
    return others


def test_the_first_choice_is_taken_again_and_the_old_session_closed_only_then(stage):
    second = open_at_second(stage)
    begun, session = stage.now, stage.sessions
    while not (done := run_answering(stage, second, SECOND // 10)):
        assert stage.now - begun < 46 * SECOND
    first = stage.client.order[0]
    assert done[0][1] == ConnectToNode(first) and stage.now - begun > 14 * SECOND
    stage.client.connected(stage.now, first)
    beat = heartbeat_in(stage.accept(first))
    empty = stage.renewal(beat.asked_at, units=0)
    assert stage.client.handle_record(stage.now, first, empty) == []  # the new node grants nothing yet
    assert stage.client.effective_lease(stage.now).node == second
    stage.run(SECOND)  # both sessions have sent a heartbeat by then, this one the later
    assert stage.client.effective_lease(stage.now).node == second
    actions = stage.client.handle_record(stage.now, first, stage.renewal(stage.now))
    assert actions[0] == SendToControl(second, SessionClose(session=session))
    assert isinstance(actions[1], DisconnectFromNode)
    assert stage.client.effective_lease(stage.now).node == stage.client.node == first


def test_a_first_choice_that_is_away_costs_nothing_of_the_session(stage):
    second = open_at_second(stage)
    asked = 0
    for _ in range(200):
        for _, action in run_answering(stage, second, SECOND):
            asked += action == ConnectToNode(stage.client.order[0])
            stage.client.connection_lost(stage.now, stage.client.order[0])
    assert 4 <= asked <= 10 and stage.client.node == second
    assert stage.client.part(stage.now) == gateway_part(UNITS, GATEWAYS)


def test_a_node_that_grants_nothing_is_left_for_one_that_does(stage):
    node = stage.open(units=0)
    asked = []
    while not asked:
        done = stage.run(SECOND // 20)
        asked = [action for _, action in done if isinstance(action, ConnectToNode)]
        if any(isinstance(getattr(action, "record", None), Heartbeat) for _, action in done):
            stage.answer(done, units=0)
        assert stage.now - START < 5 * SECOND
    other = asked[0].node
    assert other != node and stage.now - START >= TERMS.lease
    stage.client.connected(stage.now, other)
    beat = heartbeat_in(stage.accept(other))
    actions = stage.client.handle_record(stage.now, other, stage.renewal(beat.asked_at))
    assert actions[0] == SendToControl(node, SessionClose(session=1))
    assert stage.client.node == other and stage.client.part(stage.now) == gateway_part(UNITS, GATEWAYS)


def test_a_newer_lease_of_the_same_node_ends_the_older_one_also_without_units(stage):
    """The node takes the older lease for ended once the newer one is acknowledged, though its session is another."""
    stage = Stage(nodes=("control-0",))
    node = stage.open()
    stage.client.connection_lost(stage.now, node)
    stage.run(SECOND // 5)
    stage.client.connected(stage.now, node)
    beat = heartbeat_in(stage.accept(node))
    assert stage.client.part(stage.now) == gateway_part(UNITS, GATEWAYS)
    stage.client.handle_record(stage.now, node, stage.renewal(beat.asked_at, units=0))
    assert stage.client.part(stage.now) == SAFE_PART


def test_a_planned_end_counts_nothing_before_it_closes_the_session(stage):
    node = stage.open()
    actions = stage.client.close(stage.now)
    assert actions[0] == SendToControl(node, SessionClose(session=1)) and isinstance(actions[1], DisconnectFromNode)
    assert stage.client.part(stage.now) == SAFE_PART
    assert stage.run(100 * SECOND) == []
