"""Admission control: feasibility of jobs, rate limits and the memory limit."""
