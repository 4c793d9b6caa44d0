# Not a day: five gateways that agree on views, in three zones, that several rehearsals share.
def fellows():
    gateway("edge", stall_allowance_ms = 3300)  # the longest that one may stand still
    fleet(edges = int(param("edges", 5)), stores = 6, zones = 3, cores = 2, unit_ms = 10, cold_s = 5, cold_share = 0.2,
          fall_multiple = 2.5, fall_s = 1.5, list_late_s = 0.3, talk = True, agree = True,
          lease_ms = param("lease_ms", 1500.0), ping_ms = param("ping_ms", 300.0))
    clients(retries = 1, honour = 0.7, connections = 2)
    category("read", soft_limit_ms = 400, cut_off_ms = 8000, gain = 2, late_gain = 0.15)
    category("post", soft_limit_ms = 500, cut_off_ms = 8000, gain = 3, repeat = "one-shot", ordered = True, writes = True)
    volumes("basic", count = 12, share = 0.6, reserve = 0.3, hosts = 3, stores = 3, heavy = 0.2)
    volumes("capped", count = 4, share = 0.4, reserve = 0.3, limit = 1.3, hosts = 5, stores = 2, heavy = 0.3)
    rules(hand_offs = 3, answer_grace_ms = 100, key_rest_ms = 200, budget = budget(span_ms = 2000, free = 5, share = 0.1))
    traffic(part = param("part", 0.25), surges = 0.2, mix = {"read": 0.8, "post": 0.2})
