"""Whose fault it is when a task fails: its machine's, or its job's."""
