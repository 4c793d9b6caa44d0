# One store of six runs six times slower, another is shared with a neighbour.
load("_fleet.star", "small")
day("slowtenth", seconds = 30, says = "service over 0.65: only what lies on the slow store suffers", least_service = 0.65)
small()
slow(at = 6, for_s = 15, stores = [2], factor = 6)
neighbour(at = 10, for_s = 10, stores = [3], share = 0.5)
