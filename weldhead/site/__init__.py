"""A whole site on one machine: state service, pool, workers, front, and their keeper."""
