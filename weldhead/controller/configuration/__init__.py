"""Operators' documents on controllers: their editions, deadline calendars and release gates."""
