# Gateways stand still for a second again and again, then find all that came meanwhile.
load("_fleet.star", "small")
day("stalls", seconds = 30, says = "every task answered in time, service over 0.55", least_service = 0.55)
small()
stall(at = 5, for_s = 20, edges = [0, 1], stall_ms = 1000, every_s = 3)
