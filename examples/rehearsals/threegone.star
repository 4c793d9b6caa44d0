# Three of five gateways are killed at once: no view can form, the others go on with their safe parts.
load("_fellows.star", "fellows")
day("threegone", seconds = 20, says = "three of five killed at once: service on safe parts, rules kept, and a view once all are back", least_service = 0.3)
fellows()
kill_edge(at = 4, edges = [0, 1, 2], back_s = 6)
restart(at = 7, stores = [2], down_s = 1.0)
