# A whole plan asks for four times its usual traffic.
load("_fleet.star", "small")
day("planburst", seconds = 30, says = "service over 0.55: the other plan keeps its reserve", least_service = 0.55)
small()
plan_burst(at = 8, for_s = 12, plan = "basic", times = 4)
