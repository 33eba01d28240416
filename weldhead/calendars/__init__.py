"""Deadline calendars: which instant binds a job, and what is told of it. No I/O."""
