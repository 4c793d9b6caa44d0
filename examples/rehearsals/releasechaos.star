# Troubles drawn from the seed while a release goes on: another day with each.
load("_release.star", "leaving")
day("releasechaos", seconds = 50, says = "drawn troubles in a release: never more out than the bounds allow, no stale leader obeyed")
leaving(at = 5, ends = "")
chaos(least = 3, most = int(param("most", 6)), after_s = 6, until_s = 40)
