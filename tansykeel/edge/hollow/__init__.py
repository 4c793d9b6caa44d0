"""Hollow gateways: the control-plane sessions of many gateways in one process, without clients and stores.

They run the same control-plane code as a real gateway, so the cost of one of them is what the control plane costs a
gateway.
"""
