"""The platform's front: its configuration, discovery, clients and stores over HTTP/1.1, around the edge's core."""
