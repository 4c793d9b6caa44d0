"""Planned outages of gateways and stores: a disruption budget, and rollouts in waves with a canary analysis.

Permissions to go out of service, rollouts, halts and rollbacks are entries of the gateways' replicated log. The package
holds the entries, the state they lead to and what the leader offers; it does no I/O. See `docs/maintenance.md`.
"""
