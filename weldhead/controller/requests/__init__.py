"""Request handling and job life cycle: submissions, polls, cancellations, completions, chains."""
