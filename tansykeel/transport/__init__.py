"""Connections over asyncio's socket calls (`sock_recv_into`, `sock_sendall`) on uvloop, with stated bounds."""
