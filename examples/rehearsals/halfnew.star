# Half of the gateways are replaced within 5 s, one after the other.
load("_fellows.star", "fellows")
day("halfnew", seconds = 18, says = "half replaced within 5 s: a view follows each, parts stay under the whole; rules kept", least_service = 0.4)
fellows()
kill_edge(at = 3, edges = [0], back_s = 1)
restart_edge(at = 5, edges = [2], down_s = 0.5)
kill_edge(at = 7, edges = [4], back_s = 1)
