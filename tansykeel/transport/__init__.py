"""Connections over asyncio's socket calls (`add_reader`, `sock_sendall`) on epoll, with stated bounds."""
