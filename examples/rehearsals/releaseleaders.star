# Gateways are killed one after the other while a release goes on: whoever leads it is among them.
load("_release.star", "leaving")
day("releaseleaders", seconds = 90, says = "leaders killed in mid-release: another goes on where it was", least_service = 0.4)
leaving(ends = "")
kill_edge(at = 8, edges = [0], back_s = 3)
kill_edge(at = 20, edges = [1], back_s = 3)
kill_edge(at = 32, edges = [2], back_s = 3)
kill_edge(at = 44, edges = [3], back_s = 3)
