"""Placement of waiting tasks on machines."""
