"""What users ask for: submissions, polls, cancellations, completions and job chains."""
