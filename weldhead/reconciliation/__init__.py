"""Decisions at the start of a term, as functions of known state and time, without I/O."""
