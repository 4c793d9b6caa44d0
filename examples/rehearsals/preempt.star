# Stores are taken away in waves, each told a second before, and come back on new machines, cold.
load("_fleet.star", "small")
day("preempt", seconds = 30, says = "nothing new after the grace, no cold store over its part, service over 0.5",
    least_service = 0.5)
small()
preempt(at = 5, for_s = 16, stores = [0, 1, 2, 3], notice_s = 1, after_s = 1, waves = 2)
