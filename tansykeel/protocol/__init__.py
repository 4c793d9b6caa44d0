"""The gateway's own protocol, without I/O: bytes in, events out; records in, bytes out. Layouts: docs/protocol.md."""
