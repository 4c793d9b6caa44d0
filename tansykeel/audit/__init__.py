"""What passed on the sockets, written down by both ends, and the rules judged from it."""
