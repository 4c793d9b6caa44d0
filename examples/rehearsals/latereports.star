# What stores tell of use elsewhere comes seconds late, while the load moves.
load("_fleet.star", "small")
day("latereports", seconds = 30, says = "service over 0.75 although use is told 3 s late", least_service = 0.75)
small()
report_late(at = 5, for_s = 20, stores = [0, 1, 2, 3, 4, 5], late_s = 3)
hot_key(at = 10, for_s = 8, volumes = 2, share = 0.4)
