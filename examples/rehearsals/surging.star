# A few volumes ask for several times their rate, over all stores.
load("_fleet.star", "small")
day("surging", seconds = 30, says = "service over 0.7: volumes within their reserve are served as before", least_service = 0.7)
small()
hot_key(at = 6, for_s = 8, volumes = 2, share = 0.6)
scan(at = 18, for_s = 8, volumes = 2, share = 0.4)
