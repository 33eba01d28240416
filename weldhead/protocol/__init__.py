"""The messages between clients, workers, the cloud, the state service and controllers."""
