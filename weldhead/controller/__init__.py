"""The controller: leader election, recovery, scheduling, autoscaling, and its request handlers."""
