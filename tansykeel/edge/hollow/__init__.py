"""Hollow gateways: many gateways' sessions with the control plane in one process, without clients and stores.

They run the code that a real gateway runs for control, so what one of them spends is what control costs a gateway.
"""
