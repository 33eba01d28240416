"""Decisions on the size of the fleet: scale out, scale in and consolidation."""
