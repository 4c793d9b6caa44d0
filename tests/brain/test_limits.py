"""Limits, reserves, and the budget of further hand-offs."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import PLAN, grant_turn, outcome, scheduler, store, task

from tansykeel.brain.volumes import RetryBudget, VolumeState
from tansykeel.interface import (
    AllowedActions,
    HandOff,
    Nack,
    Outcome,
    OutcomeKind,
    PeerMessage,
    RetryBudgetRule,
    Volume,
    Wait,
    WakeReason,
)


def test_further_hand_offs_stay_within_the_budget_of_every_window():
    budget = RetryBudget(RetryBudgetRule(span=1_000, free=1.0, share=0.5), -10_000)
    budget.tasks.extend([0, 10])
    assert budget.allows(20)
    budget.retries.extend([20, 30])
    assert not budget.allows(40)
    assert budget.allows(1_032)


def test_a_new_life_makes_no_further_hand_off_while_an_earlier_one_may_have_used_the_budget_up():
    budget = RetryBudget(RetryBudgetRule(span=1_000, free=2.0, share=0.5), 500)
    budget.tasks.extend([600] * 9)
    assert not budget.allows(600) and not budget.allows(1_500)
    assert budget.allows(1_501)


@pytest.mark.parametrize(
    "units, now, wait",
    [
        (5.0, 0, 501),
        (5.0, 501, 0),
        (20.0, 10**6, 0),
        (20.1, 10**6, 11),
    ],
)
def test_a_limit_starts_empty_and_never_gives_more_than_this_gateways_part(units, now, wait):
    brain, runtime = scheduler([])
    state = VolumeState(1.0, limit=0.01, depth=20.0, started_at=runtime.now, shares=runtime.shares)
    runtime.now += now
    assert brain.limit_wait(task(runtime, units=units), state) == wait


@pytest.mark.parametrize(
    "hosts, told, part",
    [
        (24, [], 1 / 24),
        (1, [], 1.0),
        (0, [], 1 / 2),
        (24, [(2.0, 0)] * 23, 23 / 24 + 1 / 576),
        (2, [(2.0, 8)], 0.25),
    ],
)
def test_a_reserve_is_split_by_the_use_that_answers_tell_of(hosts, told, part):
    brain, _ = scheduler([])
    state = brain.volume_state(Volume("v", PLAN, hosts))
    for here, there in told:
        state.record_use(
            here, Outcome(OutcomeKind.DELIVERED, 100, True, used_elsewhere=there), PLAN, state.use_reported_at
        )
    assert state.use_share(2.0) == pytest.approx(part)


@pytest.mark.parametrize("used, part", [(100, 0.2), (20, 1.0), (0, 1.0)])
def test_where_nodes_do_not_tell_the_meter_gives_this_gateways_part(used, part):
    """Two units a second here, of ten that the plan is sized for times what the meter says."""
    brain, _ = scheduler([])
    state = brain.volume_state(Volume("v", PLAN, 10.0))
    for _ in range(1, 40):
        state.record_use(
            2.0, Outcome(OutcomeKind.DELIVERED, 100, True, plan_use_percent=used), PLAN, state.use_reported_at + 10_000
        )
    assert state.use_share(0.0) == pytest.approx(part)


LIMITED = replace(PLAN, limit=4.0, limit_depth=40.0)
TALK = AllowedActions(3, False, 0, False, True, False, peers=True)


def of_gateways(*numbers):
    """Schedulers of one volume's gateways whose words reach each other, and what they have of its limit."""
    made = [scheduler([store()], gateways=len(numbers), gateway_index=number, allowed=TALK) for number in numbers]
    volumes = [Volume("v", LIMITED, float(len(numbers))) for _ in numbers]
    return made, volumes, [brain.volume_state(volume) for (brain, _), volume in zip(made, volumes, strict=True)]


def pass_on(made, volumes):
    """Deliver what was said; what is said to that is left for the next call."""
    said = [runtime.sent_messages for _, runtime in made]
    for _, runtime in made:
        runtime.sent_messages = []
    for me, words in enumerate(said):
        for peer, word in words:
            for number in range(len(made)) if peer is None else [peer]:
                if number != me:
                    made[number][0].on_peer_message(me, replace(word, volume=volumes[number]))


def test_a_gateway_short_of_a_limit_gets_units_from_the_others_and_none_are_made():
    """Guards against a lead that refuses while the other gateways of its volume keep what nobody asks for."""
    made, volumes, states = of_gateways(0, 1, 2)
    for (_, runtime), state in zip(made, states, strict=True):
        runtime.now += 10_000
        state.fill(runtime.now)
        state.units, state.started = 6.0, True
    states[0].units = 0.5
    wanted = task(made[0][1], units=8.0, volume=volumes[0])
    run = made[0][0].serve(wanted)
    assert isinstance(next(run), Wait)
    pass_on(made, volumes)  # asked
    assert [state.units for state in states] == [0.5, 3.0, 3.0]
    pass_on(made, volumes)  # given
    assert [state.units for state in states] == [6.5, 3.0, 3.0]
    assert set(made[0][1].woken) == {(wanted, WakeReason.RECHECK)} and set(states[0].peers) == {1, 2}


def test_no_part_of_a_limit_grows_past_its_depth_by_gifts():
    made, volumes, states = of_gateways(0, 1)
    states[0].units = states[0].depth - 1
    made[0][0].on_peer_message(1, PeerMessage(volumes[0], 5.0, True))
    assert states[0].units == states[0].depth


def test_an_ask_for_a_volume_that_no_task_here_named_gets_nothing():
    """Guards against a gateway that gives of a part that it does not have."""
    brain, runtime = scheduler([store()], allowed=TALK)
    brain.on_peer_message(1, PeerMessage(Volume("v", LIMITED, 2.0), 5.0, False))
    assert runtime.sent_messages == []


@pytest.mark.parametrize("peers, hosts", [(False, 3.0), (True, 1.0)])
def test_nobody_is_asked_where_gateways_do_not_talk_or_there_is_one(peers, hosts):
    brain, runtime = scheduler([store()], allowed=replace(TALK, peers=peers))
    run = brain.serve(task(runtime, units=8.0, volume=Volume("v", LIMITED, hosts)))
    assert isinstance(next(run), Nack) and runtime.sent_messages == []


GREETING, YOUNG, OLD = PeerMessage(None, 0.0, False), PeerMessage(None, 0.0, True), PeerMessage(None, 1.0, True)


@pytest.mark.parametrize(
    "words, after, units",
    [
        ([YOUNG], 800, 20.0),
        ([GREETING], 800, 20.0),
        ([YOUNG], 799, 0.0),
        ([], 800, 0.0),
        ([OLD], 800, 0.0),
        ([YOUNG, OLD], 800, 0.0),
        ([OLD, YOUNG], 800, 0.0),
        ([OLD, GREETING], 800, 0.0),
    ],
)
def test_a_limit_starts_full_only_where_others_start_too_and_none_has_run_for_long(words, after, units):
    """Guards against a gateway that comes back and spends once more what its earlier self has spent."""
    brain, runtime = scheduler([store()], allowed=TALK)
    volume = Volume("v", replace(LIMITED, limit=1e-6), 2.0)
    for word in words:
        brain.on_peer_message(1, word)
    runtime.now += after
    brain.limit_wait(task(runtime, volume=volume), brain.volume_state(volume))
    assert volume.state.units == pytest.approx(units, abs=0.01)


@pytest.mark.parametrize("age, answer", [(19_999, YOUNG), (20_000, OLD)])
def test_the_answer_to_a_greeting_says_whether_a_gateway_has_run_for_long(age, answer):
    brain, runtime = scheduler([store()], allowed=TALK)
    runtime.now += age
    brain.on_peer_message(3, GREETING)
    brain.on_peer_message(3, YOUNG)  # an answer is not answered
    assert runtime.sent_messages == [(3, answer)]


def test_while_little_comes_gateways_are_asked_ever_more_seldom():
    """Guards against a storm of words when a volume has spent its whole limit."""
    made, volumes, states = of_gateways(0, 1)
    brain, runtime = made[0]
    states[0].peers[1] = None
    times = []
    for _ in range(2_000):
        runtime.now += 20
        states[0].units = 0.0
        if brain.ask_peers(volumes[0], states[0]) and runtime.sent_messages:
            times.append(runtime.now)
            runtime.sent_messages.clear()
    gaps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert gaps[0] < gaps[2] < gaps[-1] == 10_000


def test_a_limited_volume_is_charged_at_its_first_hand_off_only():
    plan = replace(PLAN, limit=1_000.0, limit_depth=100.0)
    brain, runtime = scheduler([store()], plans=(plan,))
    volume = Volume("v", plan, 1.0)
    state = brain.volume_state(volume)
    runtime.now += 100_000
    run = brain.serve(task(runtime, units=8.0, volume=volume))
    grant_turn(run, runtime, brain)
    assert state.units == 92.0
    run.send(outcome(OutcomeKind.ERROR))
    run.send(WakeReason.GRANTED)
    assert state.units == 92.0


def test_held_tasks_of_a_limited_volume_cannot_leave_in_one_burst():
    plan = replace(PLAN, limit=1.0, limit_depth=16.0)
    brain, runtime = scheduler([store()], plans=(plan,))
    volume, node = Volume("v", plan, 1.0), next(iter(brain.nodes.values()))
    state = brain.volume_state(volume)
    state.units, node.in_flight, node.tokens_out = 10.0, 1, 1e9
    runs = [brain.serve(task(runtime, units=8.0, volume=volume)) for _ in range(2)]
    assert all(isinstance(next(run), Wait) for run in runs)
    node.in_flight = node.tokens_out = 0
    node.bucket = 100.0
    node.run_round()
    assert len(runtime.woken) == 1
    assert isinstance(runs[0].send(WakeReason.GRANTED), HandOff) and state.units == 2.0
    node.in_flight = node.tokens_out = 0
    node.run_round()
    assert not isinstance(runs[1].send(WakeReason.GRANTED), HandOff)


def test_a_limit_is_earned_by_the_part_that_counts_and_a_smaller_one_holds_less():
    class Half:
        def accrued(self, since, now):
            return (now - since) / 2, 0.5

    state = VolumeState(1.0, limit=0.01, depth=20.0, started_at=0, shares=Half())
    state.fill(1_000)
    assert state.units == 5.0
    state.fill(100_000)
    assert state.units == 10.0  # of 20 for all
