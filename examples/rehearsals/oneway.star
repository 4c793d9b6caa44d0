# Words of one gateway to two others are lost, theirs reach it: who is away is a matter of opinion.
load("_fellows.star", "fellows")
day("oneway", seconds = 16, says = "a one-way cut of a gateway's words: parts stay under the whole, rules kept", least_service = 0.4)
fellows()
link_cut(at = 3, for_s = 6, pairs = [[0, 1], [0, 2]], both = False, keeps = False)
link_cut(at = 11, for_s = 2, pairs = [[3, 4]], both = False)
