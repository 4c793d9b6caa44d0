# A first look: two edges, four stores, and one store that restarts cold in the middle.
day("demo", seconds = 14, says = "no rule broken; service over 0.7 although a store restarts cold", least_service = 0.5)
fleet(edges = 2, stores = 4, cores = 2, unit_ms = 8, cold_s = 4)
category("read", soft_limit_ms = 300, cut_off_ms = 2000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 400, cut_off_ms = 3000, gain = 2, late_gain = 0.15, writes = True)
volumes("basic", count = 12, share = 0.6, reserve = 0.3, hosts = 2, stores = 2, heavy = 0.2)
volumes("priority", count = 6, share = 0.4, reserve = 1.0, hosts = 2, stores = 2, weight = 2)
traffic(part = 0.5, surges = 0.2, mix = {"read": 0.7, "write": 0.3})
restart(at = 5, stores = [1], down_s = 1)
