# A gateway stands still for 3 s and comes back believing that it is whole.
load("_fellows.star", "fellows")
day("sleeper", seconds = 16, says = "a gateway that stood still for 3 s counts on nothing that ran out meanwhile; rules kept", least_service = 0.4)
fellows()
stall(at = 4, for_s = 0.1, edges = [2], stall_ms = 3000, every_s = 1.0)
restart(at = 5, stores = [3], down_s = 1.0)
