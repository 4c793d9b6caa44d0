# Gateways crash and are back before anybody suspects them: another life under the same name.
load("_fellows.star", "fellows")
day("quickback", seconds = 16, says = "crash and restart within the suspicion: a new life counts on nothing of the old; rules kept", least_service = 0.4)
fellows()
kill_edge(at = 4, edges = [1], back_s = 0.1)
kill_edge(at = 9, edges = [0], back_s = 0.1)
restart_edge(at = 11, edges = [4], down_s = 0.2)
