"""The control plane: control nodes hold the sessions of gateways and grant them leases on a part of each whole.

A whole is anything that all gateways share, such as the limit of a volume. The modules do no I/O: they take events with
their time and return actions. `docs/control.md` describes the design and why it is safe. It runs only where the
settings have `control(...)`; the platform's gateway imports none of it. Times are in tenths of a millisecond of each
process's own monotonic clock, as in `tansykeel.cluster`.
"""
