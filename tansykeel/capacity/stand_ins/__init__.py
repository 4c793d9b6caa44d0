"""Processes that stand in for clients, stores and the list of stores while a real gateway is measured.

They answer at once and decide nothing: what they cost themselves tells little of real clients and stores.
"""
