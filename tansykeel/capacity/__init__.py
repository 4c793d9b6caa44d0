"""Capacity planning: measured slopes, and what they give for a deployment of a given size.

`records`, `fit`, `drivers`, `plan`, `bad_hours` and `page` are pure. `slope_file` and `target` read and write their
files. `registry` names the experiments; each module under `experiments` holds some, which start real processes.
"""
