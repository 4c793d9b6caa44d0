"""Scale tests of the control plane: real processes on loopback, faults, measures taken from outside."""
