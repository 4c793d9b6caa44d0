# One link comes and goes, another drops, repeats and overtakes words; one slows to a trickle.
load("_fellows.star", "fellows")
day("flapping", seconds = 18, says = "a flapping link and words lost, told twice and out of order: no view for nothing, rules kept", least_service = 0.4)
fellows()
[link_cut(at = 3 + n, for_s = 0.5, pairs = [[0, 3]], keeps = n % 2 == 0) for n in range(8)]
link_drop(at = 3, for_s = 10, pairs = [[1, 2]], share = 0.2)
link_repeat(at = 3, for_s = 10, pairs = [[1, 4]], share = 0.3)
link_reorder(at = 3, for_s = 10, pairs = [[2, 4]], share = 0.3, ms = 150)
link_delay(at = 4, for_s = 8, to_zone = 1, both = False, ms = 60, spread = 0.9)
link_trickle(at = 6, for_s = 5, pairs = [[0, 4]], bytes_s = 1500)
link_half_open(at = 12, for_s = 2, pairs = [[1, 3]], both = False)
