"""Messages: what passes between users, workers, cloud, state service and nodes."""
