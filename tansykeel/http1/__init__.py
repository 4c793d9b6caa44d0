"""HTTP/1.1 messages without I/O: bytes in, messages out, and bytes to send."""
