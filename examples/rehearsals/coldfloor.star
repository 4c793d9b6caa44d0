# A floor of stores restarts cold together under 150 gateways; each gateway alone knows only its own traffic.
day("coldfloor", seconds = 40,
    says = "all rules kept, no cold store knocked over, service over 0.6 while a third of the stores warm up",
    least_service = 0.6)
fleet(edges = param("edges", 150), stores = param("stores", 30), zones = 3, cores = 3, unit_ms = 25, cold_s = 17, cold_share = 0.19,
      fall_multiple = 2.5, fall_s = 3, pause_every_s = 5, pause_ms = 70, defer = 0.3, seek = 0.5, list_late_s = 1.5)
category("read", soft_limit_ms = 600, cut_off_ms = 3000, gain = 2, late_gain = 0.15)
category("write", soft_limit_ms = 750, cut_off_ms = 6000, gain = 2, late_gain = 0.15, writes = True)
volumes("basic", count = param("basic", 120), share = 0.54, reserve = 0.3, hosts = 3, stores = 4, heavy = 0.2)
volumes("priority", count = param("priority", 60), share = 0.46, reserve = 1.0, hosts = 12, stores = 3, weight = 2)
traffic(part = param("part", 0.55), surges = 0.2, mix = {"read": 0.65, "write": 0.35})
mass_restart(at = 10, stores = [n for n in range(param("struck", 10))], down_s = 2, within_s = 0.4)
