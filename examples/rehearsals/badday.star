# Everything at once that the rules are for: each kind of trouble strikes in its turn while some volumes surge.
day("badday", seconds = 40,
    says = "no rule broken through drains, deaths, a cold floor, stalls, a killed edge, a late list; service over 0.5",
    least_service = 0.4)
gateway("edge", stall_allowance_ms = 1700, unit_bytes = 4096)
fleet(edges = 3, stores = 8, zones = 2, cores = 2, unit_ms = 10, cold_s = 4, cold_share = 0.2, fall_multiple = 3.0,
      fall_s = 1.0, pause_every_s = 4, pause_ms = 60, defer = 0.3, seek = 0.5, list_late_s = 0.3)
clients(retries = 1, honour = 0.7, connections = 2)

category("read", soft_limit_ms = 300, cut_off_ms = 3000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.15, writes = True)
category("pay", soft_limit_ms = 400, cut_off_ms = 3000, gain = 3, repeat = "stamped", scope = "shard",
         window_ms = 8000, writes = True)
category("post", soft_limit_ms = 500, cut_off_ms = 3000, gain = 3, repeat = "one-shot", ordered = True, writes = True)

volumes("basic", count = 16, share = 0.5, reserve = 0.3, hosts = 2, stores = 3, heavy = 0.2)
volumes("priority", count = 8, share = 0.35, reserve = 1.0, hosts = 3, stores = 3, weight = 2, heavy = 0.1)
volumes("capped", count = 4, share = 0.15, reserve = 0.3, limit = 1.2, hosts = 2, stores = 2, heavy = 0.5)

rules(hand_offs = 3, answer_grace_ms = 100, key_rest_ms = 200, budget = budget(span_ms = 2000, free = 5, share = 0.1))
traffic(part = param("part", 0.45), surges = 0.25, mix = {"read": 0.55, "write": 0.25, "pay": 0.12, "post": 0.08},
        fresh = ["write"], reread = 0.2)

vanish(at = 2, for_s = 30, share = 0.03)
slow(at = 3, for_s = 6, stores = [0], factor = 5)
fast_errors(at = 5, for_s = 5, stores = [1], share = 0.6)
drain(at = 6, stores = [2], die_after_s = 2)
replace(at = 10, stores = [2], after_s = 0.5)
stall(at = 8, for_s = 8, edges = [0], stall_ms = 1500, every_s = 2.5)
list_late(at = 12, for_s = 10, late_s = 2.5)
mass_restart(at = 14, stores = [4, 5, 6, 7], down_s = 1.0, within_s = 0.2)
give_up(at = 18, for_s = 4, patience = 0.25)
plan_burst(at = 19, for_s = 5, plan = "capped", times = 4)
reset(at = 20, for_s = 0.5, stores = [3])
cut(at = 21, stores = [0, 1])
kill_edge(at = 23, edges = [1], back_s = 2)
neighbour(at = 25, for_s = 6, stores = [0, 1], share = 0.5)
heavy_tail(at = 26, for_s = 6, stores = [2, 3], factor = 10, share = 0.02)
pauses(at = 27, for_s = 5, stores = [6], pause_ms = 250, every_s = 1.0)
silent(at = 28, for_s = 2, stores = [5])
full(at = 30, for_s = 1, stores = [4])
refuse(at = 31, for_s = 1, stores = [6])
list_gone(at = 32, for_s = 4)
die(at = 33, stores = [7])
burst(at = 34, for_s = 3, times = 1.8)
report_late(at = 35, for_s = 4, stores = [0, 1, 2, 3], late_s = 2)
