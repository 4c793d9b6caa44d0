"""Who may be out: leave for gateways and stores, releases in waves, halts and ways back, as entries of the ledger.

Decisions without I/O: what stands in an entry, and what the fleet holds true once it is decided. `docs/maintenance.md`.
"""
