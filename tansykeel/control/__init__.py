"""The control plane: control nodes hold the gateways' sessions and grant them leases on parts of every whole.

Decisions without I/O: events with a time in, actions out. `docs/control.md` has the design and the argument. Only where
settings have `control(...)`; the platform's gateway imports none of it. Times are tenths of a millisecond of each
process's own monotonic clock, as in `tansykeel.cluster`.
"""
