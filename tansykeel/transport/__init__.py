"""Connections over asyncio's socket calls (`add_reader`, `sock_sendall`) on uvloop, with stated bounds."""
