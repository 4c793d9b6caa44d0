# The list runs seconds behind while stores drain, die and come back, then is gone for a while.
load("_fleet.star", "small")
day("latelist", seconds = 30, says = "no drain broken, no cold store over its part, service over 0.55", least_service = 0.55)
small()
list_late(at = 4, for_s = 20, late_s = 4)
drain(at = 6, stores = [0], die_after_s = 2)
restart(at = 9, stores = [1, 2], down_s = 1)
replace(at = 14, stores = [0], after_s = 0.5)
list_gone(at = 20, for_s = 5)
