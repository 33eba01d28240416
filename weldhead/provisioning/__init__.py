"""Expectations of booting machines: when they become ready, and when they are given up."""
