"""Stand-ins and helpers of the second review's cases; they use the standard library only."""
