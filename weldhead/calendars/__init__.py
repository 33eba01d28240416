"""Deadline calendars: which instant a job is bound to as its deadline. No I/O."""
