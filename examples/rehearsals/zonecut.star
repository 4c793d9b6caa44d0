# A zone is cut off, and a gateway dies in it meanwhile; then the cut heals.
load("_fellows.star", "fellows")
day("zonecut", seconds = 20, says = "a zone cut and healed while a gateway dies in it: the minority falls back on safe parts, rules kept", least_service = 0.4)
fellows()
link_cut(at = 3, for_s = 9, zone = 0, keeps = False)
kill_edge(at = 6, edges = [3], back_s = 9)
drain(at = 7, stores = [1], die_after_s = 2)
