# A good release goes through a fleet under load: never more than one gateway out.
load("_release.star", "leaving")
day("release", seconds = 110, says = "a release in waves, one gateway out at a time, none for longer than it takes", least_service = 0.5)
leaving()
