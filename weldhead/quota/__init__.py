"""Quotas of teams, by resource: guarantees, limits and current usage."""
