# Some tasks cost many times the usual work, which nobody can tell before.
load("_fleet.star", "small")
day("costly", seconds = 30, says = "service over 0.6: costly tasks hold up their store, not the others", least_service = 0.6)
small()
heavy_tail(at = 8, for_s = 12, stores = [0, 1, 2, 3, 4, 5], factor = 15, share = 0.02)
