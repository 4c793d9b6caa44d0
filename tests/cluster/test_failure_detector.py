"""Failure detector: deaths are detected, and stalls and bad links are not mistaken for deaths."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansykeel.cluster.failure_detector import SECOND, Ack, DetectorConfig, FailureDetector, NoAnswer, Ping, Try
from tansykeel.cluster.gossip import GossipItem, MemberState
from tansykeel.emulator.cluster_simulation import Trial, watched

NAMES = ("a", "b", "c", "d")


def make_detector(name="a", **config):
    return FailureDetector(name, NAMES, 1, DetectorConfig(**config), Random(1), 0)


def alive_items(*names, life=1):
    return tuple(GossipItem(name, MemberState.ALIVE, life, 0) for name in names)


def next_ping(detector):
    """Start the detector's next probe; return whom it pings and the sequence number."""
    ((to, ping),) = detector.tick(detector.due())
    assert isinstance(ping, Ping)
    return to, ping.seq


def test_every_other_member_is_pinged_once_in_a_round():
    detector = make_detector()
    for _ in range(3):
        pinged = []
        for _ in range(3):
            to, seq = next_ping(detector)
            pinged.append(to)
            detector.handle_message(detector.due() - 1, to, Ack(seq))
        assert sorted(pinged) == ["b", "c", "d"]
    assert detector.health_score == 0


def test_a_member_that_answers_an_indirect_ping_is_not_suspected():
    detector = make_detector()
    to, seq = next_ping(detector)
    tries = detector.tick(detector.due())
    assert sorted(name for name, _ in tries) == sorted({"b", "c", "d"} - {to})
    assert all(message == Try(seq, to, message.news) for _, message in tries)
    detector.handle_message(detector.due() - 1, tries[0][0], Ack(seq))
    while detector.due() < 3 * SECOND:
        for name, message in detector.tick(detector.due()):
            if isinstance(message, Ping):
                detector.handle_message(detector.due() - 1, name, Ack(message.seq))
    assert detector.others[to].state is MemberState.ALIVE


def test_a_helper_forwards_an_ack_and_reports_a_missing_one():
    helper = make_detector("b")
    ((to, ping),) = helper.handle_message(0, "a", Try(7, "c"))
    ((back, answer),) = helper.handle_message(10, "c", Ack(ping.seq))
    assert (to, back, type(answer), answer.seq) == ("c", "a", Ack, 7)
    ((_, ping),) = helper.handle_message(20, "a", Try(8, "d"))
    helper.next_probe = 10 * SECOND
    sent = helper.tick(helper.due())
    assert ("a", NoAnswer, 8) in [(name, type(message), message.seq) for name, message in sent]


def test_silent_helpers_raise_the_health_score():
    scores = []
    for answered in (False, True):
        detector = make_detector()
        _, seq = next_ping(detector)
        tries = detector.tick(detector.due())
        if answered:
            for name, _ in tries:
                detector.handle_message(detector.due() - 1, name, NoAnswer(seq))
        detector.next_probe = 10 * SECOND
        detector.tick(detector.due())
        scores.append(detector.health_score)
    assert scores == [3, 1]


def test_a_stalled_member_declares_nobody_dead_and_doubts_its_own_health():
    """Guards against a member that was suspended for seconds and declares all others dead when it resumes."""
    detector = make_detector()
    to, _ = next_ping(detector)
    detector.handle_message(1, "b", Ping(1, (GossipItem("c", MemberState.SUSPECT, 1, 0, "b"),)))
    deadline = detector.suspicion_deadlines[detector.others["c"]]
    resumed = detector.due() + 100 * SECOND
    assert detector.tick(resumed) == [] and detector.health_score == detector.config.max_health_score
    detector.tick(detector.due())
    assert detector.others[to].state is not MemberState.DEAD and detector.others["c"].state is MemberState.SUSPECT
    assert detector.suspicion_deadlines[detector.others["c"]] == deadline + 100 * SECOND


def test_a_suspected_member_is_told_in_each_period_by_the_one_that_suspects_it():
    detector = make_detector()
    to, _ = next_ping(detector)
    for _ in range(2):  # neither the direct nor the indirect pings are answered
        detector.next_probe = 10 * SECOND
        detector.tick(detector.due())
    assert detector.others[to].state is MemberState.SUSPECT
    detector.next_probe = detector.due() - 1
    sent = dict(detector.tick(detector.due()))
    assert GossipItem(to, MemberState.SUSPECT, 0, 0, "a") in sent[to].news


def test_a_refutation_makes_a_suspected_member_alive_again():
    suspected, other = make_detector("a"), make_detector("b")
    other.handle_message(0, "c", Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, "c"),)))
    assert other.others["a"].state is MemberState.SUSPECT
    suspected.handle_message(0, "c", Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, "c"),)))
    ((_, ack),) = suspected.handle_message(0, "b", Ping(2))
    other.handle_message(1, "a", ack)
    assert other.others["a"].state is MemberState.ALIVE and other.others["a"].refutations == 1
    other.handle_message(
        2, "c", Ping(2, (GossipItem("a", MemberState.SUSPECT, 1, 0, "d"),))
    )  # the refuted suspicion, late
    assert other.others["a"].state is MemberState.ALIVE


def test_a_refutation_is_sent_before_join_announcements():
    detector = FailureDetector("a", [f"g{n}" for n in range(50)], 1, DetectorConfig(), Random(1), 0)
    detector.handle_message(0, "g1", Ping(1, tuple(GossipItem(f"g{n}", MemberState.ALIVE, 1, 0) for n in range(2, 50))))
    detector.handle_message(0, "g1", Ping(2, (GossipItem("a", MemberState.SUSPECT, 1, 0, "g1"),)))
    ((_, ack),) = detector.handle_message(0, "g2", Ping(3))
    assert (
        ack.news[0] == GossipItem("a", MemberState.ALIVE, 1, 1) and len(ack.news) == len(detector.others) // 3
    )  # a third of a long queue goes into one message


def test_a_suspicion_that_others_share_lasts_shorter():
    deadlines = []
    for suspecting in ("c", "cd"):
        detector = make_detector("b")
        for by in suspecting:
            detector.handle_message(0, by, Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, by),)))
        deadlines.append(detector.suspicion_deadlines[detector.others["a"]])
    assert deadlines[1] < deadlines[0] == 6 * SECOND
    detector.next_probe = 100 * SECOND
    detector.tick(deadlines[1])
    assert detector.others["a"].state is MemberState.DEAD and "a" not in detector.stable_members(10**9)


def test_a_member_that_failed_repeatedly_takes_longer_to_count_as_stable():
    detector = make_detector()
    detector.handle_message(0, "b", Ping(1, alive_items("b", "c")))
    assert detector.stable_members(2 * SECOND) == ["a", "b", "c"]  # d was never heard of
    for life in (2, 3):
        detector.handle_message(2 * SECOND, "c", Ping(life, (GossipItem("b", MemberState.DEAD, life - 1, 0, "c"),)))
        detector.handle_message(2 * SECOND, "c", Ping(life, alive_items("b", life=life)))
    assert detector.stable_members(4 * SECOND) == ["a", "c"]
    assert detector.stable_members(2 * SECOND + 32 * SECOND) == ["a", "b", "c"]
    assert detector.others["b"].failures


gossip_values = st.lists(
    st.tuples(st.sampled_from(list(MemberState)), st.integers(1, 3), st.integers(0, 3), st.sampled_from("bcd")),
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(gossip_values, st.randoms(use_true_random=False))
def test_gossip_in_any_order_and_repeated_has_the_same_result(values, random):
    """Times aside: the higher incarnation wins, then the higher number of refutations, then the worse state."""
    items = [GossipItem("b", *rest) for rest in values]
    shuffled = items + items[:4]
    random.shuffle(shuffled)
    results = []
    for order in (items, shuffled):
        detector = make_detector()
        for seq, item in enumerate(order):
            detector.handle_message(0, "c", Ping(seq, (item,)))
        other = detector.others["b"]
        results.append((other.incarnation, other.refutations, other.state))
    assert (
        results[0]
        == results[1]
        == max([(n.life, n.denials, n.seems) for n in items], default=(0, 0, MemberState.ALIVE))
    )


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_each_death_is_known_to_all_and_hardly_anybody_else_is_suspected(loss):
    seen = watched(Trial(30, seconds=60, loss=loss), 1)
    assert seen.unknown == 0 and 2 < seen.known_median_s < seen.known_99_s < 25
    assert max(seen.wrong_suspicions_an_hour, seen.wrong_deaths_an_hour) <= 100 * loss  # per hour of each of 30 members


def test_stalled_members_declare_nobody_dead():
    seen = watched(Trial(30, seconds=60, stalled=0.1), 1)
    assert seen.unknown == 0 and seen.wrong_deaths_an_hour == 0


def test_a_lost_refutation_is_sent_again():
    """Guards against a member that is considered dead for good because all transmissions of its refutation were lost.

    A refutation, like every gossip item, is sent a limited number of times.
    """
    detector = make_detector("a")
    dead = GossipItem("a", MemberState.DEAD, 1, 0, "b")
    ((_, ack),) = detector.handle_message(0, "b", Ping(1, (dead,)))
    assert GossipItem("a", MemberState.ALIVE, 1, 1) in ack.news
    for seq in range(20):
        detector.handle_message(1, "c", Ping(seq))
    ((_, without_gossip),) = detector.handle_message(2, "c", Ping(30))
    assert without_gossip.news == ()
    ((_, again),) = detector.handle_message(3, "b", Ping(2, (dead,)))
    assert GossipItem("a", MemberState.ALIVE, 1, 1) in again.news and detector.refutations == 1


def test_a_member_that_leaves_tells_all_others_and_refutes_nothing():
    leaving, other = make_detector("a"), make_detector("b")
    sent = leaving.leave(5)
    assert sorted(name for name, _ in sent) == sorted(leaving.others)
    other.handle_message(6, "a", dict(sent)["b"])
    assert other.others["a"].state is MemberState.DEAD
    ((_, ack),) = leaving.handle_message(7, "b", Ping(3, (GossipItem("a", MemberState.DEAD, 1, 0, "b"),)))
    assert all(item.seems is MemberState.DEAD for item in ack.news) and leaving.refutations == 0
