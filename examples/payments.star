# Shaped like a payment store: reserved and plain ledgers, a limited export plan, one-shot postings in order, a list
# that answers when asked, and the figures of every rule.
gateway("payments", listen = "127.0.0.1:7000", unit_bytes = 4096, body_memory = 512 << 20, largest_body = 4 << 20,
        stall_allowance_ms = 800, stop_within_s = 10)

category("record-read", soft_limit_ms = 250, cut_off_ms = 1500, gain = 3, late_gain = 0.15)
category("record-write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.2, writes = True,
         repeat = "stamped", scope = "shard", window_ms = 10000)
category("posting", soft_limit_ms = 400, cut_off_ms = 3000, gain = 3, writes = True, repeat = "one-shot",
         ordered = True)
category("export-read", soft_limit_ms = 800, cut_off_ms = 2500, gain = 1, late_gain = 0.2)

plan("standard", rate = 6, reserve = 3, weight = 1, price = 0.8)
plan("priority", rate = 12, reserve = 9.6, weight = 2, price = 0.9)
plan("export", rate = 8, limit = 12, limit_depth = 96, limit_slack = 9.6)

for n in range(40):
    volume("ledger-%d" % n, plan = "standard", gateways = 2)
for n in range(12):
    volume("merchant-%d" % n, plan = "priority", gateways = 2)
volume("statements", plan = "export", gateways = 4)

listing(address = "127.0.0.1:7050", mode = "ask", ask_within_ms = 10000, drain_grace_ms = 1000)
sizes(largest = 8, usual = 2)
rules(hand_offs = 3, answer_grace_ms = 50, key_rest_ms = 500, come_back = True, longest_come_back_ms = 1000,
      cold = cold(share = 0.16, warm_s = 16, multiple = 2.5, span_s = 1, always_safe = 32),
      budget = budget(span_ms = 10000, free = 20, share = 0.1))
