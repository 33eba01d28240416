"""weldhead: a cluster scheduler with a leader elected by lease, and preemption by priority."""

__version__ = "0.2.0"
