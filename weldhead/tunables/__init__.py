"""Operators' own settings: defaults, and a small expression language to change them."""
