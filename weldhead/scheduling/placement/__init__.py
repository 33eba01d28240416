"""Which waiting task starts on which machine."""
