"""Faults on connections of many gateways to a few control nodes."""

from random import Random

import pytest

from tansykeel.rehearse.connection_faults import (
    RETRANSMIT,
    SECOND,
    ConnectionFault,
    ConnectionFaults,
    Direction,
    End,
    Ends,
    FaultKind,
    loss,
    one_way_silence,
    region_cut,
    zone_cut,
)

GATEWAY = End("gateway-1", "gateway", "north", 0)
OTHER_ZONE = End("gateway-2", "gateway", "north", 1)
NODE = End("control-0", "node", "north", 0)
NEIGHBOUR = End("control-1", "node", "north", 1)


def struck(fault, pairs=((GATEWAY, NODE), (OTHER_ZONE, NODE), (NODE, NEIGHBOUR))):
    """Which pairs a fault strikes, as letters: there and back."""
    return ["".join(way for way, (a, b) in (("t", pair), ("b", pair[::-1])) if fault.strikes(a, b)) for pair in pairs]


@pytest.mark.parametrize(
    ("fault", "found"),
    [
        (zone_cut(1, 1), ["", "tb", "tb"]),
        (region_cut("north", 1), ["tb", "tb", ""]),
        (region_cut("south", 1), ["", "", ""]),
        (one_way_silence(Ends(name="control-0"), Ends(kind="gateway"), 1), ["b", "b", ""]),
        (loss(0.01, 1), ["tb", "tb", "tb"]),
    ],
)
def test_which_connections_a_fault_strikes(fault, found):
    assert struck(fault) == found


def caused(*faults):
    made = ConnectionFaults(Random(1))
    for fault in faults:
        made.cause(0, fault)
    return Direction(made, OTHER_ZONE, NODE), Direction(made, GATEWAY, NODE)


def test_a_cut_keeps_all_back_until_it_is_over():
    cut, free = caused(zone_cut(1, 1))
    assert [cut.goes_on(5), cut.goes_on(7), cut.goes_on(SECOND + 1)] == [SECOND, SECOND, SECOND + 1]
    assert free.goes_on(7) == 7


def test_a_lost_frame_is_sent_again_and_all_behind_it_waits():
    lossy, _ = caused(loss(0.1, 1_000))
    came = [n * 10_000 for n in range(20_000)]
    went = [lossy.goes_on(at) for at in came]
    assert went == sorted(went)
    late = [out - at for at, out in zip(came, went, strict=True)]
    assert max(late) >= 3 * RETRANSMIT and late.count(0) > 100
    _, alone = caused(loss(0.01, 1e9))
    apart = [n * 60 * SECOND for n in range(10_000)]
    lost = [wait for at in apart if (wait := alone.goes_on(at) - at)]
    assert 70 < len(lost) < 130 and set(lost) <= {RETRANSMIT, 3 * RETRANSMIT}


def test_delays_add_to_losses_and_keep_the_order():
    delay = ConnectionFault(FaultKind.DELAY, 1, delay_ms=100, spread=0.5)
    delayed, _ = caused(delay)
    went = [delayed.goes_on(n * 100) for n in range(50)]
    assert went == sorted(went) and 50_000 <= went[0] <= 150_000
    both, _ = caused(delay, loss(1.0, 1))
    assert both.goes_on(0) >= 50_000 + RETRANSMIT


def test_a_direction_learns_who_speaks_and_keeps_its_order():
    faults = ConnectionFaults(Random(1))
    direction = Direction(faults, OTHER_ZONE, NODE)
    faults.cause(0, zone_cut(1, 1))
    assert direction.goes_on(1) == SECOND
    direction.leads(GATEWAY, NODE)
    assert direction.goes_on(2) == SECOND and direction.goes_on(2 * SECOND) == 2 * SECOND
