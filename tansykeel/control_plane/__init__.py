"""The control node as a process: sockets, clock and log for the core in `tansykeel.control`."""
