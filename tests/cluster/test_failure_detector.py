"""Who seems to be there: deaths are heard of, stalls and bad links are not taken for them."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansykeel.cluster.failure_detector import SECOND, Ack, DetectorConfig, FailureDetector, NoAnswer, Ping, Try
from tansykeel.cluster.gossip import GossipItem, MemberState
from tansykeel.emulator.cluster_simulation import Trial, watched

NAMES = ("a", "b", "c", "d")


def one(name="a", **pace):
    return FailureDetector(name, NAMES, 1, DetectorConfig(**pace), Random(1), 0)


def alive(*names, life=1):
    return tuple(GossipItem(name, MemberState.ALIVE, life, 0) for name in names)


def pinged(watcher):
    """Its next probe: whom it pings, and under which number."""
    ((to, ping),) = watcher.tick(watcher.due())
    assert isinstance(ping, Ping)
    return to, ping.seq


def test_every_other_gateway_is_pinged_once_in_a_round():
    watcher = one()
    for _ in range(3):
        asked = []
        for _ in range(3):
            to, seq = pinged(watcher)
            asked.append(to)
            watcher.heard(watcher.due() - 1, to, Ack(seq))
        assert sorted(asked) == ["b", "c", "d"]
    assert watcher.health_score == 0


def test_a_gateway_that_others_can_reach_is_not_suspected():
    watcher = one()
    to, seq = pinged(watcher)
    tries = watcher.tick(watcher.due())
    assert sorted(name for name, _ in tries) == sorted({"b", "c", "d"} - {to})
    assert all(word == Try(seq, to, word.news) for _, word in tries)
    watcher.heard(watcher.due() - 1, tries[0][0], Ack(seq))
    while watcher.due() < 3 * SECOND:
        for name, word in watcher.tick(watcher.due()):
            if isinstance(word, Ping):
                watcher.heard(watcher.due() - 1, name, Ack(word.seq))
    assert watcher.others[to].state is MemberState.ALIVE


def test_a_helper_passes_an_answer_on_and_says_when_it_has_none():
    helper = one("b")
    ((to, ping),) = helper.heard(0, "a", Try(7, "c"))
    ((back, answer),) = helper.heard(10, "c", Ack(ping.seq))
    assert (to, back, type(answer), answer.seq) == ("c", "a", Ack, 7)
    ((_, ping),) = helper.heard(20, "a", Try(8, "d"))
    helper.next_ping = 10 * SECOND
    said = helper.tick(helper.due())
    assert ("a", NoAnswer, 8) in [(name, type(word), word.seq) for name, word in said]


def test_silent_helpers_make_a_gateway_doubt_itself():
    doubts = []
    for answered in (False, True):
        watcher = one()
        _, seq = pinged(watcher)
        tries = watcher.tick(watcher.due())
        if answered:
            for name, _ in tries:
                watcher.heard(watcher.due() - 1, name, NoAnswer(seq))
        watcher.next_ping = 10 * SECOND
        watcher.tick(watcher.due())
        doubts.append(watcher.health_score)
    assert doubts == [3, 1]


def test_who_slept_judges_nobody_and_doubts_itself():
    """Guards against a gateway stopped for seconds that calls all others dead when it goes on."""
    watcher = one()
    to, _ = pinged(watcher)
    watcher.heard(1, "b", Ping(1, (GossipItem("c", MemberState.SUSPECT, 1, 0, "b"),)))
    ends = watcher.ends[watcher.others["c"]]
    woke = watcher.due() + 100 * SECOND
    assert watcher.tick(woke) == [] and watcher.health_score == watcher.pace.doubts
    watcher.tick(watcher.due())
    assert watcher.others[to].state is not MemberState.DEAD and watcher.others["c"].state is MemberState.SUSPECT
    assert watcher.ends[watcher.others["c"]] == ends + 100 * SECOND


def test_whoever_suspects_tells_the_suspected_each_period():
    watcher = one()
    to, _ = pinged(watcher)
    for _ in range(2):  # no answer, and none to helpers
        watcher.next_ping = 10 * SECOND
        watcher.tick(watcher.due())
    assert watcher.others[to].state is MemberState.SUSPECT
    watcher.next_ping = watcher.due() - 1
    told = dict(watcher.tick(watcher.due()))
    assert GossipItem(to, MemberState.SUSPECT, 0, 0, "a") in told[to].news


def test_who_is_suspected_denies_it_and_is_alive_again_for_all():
    suspected, other = one("a"), one("b")
    other.heard(0, "c", Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, "c"),)))
    assert other.others["a"].state is MemberState.SUSPECT
    suspected.heard(0, "c", Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, "c"),)))
    ((_, ack),) = suspected.heard(0, "b", Ping(2))
    other.heard(1, "a", ack)
    assert other.others["a"].state is MemberState.ALIVE and other.others["a"].refutations == 1
    other.heard(2, "c", Ping(2, (GossipItem("a", MemberState.SUSPECT, 1, 0, "d"),)))  # the old suspicion, late
    assert other.others["a"].state is MemberState.ALIVE


def test_a_denial_is_told_before_greetings():
    watcher = FailureDetector("a", [f"g{n}" for n in range(50)], 1, DetectorConfig(), Random(1), 0)
    watcher.heard(0, "g1", Ping(1, tuple(GossipItem(f"g{n}", MemberState.ALIVE, 1, 0) for n in range(2, 50))))
    watcher.heard(0, "g1", Ping(2, (GossipItem("a", MemberState.SUSPECT, 1, 0, "g1"),)))
    ((_, ack),) = watcher.heard(0, "g2", Ping(3))
    assert (
        ack.news[0] == GossipItem("a", MemberState.ALIVE, 1, 1) and len(ack.news) == len(watcher.others) // 3
    )  # in a crowd


def test_a_suspicion_that_others_share_lasts_shorter():
    ends = []
    for sharers in ("c", "cd"):
        watcher = one("b")
        for by in sharers:
            watcher.heard(0, by, Ping(1, (GossipItem("a", MemberState.SUSPECT, 1, 0, by),)))
        ends.append(watcher.ends[watcher.others["a"]])
    assert ends[1] < ends[0] == 6 * SECOND
    watcher.next_ping = 100 * SECOND
    watcher.tick(ends[1])
    assert watcher.others["a"].state is MemberState.DEAD and "a" not in watcher.steady(10**9)


def test_who_falls_again_and_again_is_steady_only_after_longer():
    watcher = one()
    watcher.heard(0, "b", Ping(1, alive("b", "c")))
    assert watcher.steady(2 * SECOND) == ["a", "b", "c"]  # d was never heard of
    for life in (2, 3):
        watcher.heard(2 * SECOND, "c", Ping(life, (GossipItem("b", MemberState.DEAD, life - 1, 0, "c"),)))
        watcher.heard(2 * SECOND, "c", Ping(life, alive("b", life=life)))
    assert watcher.steady(4 * SECOND) == ["a", "c"]
    assert watcher.steady(2 * SECOND + 32 * SECOND) == ["a", "b", "c"]
    assert watcher.others["b"].falls


told = st.lists(
    st.tuples(st.sampled_from(list(MemberState)), st.integers(1, 3), st.integers(0, 3), st.sampled_from("bcd")),
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(told, st.randoms(use_true_random=False))
def test_news_in_any_order_and_repeated_come_to_the_same(told, chance):
    """But for the clock: what is later of lives, denials and the worse word holds."""
    news = [GossipItem("b", *rest) for rest in told]
    mixed = news + news[:4]
    chance.shuffle(mixed)
    ends = []
    for order in (news, mixed):
        watcher = one()
        for number, word in enumerate(order):
            watcher.heard(0, "c", Ping(number, (word,)))
        other = watcher.others["b"]
        ends.append((other.incarnation, other.refutations, other.state))
    assert ends[0] == ends[1] == max([(n.life, n.denials, n.seems) for n in news], default=(0, 0, MemberState.ALIVE))


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_each_death_is_known_to_all_and_hardly_anybody_else_is_suspected(loss):
    seen = watched(Trial(30, seconds=60, loss=loss), 1)
    assert seen.unknown == 0 and 2 < seen.known_median_s < seen.known_99_s < 25
    assert max(seen.wrong_suspicions_an_hour, seen.wrong_deaths_an_hour) <= 100 * loss  # of 30 gateways' hours


def test_stalled_gateways_call_nobody_dead():
    seen = watched(Trial(30, seconds=60, stalled=0.1), 1)
    assert seen.unknown == 0 and seen.wrong_deaths_an_hour == 0


def test_a_denial_that_was_lost_is_told_again():
    """Guards against a gateway that is called dead for good: its denial was told as often as news are, and all lost."""
    awake = one("a")
    dead = GossipItem("a", MemberState.DEAD, 1, 0, "b")
    ((_, ack),) = awake.heard(0, "b", Ping(1, (dead,)))
    assert GossipItem("a", MemberState.ALIVE, 1, 1) in ack.news
    for seq in range(20):
        awake.heard(1, "c", Ping(seq))
    ((_, quiet),) = awake.heard(2, "c", Ping(30))
    assert quiet.news == ()
    ((_, again),) = awake.heard(3, "b", Ping(2, (dead,)))
    assert GossipItem("a", MemberState.ALIVE, 1, 1) in again.news and awake.denials == 1


def test_one_that_leaves_says_so_to_all_and_denies_nothing():
    leaving, other = one("a"), one("b")
    said = leaving.leave(5)
    assert sorted(name for name, _ in said) == sorted(leaving.others)
    other.heard(6, "a", dict(said)["b"])
    assert other.others["a"].state is MemberState.DEAD
    ((_, ack),) = leaving.heard(7, "b", Ping(3, (GossipItem("a", MemberState.DEAD, 1, 0, "b"),)))
    assert all(news.seems is MemberState.DEAD for news in ack.news) and leaving.denials == 0
