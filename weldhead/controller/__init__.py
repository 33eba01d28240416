"""Decisions: leadership, recovery, reports, placement, preemption, fleet sizing."""
