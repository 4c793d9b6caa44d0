# A zone is cut off from the others in mid-release, and a gateway of it is killed meanwhile.
load("_release.star", "leaving")
day("releasecut", seconds = 90, says = "a release through a zone cut: nothing more goes out than its bounds allow, and it goes on once healed", least_service = 0.4)
leaving(ends = "")
link_cut(at = 14, for_s = 10, zone = 0, keeps = False)
kill_edge(at = 18, edges = [3], back_s = 5)
