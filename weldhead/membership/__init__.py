"""Decides which other controllers are alive from observations; performs no I/O."""
