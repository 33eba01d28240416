"""Whose tasks give way to whose."""
