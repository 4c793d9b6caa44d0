"""The gateway for the platform: its configuration, discovery, clients and stores over HTTP/1.1, on the edge's core."""
