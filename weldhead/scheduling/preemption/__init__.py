"""Decides which running tasks are preempted to make room for waiting tasks."""
