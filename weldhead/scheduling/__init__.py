"""Placement, preemption, reservations, forecasts and autoscaling.

The modules compute decisions from the in-memory cluster state and a given time. They do no I/O.
"""
