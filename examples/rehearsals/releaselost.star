# Three of five are killed at once in mid-release and come back: the state is a guess until an operator says what is out.
load("_release.star", "leaving")
day("releaselost", seconds = 80, says = "a majority lost in mid-release and back: nothing goes out on a guess", least_service = 0.3)
leaving(ends = "")
kill_edge(at = 16, edges = [0, 1, 2], back_s = 4)
