"""A cluster on one machine: state service, machine pool, workers, HTTP front and supervisor."""
