"""Documents that all controllers share: editions, and what is in memory of them. No I/O."""
