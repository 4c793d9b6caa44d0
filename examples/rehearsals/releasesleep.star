# Gateways stand still for three seconds each in mid-release, leaders among them.
load("_release.star", "leaving")
day("releasesleep", seconds = 80, says = "leaders that stand still in mid-release start nothing late", least_service = 0.4)
leaving(ends = "")
stall(at = 10, edges = [0], stall_ms = 3000, every_s = 20, for_s = 30)
stall(at = 18, edges = [1], stall_ms = 3000, every_s = 20, for_s = 30)
link_delay(at = 12, for_s = 30, ms = 80)
link_drop(at = 20, for_s = 20, share = 0.05)
