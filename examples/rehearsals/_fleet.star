# Not a day: the small fleet that several rehearsals share.
def small():
    gateway("edge", stall_allowance_ms = 1200)
    fleet(edges = 3, stores = 6, zones = 2, cores = 2, unit_ms = 10, cold_s = 5, cold_share = 0.2, fall_multiple = 2.5,
          fall_s = 1.5, pause_every_s = 4, pause_ms = 60, defer = 0.3, seek = 0.4, list_late_s = 0.5)
    category("read", soft_limit_ms = 300, cut_off_ms = 3000, gain = 2, late_gain = 0.15)
    category("write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.15, writes = True)
    volumes("basic", count = 18, share = 0.54, reserve = 0.3, hosts = 2, stores = 3, heavy = 0.2)
    volumes("priority", count = 9, share = 0.46, reserve = 1.0, hosts = 3, stores = 2, weight = 2, heavy = 0.1)
    rules(hand_offs = 3, answer_grace_ms = 100, budget = budget(span_ms = 5000, free = 10, share = 0.2))
    traffic(part = param("part", 0.5), surges = 0.2, mix = {"read": 0.65, "write": 0.35})
