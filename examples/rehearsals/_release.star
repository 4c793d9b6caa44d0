# Five gateways in two zones that agree and give leave, one out at a time, and a release of all of them.
load("_fellows.star", "fellows")
def leaving(waves = [[0], [1, 3], [2, 4]], version = "old", at = 4, ends = "done", back_s = 12):
    fellows()
    accord(share = 0.2, zone = 0.5, volume = 0.5, patience_ms = 1000, back_s = back_s, settles_s = 3, harm = 0.35, allowed = 0.1, alpha = 0.01)
    release(at = at, waves = waves, version = version, ends = ends)
