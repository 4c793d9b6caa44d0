"""A soak test of the platform's gateway: real processes on loopback, faults that overlap, a checker of invariants."""
