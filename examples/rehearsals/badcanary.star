# The new version ends as it starts: the canary never comes back whole, the release halts and goes back.
load("_release.star", "leaving")
day("badcanary", seconds = 60, says = "a canary that crashes at its start: halted in its wave, and back on the version before", least_service = 0.4)
leaving(version = "crashes", ends = "given up", at = param("at", 4.0), back_s = param("back_s", 12.0))
