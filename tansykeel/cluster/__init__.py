"""Gateways that know each other: who is there, since when that is agreed, and what each may count as its part.

Decisions without I/O: events with a time in, messages out. `docs/cluster.md` has the argument. Only where settings name
peers; the platform's gateway imports none of it.
"""
