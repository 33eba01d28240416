"""Operators' documents: editions in force, calendars and gates."""
