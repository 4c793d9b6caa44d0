# A first try: one gateway before two stores that are known by address, no list service.
#   tansykeel check examples/first.star
#   tansykeel store --name store-0 --shard 0 --listen 127.0.0.1:7100 --data /tmp/first --record /tmp/first-0.rec &
#   tansykeel store --name store-1 --shard 1 --listen 127.0.0.1:7101 --data /tmp/first --record /tmp/first-1.rec &
#   tansykeel edge examples/first.star --log console
gateway("first", listen = "127.0.0.1:7000")

category("read", soft_limit_ms = 300, cut_off_ms = 2000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.15, writes = True)

plan("basic", rate = 50)
volume("documents", plan = "basic")

store("store-0", address = "127.0.0.1:7100", shard = 0)
store("store-1", address = "127.0.0.1:7101", shard = 1)

sizes(largest = 64, usual = 4)
rules(hand_offs = 3, answer_grace_ms = 50)
