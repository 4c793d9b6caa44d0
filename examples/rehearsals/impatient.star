# Clients give up after a fifth of their time, and come back.
load("_fleet.star", "small")
day("impatient", seconds = 30, says = "each answered before it gives up, service over 0.7", least_service = 0.7)
small()
give_up(at = 5, for_s = 15, patience = 0.2)
burst(at = 8, for_s = 5, times = 1.6)
