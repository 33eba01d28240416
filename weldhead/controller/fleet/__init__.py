"""Machines: renting, entering and returning them, and how many there should be."""
