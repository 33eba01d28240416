"""Estimates of task run times and of job completion times."""
