"""What is known of the other controllers: observations in, verdicts out, nothing else."""
