"""Models of jobs, machines and usage, and their records in the state service."""
