"""Distribution of gateways over the control nodes of a region."""

from collections import Counter

from tansykeel.control.placement import placement_order

NODES = ("control-0", "control-1", "control-2")
GATEWAYS = [f"edge-{number}" for number in range(620)]


def test_620_gateways_spread_evenly_over_three_nodes():
    held = Counter(placement_order(gateway, NODES)[0] for gateway in GATEWAYS)
    # mean 206.7 each, standard deviation 11.7
    assert sorted(held.values()) == [197, 209, 214]


def test_gateways_of_a_failed_node_spread_over_the_others_and_no_other_gateway_moves():
    remaining = NODES[:2]
    firsts = {gateway: placement_order(gateway, NODES)[0] for gateway in GATEWAYS}
    after = {gateway: placement_order(gateway, remaining)[0] for gateway in GATEWAYS}
    assert all(after[gateway] == node for gateway, node in firsts.items() if node in remaining)
    moved = Counter(after[gateway] for gateway, node in firsts.items() if node == NODES[2])
    assert min(moved.values()) > 0.4 * sum(moved.values())


def test_order_does_not_depend_on_the_order_in_the_settings():
    assert all(placement_order(gateway, NODES) == placement_order(gateway, NODES[::-1]) for gateway in GATEWAYS)


def test_node_of_weight_two_gets_twice_as_many_gateways():
    held = Counter(placement_order(gateway, NODES, {NODES[0]: 2.0})[0] for gateway in GATEWAYS)
    assert 0.45 < held[NODES[0]] / len(GATEWAYS) < 0.55
