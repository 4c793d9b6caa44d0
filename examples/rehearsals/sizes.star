# The same day at any size: tasks, volumes and troubles in proportion to the stores.
stores = param("stores", 30)
edges = param("edges", 30)
day("sizes", seconds = 16,
    says = "all rules kept at every size, service over 0.7 while a third of the stores restart cold and two are slow",
    least_service = 0.7)
fleet(edges = edges, stores = stores, zones = 3, cores = 3, unit_ms = 25, cold_s = 6, cold_share = 0.2,
      fall_multiple = 2.5, fall_s = 1.5, pause_every_s = 5, pause_ms = 70, defer = 0.3, seek = 0.5, list_late_s = 1)
category("read", soft_limit_ms = 600, cut_off_ms = 3000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 750, cut_off_ms = 6000, gain = 2, late_gain = 0.15, writes = True)
volumes("basic", count = 4 * stores, share = 0.54, reserve = 0.3, hosts = 3, stores = 4, heavy = 0.2)
volumes("priority", count = 2 * stores, share = 0.46, reserve = 1.0, hosts = 12, stores = 3, weight = 2)
traffic(part = param("part", 0.55), surges = 0.2, mix = {"read": 0.65, "write": 0.35})
mass_restart(at = 5, stores = [n for n in range(max(stores // 3, 1))], down_s = 1, within_s = 0.4)
slow(at = 3, for_s = 8, stores = [stores - 1, stores - 2], factor = 3)
