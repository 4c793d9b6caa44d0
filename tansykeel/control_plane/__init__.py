"""The control node as a process: sockets, clock and log around the core of `tansykeel.control`."""
