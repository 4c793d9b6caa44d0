# A control plane: two regions with three control nodes and a few gateways each, on loopback (`docs/control.md`).
#   tansykeel check examples/control.star
#   for n in 0 1 2 3 4 5; do tansykeel control examples/control.star --number $n & done
#   tansykeel control-status 127.0.0.1:7300
#   for n in 0 1 2 3 4; do tansykeel edge examples/control.star --number $n --count 5 & done
gateway("shop", listen = "127.0.0.1:0")

category("read", soft_limit_ms = 300, cut_off_ms = 2000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.15, writes = True)

# The limit of a volume is a whole: each gateway counts its lease's part of it.
plan("basic", rate = 50, limit = 100, limit_depth = 400)
volume("documents", plan = "basic")

store("store-0", address = "127.0.0.1:7100", shard = 0)
store("store-1", address = "127.0.0.1:7101", shard = 1)

control(cluster = "shop")

# Gateways 0 to 2 are of the first region, 3 and 4 of the second. A region's share is its own, also while it is cut off.
region("north", share = 0.6, gateways = 3)
region("south", share = 0.4, gateways = 2)

for place, (region_name, zone) in enumerate([
    ("north", 0), ("north", 1), ("north", 2),
    ("south", 3), ("south", 4), ("south", 4),
]):
    control_node("%s-%d" % (region_name, place % 3), region = region_name, zone = zone,
                 address = "127.0.0.1:%d" % (7300 + place))

sizes(largest = 64, usual = 4)
rules(hand_offs = 3, answer_grace_ms = 50)
