"""weldhead: a cluster scheduler with a leased leader and preemption by priority."""

__version__ = "0.2.0"
