"""Helpers of the tests: builders, stand-ins and sites."""
