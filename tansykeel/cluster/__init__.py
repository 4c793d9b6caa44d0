"""Cluster of gateways: failure detection, agreed membership, and the part of each limit that every member may use.

Makes decisions without I/O: it takes events with their times and returns messages. `docs/cluster.md` argues why it is
correct. Control nodes use it, and gateways whose settings name peers or control nodes; the platform's gateway imports
none of it.
"""
