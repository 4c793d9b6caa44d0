"""Limits, reserves, and the retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import PLAN, outcome, run_until_granted, scheduler, store, task

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


def test_retries_stay_within_the_budget_of_every_window():
    budget = RetryBudget(RetryBudgetRule(span=1_000, free=1.0, share=0.5), -10_000)
    budget.tasks.extend([0, 10])
    assert budget.allows(20)
    budget.retries.extend([20, 30])
    assert not budget.allows(40)
    assert budget.allows(1_032)


def test_no_retry_is_made_while_an_earlier_process_may_have_used_the_budget_up():
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
def test_a_limit_starts_empty_and_never_holds_more_than_this_gateways_part(units, now, wait):
    brain, runtime = scheduler([])
    state = VolumeState(1.0, limit=0.01, depth=20.0, started_at=runtime.now, shares=runtime.shares)
    runtime.now += now
    assert brain.limit_wait(task(runtime, units=units), state) == wait


@pytest.mark.parametrize(
    "gateways, reports, share",
    [
        (24, [], 1 / 24),
        (1, [], 1.0),
        (0, [], 1 / 2),
        (24, [(2.0, 0)] * 23, 23 / 24 + 1 / 576),
        (2, [(2.0, 8)], 0.25),
    ],
)
def test_a_reserve_is_divided_by_the_use_that_answers_report(gateways, reports, share):
    brain, _ = scheduler([])
    state = brain.volume_state(Volume("v", PLAN, gateways))
    for here, there in reports:
        state.record_use(
            here, Outcome(OutcomeKind.DELIVERED, 100, True, used_elsewhere=there), PLAN, state.use_reported_at
        )
    assert state.use_share(2.0) == pytest.approx(share)


@pytest.mark.parametrize("used, share", [(100, 0.2), (20, 1.0), (0, 1.0)])
def test_where_answers_report_no_use_elsewhere_the_meter_gives_this_gateways_share(used, share):
    """Two units a second here; in all, the metered percentage of the ten that the plan is sized for."""
    brain, _ = scheduler([])
    state = brain.volume_state(Volume("v", PLAN, 10.0))
    for _ in range(1, 40):
        state.record_use(
            2.0, Outcome(OutcomeKind.DELIVERED, 100, True, plan_use_percent=used), PLAN, state.use_reported_at + 10_000
        )
    assert state.use_share(0.0) == pytest.approx(share)


LIMITED = replace(PLAN, limit=4.0, limit_depth=40.0)
WITH_PEERS = AllowedActions(3, False, 0, False, True, False, peers=True)


def gateways_of_one_volume(*numbers):
    """Schedulers that can send each other messages, their volumes, and the states of these."""
    made = [scheduler([store()], gateways=len(numbers), gateway_index=number, allowed=WITH_PEERS) for number in numbers]
    volumes = [Volume("v", LIMITED, float(len(numbers))) for _ in numbers]
    return made, volumes, [brain.volume_state(volume) for (brain, _), volume in zip(made, volumes, strict=True)]


def deliver_messages(made, volumes):
    """Deliver the messages sent so far; replies wait for the next call."""
    sent = [runtime.sent_messages for _, runtime in made]
    for _, runtime in made:
        runtime.sent_messages = []
    for sender, messages in enumerate(sent):
        for peer, message in messages:
            for number in range(len(made)) if peer is None else [peer]:
                if number != sender:
                    made[number][0].on_peer_message(sender, replace(message, volume=volumes[number]))


def test_a_gateway_short_of_units_gets_some_from_the_others_and_none_are_created():
    """A busy gateway refused tasks while the other gateways of its volume had units that they did not need."""
    made, volumes, states = gateways_of_one_volume(0, 1, 2)
    for (_, runtime), state in zip(made, states, strict=True):
        runtime.now += 10_000
        state.fill(runtime.now)
        state.units, state.started = 6.0, True
    states[0].units = 0.5
    wanted = task(made[0][1], units=8.0, volume=volumes[0])
    run = made[0][0].serve(wanted)
    assert isinstance(next(run), Wait)
    deliver_messages(made, volumes)  # asked
    assert [state.units for state in states] == [0.5, 3.0, 3.0]
    deliver_messages(made, volumes)  # given
    assert [state.units for state in states] == [6.5, 3.0, 3.0]
    assert set(made[0][1].woken) == {(wanted, WakeReason.RECHECK)} and set(states[0].peers) == {1, 2}


def test_grants_do_not_fill_a_bucket_past_its_depth():
    made, volumes, states = gateways_of_one_volume(0, 1)
    states[0].units = states[0].depth - 1
    made[0][0].on_peer_message(1, PeerMessage(volumes[0], 5.0, True))
    assert states[0].units == states[0].depth


def test_an_ask_for_a_volume_without_tasks_here_gets_nothing():
    """A gateway would grant units of a bucket that it does not have."""
    brain, runtime = scheduler([store()], allowed=WITH_PEERS)
    brain.on_peer_message(1, PeerMessage(Volume("v", LIMITED, 2.0), 5.0, False))
    assert runtime.sent_messages == []


@pytest.mark.parametrize("peers, gateways", [(False, 3.0), (True, 1.0)])
def test_nobody_is_asked_without_peer_messages_or_with_a_single_gateway(peers, gateways):
    brain, runtime = scheduler([store()], allowed=replace(WITH_PEERS, peers=peers))
    run = brain.serve(task(runtime, units=8.0, volume=Volume("v", LIMITED, gateways)))
    assert isinstance(next(run), Nack) and runtime.sent_messages == []


GREETING, JUST_STARTED, LONG_UP = (
    PeerMessage(None, 0.0, False),
    PeerMessage(None, 0.0, True),
    PeerMessage(None, 1.0, True),
)


@pytest.mark.parametrize(
    "messages, after, units",
    [
        ([JUST_STARTED], 800, 20.0),
        ([GREETING], 800, 20.0),
        ([JUST_STARTED], 799, 0.0),
        ([], 800, 0.0),
        ([LONG_UP], 800, 0.0),
        ([JUST_STARTED, LONG_UP], 800, 0.0),
        ([LONG_UP, JUST_STARTED], 800, 0.0),
        ([LONG_UP, GREETING], 800, 0.0),
    ],
)
def test_a_limit_starts_full_only_in_a_fleet_that_has_just_started(messages, after, units):
    """A gateway that was restarted would spend again what its earlier process has spent."""
    brain, runtime = scheduler([store()], allowed=WITH_PEERS)
    volume = Volume("v", replace(LIMITED, limit=1e-6), 2.0)
    for message in messages:
        brain.on_peer_message(1, message)
    runtime.now += after
    brain.limit_wait(task(runtime, volume=volume), brain.volume_state(volume))
    assert volume.state.units == pytest.approx(units, abs=0.01)


@pytest.mark.parametrize("age, answer", [(19_999, JUST_STARTED), (20_000, LONG_UP)])
def test_the_reply_to_a_greeting_says_whether_a_gateway_has_been_up_for_long(age, answer):
    brain, runtime = scheduler([store()], allowed=WITH_PEERS)
    runtime.now += age
    brain.on_peer_message(3, GREETING)
    brain.on_peer_message(3, JUST_STARTED)  # a reply gets no reply
    assert runtime.sent_messages == [(3, answer)]


def test_gateways_are_asked_less_and_less_often_while_little_is_granted():
    """A volume that has spent its whole limit would cause a storm of messages."""
    made, volumes, states = gateways_of_one_volume(0, 1)
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
    run_until_granted(run, runtime, brain)
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


def test_the_gateways_share_scales_both_the_fill_rate_and_the_depth_of_a_limit():
    class Half:
        def accrued(self, since, now):
            return (now - since) / 2, 0.5

    state = VolumeState(1.0, limit=0.01, depth=20.0, started_at=0, shares=Half())
    state.fill(1_000)
    assert state.units == 5.0
    state.fill(100_000)
    assert state.units == 10.0  # of 20 for all gateways
