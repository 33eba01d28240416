"""Communication with workers: heartbeats, direct commands, reachability and lost machines."""
