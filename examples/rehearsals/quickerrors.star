# One store fails most of its tasks at once: quick answers must not draw more tasks to it.
load("_fleet.star", "small")
day("quickerrors", seconds = 30, says = "service over 0.7, further hand-offs within their budget", least_service = 0.7)
small()
fast_errors(at = 6, for_s = 15, stores = [1], share = 0.8)
